package decision_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
)

// Hearsay moves the draw away from a server that another loop of the process saw fail, unless this one knows
// better, and a later recovery brings it back.
func TestPeerObservationMovesTheDraw(t *testing.T) {
	share := func(r *rig) (n int) { // of 100 parts, those that went to s0
		for range 100 {
			_, ev := r.query(0, 1)
			for _, s := range sends(r.handle(ev...)) {
				if s.Server == "s0" {
					n++
				}
				r.now += 0.001
				r.handle(ended(s.ID, 0, s.Server, decision.OK, 0.001))
			}
		}
		return n
	}
	heard := func(r *rig, at, failed, weight float64) {
		r.handle(decision.PeerObservation{Server: "s0", At: at, FailureRatio: failed, Weight: weight, LoadReport: decision.NoLoadReport})
	}
	r := newRig(t, settings(), servers(2)...)
	require.InDelta(t, 50, share(r), 20)
	heard(r, r.now-0.05, 1, 0.75) // older than what was seen here
	require.InDelta(t, 50, share(r), 20)
	r.now += 3
	heard(r, r.now, 1, 0.75)
	require.Less(t, share(r), 10)
	heard(r, r.now+0.001, 0, 1)
	require.Greater(t, share(r), 30)
	heard(r, r.now, 1, 1)
	r.handle(decision.PeerObservation{Server: "unheard-of", At: r.now, FailureRatio: 1, Weight: 1, LoadReport: decision.NoLoadReport})
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", Started: r.now + 1}}})
	heard(r, r.now, 1, 0.75) // of the process before
	r.now += 30              // warm again
	require.Greater(t, share(r), 30)
}

// A broker that is told its room at a cold server keeps to it to the part and to the time.
func TestSlowStartLeaseLimitsSends(t *testing.T) {
	r := newRig(t, settings(), servers(1)...)
	r.warm(50, 0.01) // by its own estimate it would send several a second
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", Started: r.now}}})
	try := func(events ...decision.Event) int {
		_, ev := r.query(0, 6)
		out := sends(r.handle(append(events, ev...)...))
		for _, snd := range out {
			r.handle(ended(snd.ID, 0, snd.Server, decision.OK, 0.01))
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

// Where brokers know of each other, one that has seen no answer yet tries a cold server as rarely as there are many; one
// that is told of a fleet too large to have a part of it does not at all. Nothing else hangs on their number.
func TestFleetResizedChangesBudgets(t *testing.T) {
	tries := func(events ...decision.Event) (n int) {
		for seed := range uint64(400) {
			r := newRig(t, settings(), servers(1)...)
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
