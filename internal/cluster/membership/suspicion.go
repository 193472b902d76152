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

// expirePings removes the outstanding pings whose timeout has passed without an ack, in the order in which they were sent.
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

// recordMissedAck records that a member has not acked a ping, unless it has been in contact since. A live member that self
// does not observe is adopted: in a mass failure all of its observers may have failed.
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

// updateSuspicion advances the suspicion of an observed member. A member that is silent for indirectPingAfter is suspected
// and pinged indirectly. One that is silent for lossTimeout is declared lost once enough relays have confirmed it.
// A contact ends the suspicion, and the adoption of an adopted member.
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
// number of eligible relays, whichever is less, but at least one. So a view that receives nothing has no relay and
// gives no verdict, except in a fleet of two, where there is no third member to ask.
func (v *View) requiredConfirmations(suspect *member) int {
	if v.aliveCount <= 2 {
		return 0
	}
	eligible := v.pickRandom(maxConfirmations, func(relay *member) bool { return relay != suspect && v.isEligibleRelay(relay) })
	return max(len(eligible), 1)
}

// chooseRelays returns the members that receive an indirect ping request: random eligible ones, and for an adopted suspect
// its observers before them. An observer may receive the suspect's heartbeats although the suspect itself receives, and acks,
// nothing.
func (v *View) chooseRelays(suspect *member) []*member {
	ringOrder := v.rng.Perm(ringCount) // drawn for every suspect: adoption must not shift the random numbers that follow
	var chosen []*member
	if suspect.adopted {
		chosen = v.observersOf(suspect, ringOrder)
	}
	return append(chosen, v.pickRandom(indirectPingFanout, func(relay *member) bool {
		return relay != suspect && v.isEligibleRelay(relay) && !slices.Contains(chosen, relay)
	})...)
}

// observersOf returns up to indirectPingFanout observers of a member other than self, searching the rings in an order.
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

// nextAliveOnRing returns the first live member after another on a ring; nil: there is none.
func (v *View) nextAliveOnRing(r int, m *member) *member {
	ring := v.rings[r]
	at, _ := slices.BinarySearchFunc(ring, m, compareOnRing(r))
	for i := 1; i < len(ring); i++ {
		if next := ring[(at+i)%len(ring)]; v.isAlive(next) {
			return next
		}
	}
	return nil
}

// isEligibleRelay reports whether the last contact with a member is recent enough for it to be a relay.
func (v *View) isEligibleRelay(m *member) bool {
	return m.lastContact > 0 && v.now-m.lastContact < relayWindow
}

// handleIndirect handles an indirect ping request, indirect ack or negative ack from a member. A request is answered at
// once if it is about self or about a member with a recent contact, else by a ping on behalf of the requester.
func (v *View) handleIndirect(m *member, d *planepb.Datagram) {
	subject := v.byID[d.About]
	if subject == nil {
		return
	}
	isRequest, isAnswer := d.Ask != 0, d.Tell != 0
	switch {
	case isRequest && subject == v.self:
		v.send(m.Addr, &planepb.Datagram{}, &v.pingBudget)
	case isRequest && subject.lastContact > 0 && v.now-subject.lastContact < aliveWindow:
		ack := &planepb.Datagram{About: subject.id, Tell: d.Ask, Heard: true}
		v.send(m.Addr, ack, &v.pingBudget)
	case isRequest:
		v.ping(subject.Addr, subject.id, &planepb.Datagram{}, m.id, d.Ask)
	case isAnswer && d.Heard:
		v.recordContact(subject)
		clear(subject.confirmations)
	case isAnswer && v.isSuspected(subject) && len(subject.confirmations) < maxRoster:
		subject.confirmations[m.id] = v.now
	}
}

// isSuspected reports whether self observes a member and has suspected it: only then does a negative ack count.
func (v *View) isSuspected(m *member) bool {
	return m.observed && v.now-m.silentSince >= indirectPingAfter
}

// isIsolated reports whether all members that the rings assign to self are silent for lossTimeout. Self is then more likely
// partitioned from the fleet than all of them are dead.
func (v *View) isIsolated() bool {
	for _, m := range v.observed {
		if !m.adopted && v.now-m.silentSince < lossTimeout {
			return false
		}
	}
	return len(v.observed) > 0
}
