package membership

import (
	"maps"
	"slices"

	"mothrouter/internal/cluster/plane/planepb"
)

// checkObserved checks the members that this one observes.
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

// expirePings ends the wait for answers that did not come.
func (v *View) expirePings() {
	for _, n := range slices.Sorted(maps.Keys(v.outstandingPings)) {
		p := v.outstandingPings[n]
		if v.now < p.expiresAt {
			continue
		}
		delete(v.outstandingPings, n)
		if m := v.byID[p.target]; m != nil && m.lastContact < p.sentAt && m.unackedSince <= m.lastContact {
			m.unackedSince = p.sentAt
		}
		if m := v.byID[p.target]; m != nil && p.requester == 0 && !m.observed && m.lastContact < p.sentAt && v.isAlive(m) &&
			len(v.observed) < ringCount+maxAdopted {
			// Where many die at once, all that observed one may be among them.
			m.adopted, m.silentSince, v.ringsStale = true, p.sentAt, true
			clear(m.confirmations)
		}
		if asker := v.byID[p.requester]; asker != nil {
			v.send(asker.Addr, &planepb.Datagram{About: p.target, Tell: p.requestNumber}, &v.probeBudget)
		}
	}
}

// updateSuspicion takes an observed member for lost where it has been silent for long enough and helpers confirm it; before
// that it has helpers asked, and clears one that was heard of again.
func (v *View) updateSuspicion(m *member) {
	age := v.now - m.silentSince
	if age < indirectPingAfter {
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
	case age >= lossTimeout && confirmed >= v.requiredConfirmations(m):
		v.applyState(m, m.state.withStatus(Lost))
	case m.indirectPingSentAt == 0 || v.now-m.indirectPingSentAt >= indirectPingInterval:
		v.requestIndirectPings(m)
	}
}

// requestIndirectPings pings a silent member and asks helpers to do the same.
func (v *View) requestIndirectPings(m *member) {
	m.indirectPingSentAt = v.now
	v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
	for _, h := range v.chooseHelpers(m) {
		v.lastPingNumber = max(v.lastPingNumber+1, 1)
		v.send(h.Addr, &planepb.Datagram{About: m.id, Ask: v.lastPingNumber}, &v.probeBudget)
	}
}

// requiredConfirmations is how many helpers have to find a member silent too: two, or as many as there are. A member that
// hears no other has no helper and gives no verdict, except where there are only two members.
func (v *View) requiredConfirmations(about *member) int {
	if v.aliveCount <= 2 {
		return 0
	}
	able := v.pickRandom(maxConfirmations, func(h *member) bool { return h != about && v.isEligibleHelper(h) })
	return max(len(able), 1)
}

// chooseHelpers are whom to ask about a member: others that live for sure. About one that does not beat to this member, those
// to whom it does as well: they may hear it though it hears nothing, and answers no ping.
func (v *View) chooseHelpers(about *member) (picked []*member) {
	for _, r := range v.rng.Perm(ringCount) {
		if !about.adopted {
			break
		}
		at, _ := slices.BinarySearchFunc(v.rings[r], about, compareOnRing(r))
		for i := 1; i < len(v.rings[r]) && len(picked) < indirectPingFanout; i++ {
			if h := v.rings[r][(at+i)%len(v.rings[r])]; v.isAlive(h) {
				if h != v.self && h != about && !slices.Contains(picked, h) {
					picked = append(picked, h)
				}
				break
			}
		}
	}
	return append(picked, v.pickRandom(indirectPingFanout, func(h *member) bool {
		return h != about && v.isEligibleHelper(h) && !slices.Contains(picked, h)
	})...)
}

// isEligibleHelper tells that a member was heard of so lately that it is proven alive.
func (v *View) isEligibleHelper(h *member) bool {
	return h.lastContact > 0 && v.now-h.lastContact < helperWindow
}

// handleIndirect pings a member for another, and takes the findings of helpers.
func (v *View) handleIndirect(m *member, d *planepb.Datagram) {
	about := v.byID[d.About]
	switch {
	case about == nil:
	case d.Ask != 0 && about == v.self:
		v.send(m.Addr, &planepb.Datagram{}, &v.probeBudget)
	case d.Ask != 0 && v.now-about.lastContact < aliveWindow && about.lastContact > 0:
		v.send(m.Addr, &planepb.Datagram{About: about.id, Tell: d.Ask, Heard: true}, &v.probeBudget)
	case d.Ask != 0:
		v.ping(about.Addr, about.id, &planepb.Datagram{}, m.id, d.Ask)
	case d.Tell != 0 && d.Heard:
		about.silentSince, about.lastContact = v.now, v.now
		clear(about.confirmations)
	case d.Tell != 0 && about.observed && v.now-about.silentSince >= indirectPingAfter && len(about.confirmations) < maxRoster:
		about.confirmations[m.id] = v.now
	}
}

// isIsolated tells that all members that this one observes are silent: it is more likely cut off than all of them are dead.
func (v *View) isIsolated() bool {
	for _, m := range v.observed {
		if !m.adopted && v.now-m.silentSince < lossTimeout {
			return false
		}
	}
	return len(v.observed) > 0
}
