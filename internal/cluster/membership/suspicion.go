package membership

import (
	"maps"
	"slices"

	"mothrouter/internal/cluster/plane/planepb"
)

// checkObserved expires outstanding pings and updates the suspicion of each observed member.
func (v *View) checkObserved() {
	v.expirePings()
	if v.ringsStale {
		v.assignObservers()
	}
	for _, m := range v.observed {
		v.updateSuspicion(m)
	}
	if v.ringsStale {
		v.assignObservers()
	}
}

// expirePings removes the outstanding pings that have timed out, in the order in which they were sent, and sends a negative
// ack for each that was sent on behalf of another member.
func (v *View) expirePings() {
	for _, number := range slices.Sorted(maps.Keys(v.outstandingPings)) {
		p := v.outstandingPings[number]
		if v.now < p.expiresAt {
			continue
		}
		delete(v.outstandingPings, number)
		if m := v.byID[p.target]; m != nil {
			v.recordMissedAck(m, p)
		}
		if requester := v.byID[p.requester]; requester != nil {
			nack := &planepb.Datagram{About: p.target, Tell: p.requestNumber}
			v.send(requester.Addr, nack, &v.pingBudget)
		}
	}
}

// recordMissedAck records that a member has not acked a ping, unless there has been contact with it since the ping. A live
// member that self does not observe is adopted: in a mass failure all of its observers may have failed.
func (v *View) recordMissedAck(m *member, p outstandingPing) {
	if m.lastContact >= p.sentAt {
		return
	}
	if m.unackedSince <= m.lastContact {
		m.unackedSince = p.sentAt
	}
	adopts := p.requester == 0 && !m.observed && v.isAlive(m) && len(v.observed) < ringCount+maxAdopted
	if !adopts {
		return
	}
	m.adopted = true
	m.silentSince = p.sentAt
	v.ringsStale = true
	clear(m.confirmations)
}

// updateSuspicion updates the suspicion of an observed member. A member that has been silent for indirectPingAfter is
// suspected and pinged indirectly. A member that has been silent for lossTimeout is declared lost once enough relays have
// confirmed the suspicion. A contact ends the suspicion and, for an adopted member, the adoption.
func (v *View) updateSuspicion(m *member) {
	silence := v.now - m.silentSince
	if silence < indirectPingAfter {
		v.ringsStale = v.ringsStale || m.adopted
		m.adopted = false
		return
	}
	confirmed := 0
	for _, at := range m.confirmations {
		if v.now-at < confirmationLifetime {
			confirmed++
		}
	}
	switch {
	case silence >= lossTimeout && confirmed >= v.requiredConfirmations(m):
		v.applyState(m, m.state.withStatus(Lost))
	case m.indirectPingSentAt == 0 || v.now-m.indirectPingSentAt >= indirectPingInterval:
		v.requestIndirectPings(m)
	}
}

// requestIndirectPings pings a suspected member and sends indirect ping requests for it to relays.
func (v *View) requestIndirectPings(m *member) {
	m.indirectPingSentAt = v.now
	v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
	for _, relay := range v.chooseRelays(m) {
		v.send(relay.Addr, &planepb.Datagram{About: m.id, Ask: v.nextPingNumber()}, &v.pingBudget)
	}
}

// requiredConfirmations returns the number of relays that have to confirm the suspicion of a member: maxConfirmations or the
// number of eligible relays, whichever is less, but at least one. A view that receives nothing therefore has no relay and
// declares no member lost, except in a fleet of two, where there is no third member to ask.
func (v *View) requiredConfirmations(suspect *member) int {
	if v.aliveCount <= 2 {
		return 0
	}
	eligible := v.pickRandom(maxConfirmations, func(relay *member) bool { return relay != suspect && v.isEligibleRelay(relay) })
	return max(len(eligible), 1)
}

// chooseRelays returns the members that receive an indirect ping request for a suspect: random eligible members, and for an
// adopted suspect also some of its observers. A suspect that cannot receive pings does not ack any, but its observers may still
// receive its heartbeats and so know that it is alive.
func (v *View) chooseRelays(suspect *member) []*member {
	ringOrder := v.rng.Perm(ringCount) // drawn for every suspect, so that adoption does not shift the following random numbers
	var chosen []*member
	if suspect.adopted {
		chosen = v.observersOf(suspect, ringOrder)
	}
	return append(chosen, v.pickRandom(indirectPingFanout, func(relay *member) bool {
		return relay != suspect && v.isEligibleRelay(relay) && !slices.Contains(chosen, relay)
	})...)
}

// observersOf returns up to indirectPingFanout observers of a member, without self. It searches the rings in the given order.
func (v *View) observersOf(observed *member, ringOrder []int) []*member {
	var observers []*member
	for _, r := range ringOrder {
		if len(observers) >= indirectPingFanout {
			break
		}
		relay := v.nextAliveOnRing(r, observed)
		if relay != nil && relay != v.self && relay != observed && !slices.Contains(observers, relay) {
			observers = append(observers, relay)
		}
	}
	return observers
}

// nextAliveOnRing returns the first live member after another member on a ring, or nil if there is none.
func (v *View) nextAliveOnRing(r int, m *member) *member {
	ring := v.rings[r]
	index, _ := slices.BinarySearchFunc(ring, m, compareOnRing(r))
	for i := 1; i < len(ring); i++ {
		if next := ring[(index+i)%len(ring)]; v.isAlive(next) {
			return next
		}
	}
	return nil
}

// isEligibleRelay reports whether there was contact with a member within relayWindow, so that it may be a relay.
func (v *View) isEligibleRelay(m *member) bool {
	return m.lastContact > 0 && v.now-m.lastContact < relayWindow
}

// handleIndirect handles an indirect ping request, indirect ack or negative ack from a member. A request about self or about a
// member with a recent contact is answered at once. For any other member, self pings it on behalf of the requester.
func (v *View) handleIndirect(m *member, d *planepb.Datagram) {
	subject := v.byID[d.About]
	if subject == nil {
		return
	}
	isRequest, isResponse := d.Ask != 0, d.Tell != 0
	switch {
	case isRequest && subject == v.self:
		v.send(m.Addr, &planepb.Datagram{}, &v.pingBudget)
	case isRequest && subject.lastContact > 0 && v.now-subject.lastContact < aliveWindow:
		ack := &planepb.Datagram{About: subject.id, Tell: d.Ask, Heard: true}
		v.send(m.Addr, ack, &v.pingBudget)
	case isRequest:
		v.ping(subject.Addr, subject.id, &planepb.Datagram{}, m.id, d.Ask)
	case isResponse && d.Heard:
		v.recordContact(subject)
		clear(subject.confirmations)
	case isResponse && v.isSuspected(subject) && len(subject.confirmations) < maxInstances:
		subject.confirmations[m.id] = v.now
	}
}

// isSuspected reports whether self observes and suspects a member. Otherwise negative acks about the member are ignored.
func (v *View) isSuspected(m *member) bool {
	return m.observed && v.now-m.silentSince >= indirectPingAfter
}

// isIsolated reports whether all members that the rings assign to self have been silent for lossTimeout. It is then more
// likely that self is partitioned from the fleet than that all of them are dead.
func (v *View) isIsolated() bool {
	for _, m := range v.observed {
		if !m.adopted && v.now-m.silentSince < lossTimeout {
			return false
		}
	}
	return len(v.observed) > 0
}
