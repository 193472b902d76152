package decision_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
)

func TestSlowStartBudgetHoldsForOneBroker(t *testing.T) {
	cfg := settings()
	r := newRunner(t, cfg, servers(4)...)
	r.answerQueries(200, 0.02)
	cold := decision.Server{ID: "s0", StartedAt: r.now}
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{cold}})
	start := r.now
	toCold, toAll := 0, 0
	for r.now < start+1 {
		_, ev := r.query(0, 1)
		for _, send := range sends(r.handle(ev...)) {
			toAll++
			if send.Server == "s0" {
				toCold++
			}
			r.handleAt(r.now+0.02, finished(send.ID, 0, send.Server, decision.OK, 0.02))
		}
	}
	// Each of the four servers answered about 50/4 parts per second, and InitialFraction of that after the restart.
	limit := cfg.SlowStart.OverloadFactor * (cfg.SlowStart.InitialFraction + 0.75*1/cfg.SlowStart.Duration) * 50 / 4
	if float64(toCold) > limit {
		t.Errorf("%d of %d parts went to the server in slow start in its first second, want at most %g", toCold, toAll, limit)
	}
}

// 90 brokers, each with few parts for a server in slow start, must together use it without overloading it.
func TestBrokersShareSlowStartBudget(t *testing.T) {
	const (
		brokers  = 90
		warmRate = 12 // parts per second that a warm server answers, to all brokers together
		windows  = 4  // simulated overload windows
	)
	cfg := settings()
	cfg.Brokers, cfg.ReplicaSets = brokers, 2
	toCold := 0
	for broker := range brokers {
		r := newRunner(t, cfg, servers(4)...)
		r.p = decision.New(cfg, uint64(broker))
		r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(4)})
		for range 60 { // at this broker's share of the throughput of four servers
			_, ev := r.query(0, 1)
			for _, send := range sends(r.handle(ev...)) {
				r.handleAt(r.now+brokers/4.0/warmRate, finished(send.ID, 0, send.Server, decision.OK, 0.02))
			}
		}
		r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", ReplicaSet: 1, StartedAt: r.now}}})
		for range 40 * windows { // 40 queries in each overload window
			_, ev := r.query(0, 1)
			pt := ev[1].(decision.Part)
			pt.Shard = 1
			ev[1] = pt
			for _, send := range sends(r.handleAt(r.now+cfg.SlowStart.OverloadWindow/40, ev...)) {
				toCold++
				r.handle(finished(send.ID, 0, send.Server, decision.OK, 0.02))
			}
		}
	}
	limit := cfg.SlowStart.OverloadFactor * (cfg.SlowStart.InitialFraction + 0.75*4/cfg.SlowStart.Duration) * warmRate
	if got := float64(toCold) / float64(windows); got > limit || got < limit/4 {
		t.Errorf("%g parts per overload window sent to a server in slow start, want %g to %g", got, limit/4, limit)
	}
}

func TestPartsWaitWhileAllReplicasWarmUp(t *testing.T) {
	s0, s1 := decision.Server{ID: "s0", StartedAt: 99.9}, decision.Server{ID: "s1", StartedAt: 99.9}
	r := newRunner(t, settings(), s0, s1)
	_, ev := r.query(0, 8)
	if n := len(sends(r.handle(ev...))); n > 4 {
		t.Errorf("%d parts sent immediately to two servers in slow start, want at most 4", n)
	}
	r.handleAt(r.now + 0.9)
	if got := finalAnswers(r.handleAt(r.now + 0.5)); len(got) != 1 {
		t.Errorf("final answers %v, want one", got)
	}
}

// A broker with a lease for a server in slow start obeys the number of parts and the expiry of the lease.
func TestSlowStartLeaseLimitsSends(t *testing.T) {
	r := newRunner(t, settings(), servers(1)...)
	r.answerQueries(50, 0.01) // its own estimate would allow several parts per second
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", StartedAt: r.now}}})
	sendsOfSix := func(events ...decision.Event) int {
		_, ev := r.query(0, 6)
		out := sends(r.handle(append(events, ev...)...))
		for _, send := range out {
			r.handle(finished(send.ID, 0, send.Server, decision.OK, 0.01))
		}
		return len(out)
	}
	require.Equal(t, 2, sendsOfSix(decision.SlowStartLease{Server: "s0", Parts: 2, ExpiresAt: r.now + 0.1}))
	require.Zero(t, sendsOfSix())
	require.Equal(t, 3, sendsOfSix(decision.SlowStartLease{Server: "s0", Parts: 3, ExpiresAt: r.now + 0.1}))
	require.Zero(t, sendsOfSix(decision.SlowStartLease{Server: "s0", Parts: 3, ExpiresAt: r.now - 0.01}), "the lease has expired")
	r.now += 20
	require.Equal(t, 6, sendsOfSix(), "a warm server needs no lease")
}

// A broker that has received no answers yet sends parts to a server in slow start with a probability that decreases with the
// number of brokers. In a very large fleet it sends none.
func TestFleetResizedChangesBudgets(t *testing.T) {
	totalSends := func(events ...decision.Event) (n int) {
		for seed := range uint64(400) {
			r := newRunner(t, settings(), servers(1)...)
			r.p = decision.New(settings(), seed)
			r.handle(append(events, decision.EndpointUpdate{Mode: decision.FullUpdate,
				Servers: []decision.Server{{ID: "s0", StartedAt: r.now}}})...)
			_, ev := r.query(0, 1)
			n += len(sends(r.handle(ev...)))
		}
		return n
	}
	require.Equal(t, 400, totalSends(), "one broker, according to the settings")
	require.InDelta(t, 100, totalSends(decision.FleetResized{Brokers: 4}), 40)
	require.Zero(t, totalSends(decision.FleetResized{Brokers: 100_000}))
}
