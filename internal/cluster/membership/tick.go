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
	away := now - v.lastTick
	v.advance(now)
	if v.lastTick = now; !v.began {
		v.began = true
	} else if away > pauseThreshold || away < 0 {
		v.resumed()
	}
	if v.ringsChanged {
		v.assignObservers()
	}
	if v.pushPending && v.now >= v.pushAt {
		v.pushPending = false
		v.push()
	}
	if v.now >= v.heartbeatAt {
		v.heartbeatAt = v.now + heartbeatInterval
		for _, m := range v.observers {
			v.send(m.Addr, &planepb.Datagram{}, nil)
		}
	}
	v.checkObserved()
	v.join()
	v.sync()
	v.pingLost()
	return v.flush()
}

// resumed begins anew after a pause of this process. It cannot tell who was silent meanwhile, and others may have taken
// it for lost, so that it sends heartbeats at once.
func (v *View) resumed() {
	for _, m := range v.observed {
		m.silentSince, m.indirectPingAt = v.now, 0
		clear(m.confirmations)
	}
	clear(v.pings) // what came back meanwhile was not seen either
	v.heartbeatAt = 0
}

// join asks the seeds for the roster, and later, now and then, one that is not among the living: two fleets may have
// begun apart.
func (v *View) join() {
	if v.now < v.joinAt {
		return
	}
	if v.joinAt = v.now + seedInterval; v.living < 2 {
		v.joinAt = v.now + joinInterval
	}
	if n := len(v.opt.Seeds); n > 0 {
		seed := v.opt.Seeds[v.rng.IntN(n)]
		if !slices.ContainsFunc(v.roster, func(m *member) bool { return m.Addr == seed && v.alive(m) }) {
			v.ping(seed, 0, &planepb.Datagram{Self: v.entry(v.self), Who: true}, 0, 0)
		}
	}
}

// pingLost pings one of the lost, since a cut may have healed, and one of whom nothing was heard lately: whoever observes it
// may be gone with it.
func (v *View) pingLost() {
	if v.now < v.lostPingAt {
		return
	}
	v.lostPingAt = v.now + lostPingInterval
	v.forget()
	v.FleetSize() // so that a minority is noticed whether or not anybody asks
	var lost, unheard []*member
	for _, m := range v.roster {
		switch {
		case m == v.self:
		case m.state.status() == Lost:
			lost = append(lost, m)
		case v.alive(m) && !m.observed && v.now-m.lastContact >= aliveWindow:
			unheard = append(unheard, m)
		}
	}
	silent := 0
	for _, m := range v.observed {
		if v.now-m.silentSince >= aliveWindow {
			silent++
		}
	}
	v.pingAnyLost(lost, 1)
	v.pingAnyLost(unheard, 1+min(silent, maxExtraPings)) // the more are silent, the more may have no observer left
}

// pingAnyLost pings n members drawn from a list, with repetition.
func (v *View) pingAnyLost(of []*member, n int) {
	if len(of) == 0 {
		return
	}
	for range n {
		m := of[v.rng.IntN(len(of))]
		v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
	}
}
