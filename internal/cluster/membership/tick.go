package membership

import (
	"slices"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// TickInterval is the interval at which a driver calls Tick.
const TickInterval = 50 * time.Millisecond

// Tick advances the time, runs all timers and returns the datagrams to send. The driver calls it each TickInterval; a gap
// longer than pauseThreshold between two calls counts as a pause of this process.
func (v *View) Tick(now time.Duration) []Send {
	gap := now - v.lastTickAt
	v.advance(now)
	v.lastTickAt = now
	paused := v.ticked && (gap > pauseThreshold || gap < 0)
	v.ticked = true
	if paused {
		v.resetAfterPause()
	}
	if v.ringsStale {
		v.assignObservers()
	}
	if v.pushPending && v.now >= v.nextPushAt {
		v.pushPending = false
		v.pushUpdates()
	}
	v.sendHeartbeats()
	v.checkObserved()
	v.contactSeed()
	v.requestSync()
	v.pingUnobserved()
	return v.drainOutbox()
}

// resetAfterPause restarts all suspicion timers after a pause of this process, which cannot know who was silent meanwhile.
// Outstanding pings are dropped, since their acks may have been lost. Heartbeats are due at once: others may suspect this
// member.
func (v *View) resetAfterPause() {
	for _, m := range v.observed {
		m.silentSince = v.now
		m.indirectPingSentAt = 0
		clear(m.confirmations)
	}
	clear(v.outstandingPings)
	v.nextHeartbeatAt = 0
}

// sendHeartbeats sends a heartbeat, a datagram with a header alone, to each observer.
func (v *View) sendHeartbeats() {
	if v.now < v.nextHeartbeatAt {
		return
	}
	v.nextHeartbeatAt = v.now + heartbeatInterval
	for _, m := range v.observers {
		v.send(m.Addr, &planepb.Datagram{}, nil)
	}
}

// contactSeed sends an introduction request to a random seed, unless that is a live member. A view goes on with it after it
// has joined, at seedInterval, since two fleets may have formed apart.
func (v *View) contactSeed() {
	if v.now < v.nextJoinAt {
		return
	}
	v.nextJoinAt = v.now + seedInterval
	if v.aliveCount < 2 {
		v.nextJoinAt = v.now + joinInterval
	}
	if len(v.options.Seeds) == 0 {
		return
	}
	seed := v.options.Seeds[v.rng.IntN(len(v.options.Seeds))]
	isMember := slices.ContainsFunc(v.roster, func(m *member) bool { return m.Addr == seed && v.isAlive(m) })
	if !isMember {
		v.ping(seed, 0, &planepb.Datagram{Self: v.entry(v.self), Who: true}, 0, 0)
	}
}

// pingUnobserved pings a lost member, since a partition may have healed, and live members without a recent contact that
// self does not observe, since their observers may have failed with them. It also reaps tombstones.
func (v *View) pingUnobserved() {
	if v.now < v.nextUnobservedPingAt {
		return
	}
	v.nextUnobservedPingAt = v.now + unobservedPingInterval
	v.reapTombstones()
	v.FleetSize() // so that the fencing timer runs whether or not the driver calls FleetSize
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
	v.pingRandom(unheard, 1+min(silent, maxUnobservedPings)) // the more are silent, the more may have no live observer
}

// pingRandom pings n members drawn from a list with replacement.
func (v *View) pingRandom(members []*member, n int) {
	if len(members) == 0 {
		return
	}
	for range n {
		m := members[v.rng.IntN(len(members))]
		v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
	}
}
