package membership

import (
	"slices"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// TickInterval is the interval at which a driver calls Tick.
const TickInterval = 50 * time.Millisecond

// Tick advances the time, runs all timers and returns the datagrams to send. The driver calls it every TickInterval; a gap
// of more than pauseThreshold between two calls is treated as a pause of this process.
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

// resetAfterPause restarts all suspicion timers after a pause of this process, which cannot know which members were silent
// during the pause. It drops outstanding pings, since their acks may have been lost, and makes heartbeats due at once, since
// other members may suspect this one.
func (v *View) resetAfterPause() {
	for _, m := range v.observed {
		m.silentSince = v.now
		m.indirectPingSentAt = 0
		clear(m.confirmations)
	}
	clear(v.outstandingPings)
	v.nextHeartbeatAt = 0
}

// sendHeartbeats sends a heartbeat, a datagram that has only the header, to each observer.
func (v *View) sendHeartbeats() {
	if v.now < v.nextHeartbeatAt {
		return
	}
	v.nextHeartbeatAt = v.now + heartbeatInterval
	for _, m := range v.observers {
		v.send(m.Addr, &planepb.Datagram{}, nil)
	}
}

// contactSeed sends an introduction request to a random seed, unless that seed is a live member. A view continues to contact
// seeds after it has joined, every seedInterval, since two fleets may have formed independently.
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
	isMember := slices.ContainsFunc(v.memberList, func(m *member) bool { return m.Addr == seed && v.isAlive(m) })
	if !isMember {
		v.ping(seed, 0, &planepb.Datagram{Self: v.entry(v.self), Who: true}, 0, 0)
	}
}

// pingUnobserved pings a random lost member, since a partition may have healed, and random live members that self does not
// observe and has not heard from recently, since all of their observers may have failed. It also reaps tombstones.
func (v *View) pingUnobserved() {
	if v.now < v.nextUnobservedPingAt {
		return
	}
	v.nextUnobservedPingAt = v.now + unobservedPingInterval
	v.reapTombstones()
	v.FleetSize() // so that the fencing timer runs whether or not the driver calls FleetSize
	var lost, uncontacted []*member
	for _, m := range v.memberList {
		switch {
		case m == v.self:
		case m.state.status() == Lost:
			lost = append(lost, m)
		case v.isAlive(m) && !m.observed && v.now-m.lastContact >= aliveWindow:
			uncontacted = append(uncontacted, m)
		}
	}
	silent := 0
	for _, m := range v.observed {
		if v.now-m.silentSince >= aliveWindow {
			silent++
		}
	}
	v.pingRandom(lost, 1)
	// The more observed members are silent, the more members may have lost all of their observers.
	v.pingRandom(uncontacted, 1+min(silent, maxUnobservedPings))
}

// pingRandom pings n members drawn at random from a list, with replacement.
func (v *View) pingRandom(members []*member, n int) {
	if len(members) == 0 {
		return
	}
	for range n {
		m := members[v.rng.IntN(len(members))]
		v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
	}
}
