package decision_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
)

func TestSlowStartBudgetHoldsForOneBroker(t *testing.T) {
	s := settings()
	r := newRunner(t, s, servers(4)...)
	r.answerQueries(200, 0.02)
	cold := decision.Server{ID: "s0", Started: r.now}
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{cold}})
	start, toCold, toAll := r.now, 0, 0
	for r.now < start+1 {
		_, ev := r.query(0, 1)
		for _, snd := range sends(r.handle(ev...)) {
			toAll++
			if snd.Server == "s0" {
				toCold++
			}
			r.handleAt(r.now+0.02, finished(snd.ID, 0, snd.Server, decision.OK, 0.02))
		}
	}
	// Each warm server answered a quarter of some 50 parts a second; the restarted one has a quarter of that.
	limit := s.SlowStart.OverloadFactor * (s.SlowStart.InitialFraction + 0.75*1/s.SlowStart.Duration) * 50 / 4
	if float64(toCold) > limit {
		t.Errorf("%d of %d parts went to the server in slow start in its first second, limit %g", toCold, toAll, limit)
	}
}

// Ninety brokers with a part each for a server in slow start: together they stay below its overload, and still use it.
func TestBrokersShareSlowStartBudget(t *testing.T) {
	const brokers, warmRate = 90, 12 // warmRate: parts a second that each warm server answers, to all brokers
	s := settings()
	s.Brokers, s.ReplicaSets = brokers, 2
	toCold, windows := 0, 4
	for m := range brokers {
		r := newRunner(t, s, servers(4)...)
		r.p = decision.New(s, uint64(m))
		r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(4)})
		for range 60 { // this broker's share of what four servers answer
			_, ev := r.query(0, 1)
			for _, snd := range sends(r.handle(ev...)) {
				r.handleAt(r.now+brokers/4.0/warmRate, finished(snd.ID, 0, snd.Server, decision.OK, 0.02))
			}
		}
		r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", ReplicaSet: 1, Started: r.now}}})
		for range 40 * windows { // a query whenever it likes, in each fall window
			_, ev := r.query(0, 1)
			pt := ev[1].(decision.Part)
			pt.Shard = 1
			ev[1] = pt
			for _, snd := range sends(r.handleAt(r.now+s.SlowStart.OverloadWindow/40, ev...)) {
				toCold++
				r.handle(finished(snd.ID, 0, snd.Server, decision.OK, 0.02))
			}
		}
	}
	limit := s.SlowStart.OverloadFactor * (s.SlowStart.InitialFraction + 0.75*4/s.SlowStart.Duration) * warmRate
	if got := float64(toCold) / float64(windows); got > limit || got < limit/4 {
		t.Errorf("%g parts in an overload window to a server in slow start, want %g to %g", got, limit/4, limit)
	}
}

func TestPartsWaitWhileAllReplicasWarmUp(t *testing.T) {
	s0, s1 := decision.Server{ID: "s0", Started: 99.9}, decision.Server{ID: "s1", Started: 99.9}
	r := newRunner(t, settings(), s0, s1)
	_, ev := r.query(0, 8)
	if n := len(sends(r.handle(ev...))); n > 4 {
		t.Errorf("%d parts sent at once to two servers in slow start of unknown capacity", n)
	}
	r.handleAt(r.now + 0.9)
	if got := finalAnswers(r.handleAt(r.now + 0.5)); len(got) != 1 {
		t.Errorf("final answers %v, want one", got)
	}
}

// A broker with a lease at a server in slow start keeps to its parts and its expiry.
func TestSlowStartLeaseLimitsSends(t *testing.T) {
	r := newRunner(t, settings(), servers(1)...)
	r.answerQueries(50, 0.01) // by its own estimate it would send several a second
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", Started: r.now}}})
	try := func(events ...decision.Event) int {
		_, ev := r.query(0, 6)
		out := sends(r.handle(append(events, ev...)...))
		for _, snd := range out {
			r.handle(finished(snd.ID, 0, snd.Server, decision.OK, 0.01))
		}
		return len(out)
	}
	require.Equal(t, 2, try(decision.SlowStartLease{Server: "s0", Parts: 2, ExpiresAt: r.now + 0.1}))
	require.Zero(t, try())
	require.Equal(t, 3, try(decision.SlowStartLease{Server: "s0", Parts: 3, ExpiresAt: r.now + 0.1}))
	require.Zero(t, try(decision.SlowStartLease{Server: "s0", Parts: 3, ExpiresAt: r.now - 0.01}), "the lease has expired")
	r.now += 20
	require.Equal(t, 6, try(), "warm again: no lease is needed")
}

// A broker that has seen no answer yet tries a server in slow start the more rarely the more brokers there are, and in a
// very large fleet not at all.
func TestFleetResizedChangesBudgets(t *testing.T) {
	tries := func(events ...decision.Event) (n int) {
		for seed := range uint64(400) {
			r := newRunner(t, settings(), servers(1)...)
			r.p = decision.New(settings(), seed)
			r.handle(append(events, decision.EndpointUpdate{Mode: decision.FullUpdate,
				Servers: []decision.Server{{ID: "s0", Started: r.now}}})...)
			_, ev := r.query(0, 1)
			n += len(sends(r.handle(ev...)))
		}
		return n
	}
	require.Equal(t, 400, tries(), "the settings tell of one broker")
	require.InDelta(t, 100, tries(decision.FleetResized{Brokers: 4}), 40)
	require.Zero(t, tries(decision.FleetResized{Brokers: 100_000}))
}
