package membership

import (
	"slices"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// Tick looks at the time and returns what to send. It has to be called each 50 ms; what lies between two calls tells
// this process whether it was stopped itself.
func (v *View) Tick(now time.Duration) []Send {
	away := now - v.lastTickAt
	v.advance(now)
	if v.lastTickAt = now; !v.ticked {
		v.ticked = true
	} else if away > pauseThreshold || away < 0 {
		v.resetAfterPause()
	}
	if v.ringsStale {
		v.assignObservers()
	}
	if v.pushPending && v.now >= v.nextPushAt {
		v.pushPending = false
		v.pushUpdates()
	}
	if v.now >= v.nextHeartbeatAt {
		v.nextHeartbeatAt = v.now + heartbeatInterval
		for _, m := range v.observers {
			v.send(m.Addr, &planepb.Datagram{}, nil)
		}
	}
	v.checkObserved()
	v.contactSeed()
	v.requestSync()
	v.pingUnobserved()
	return v.takeOutbox()
}

// resetAfterPause begins anew after a pause of this process. It cannot tell who was silent meanwhile, and others may have taken
// it for lost, so that it sends heartbeats at once.
func (v *View) resetAfterPause() {
	for _, m := range v.observed {
		m.silentSince, m.indirectPingSentAt = v.now, 0
		clear(m.confirmations)
	}
	clear(v.outstandingPings) // what came back meanwhile was not seen either
	v.nextHeartbeatAt = 0
}

// contactSeed asks the seeds for the roster, and later, now and then, one that is not among the living: two fleets may have
// begun apart.
func (v *View) contactSeed() {
	if v.now < v.nextJoinAt {
		return
	}
	if v.nextJoinAt = v.now + seedInterval; v.aliveCount < 2 {
		v.nextJoinAt = v.now + joinInterval
	}
	if n := len(v.options.Seeds); n > 0 {
		seed := v.options.Seeds[v.rng.IntN(n)]
		if !slices.ContainsFunc(v.roster, func(m *member) bool { return m.Addr == seed && v.isAlive(m) }) {
			v.ping(seed, 0, &planepb.Datagram{Self: v.entry(v.self), Who: true}, 0, 0)
		}
	}
}

// pingUnobserved pings one of the lost, since a cut may have healed, and one of whom nothing was heard lately: whoever observes it
// may be gone with it.
func (v *View) pingUnobserved() {
	if v.now < v.nextUnobservedPingAt {
		return
	}
	v.nextUnobservedPingAt = v.now + unobservedPingInterval
	v.reapTombstones()
	v.FleetSize() // so that a minority is noticed whether or not anybody asks
	var lost, unheard []*member
	for _, m := range v.roster {
		switch {
		case m == v.self:
		case m.state.status() == Lost:
			lost = append(lost, m)
		case v.isAlive(m) && !m.observed && v.now-m.lastContact >= aliveWindow:
			unheard = append(unheard, m)
		}
	}
	silent := 0
	for _, m := range v.observed {
		if v.now-m.silentSince >= aliveWindow {
			silent++
		}
	}
	v.pingRandom(lost, 1)
	v.pingRandom(unheard, 1+min(silent, maxUnobservedPings)) // the more are silent, the more may have no observer left
}

// pingRandom pings n members drawn from a list, with repetition.
func (v *View) pingRandom(of []*member, n int) {
	if len(of) == 0 {
		return
	}
	for range n {
		m := of[v.rng.IntN(len(of))]
		v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
	}
}
