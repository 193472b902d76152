package membership

import (
	"maps"
	"slices"

	"mothrouter/internal/cluster/plane/planepb"
)

// checkObserved checks the members that this one observes.
func (v *View) checkObserved() {
	v.expirePings()
	if v.ringsChanged {
		v.assignObservers()
	}
	for _, m := range v.observed {
		v.check(m)
	}
	if v.ringsChanged {
		v.assignObservers()
	}
}

// expirePings ends the wait for answers that did not come.
func (v *View) expirePings() {
	for _, n := range slices.Sorted(maps.Keys(v.pings)) {
		p := v.pings[n]
		if v.now < p.until {
			continue
		}
		delete(v.pings, n)
		if m := v.byID[p.to]; m != nil && m.lastContact < p.at && m.unanswered <= m.lastContact {
			m.unanswered = p.at
		}
		if m := v.byID[p.to]; m != nil && p.requester == 0 && !m.observed && m.lastContact < p.at && v.alive(m) &&
			len(v.observed) < rings+maxSuspected {
			// Where many die at once, all that observed one may be among them.
			m.suspected, m.silentSince, v.ringsChanged = true, p.at, true
			clear(m.confirmations)
		}
		if asker := v.byID[p.requester]; asker != nil {
			v.send(asker.Addr, &planepb.Datagram{About: p.to, Tell: p.requestNumber}, &v.pingBudget)
		}
	}
}

// check takes an observed member for lost where it has been silent for long enough and helpers confirm it; before
// that it has helpers asked, and clears one that was heard of again.
func (v *View) check(m *member) {
	age := v.now - m.silentSince
	if age < indirectPingAfter {
		v.ringsChanged = v.ringsChanged || m.suspected
		m.suspected = false
		return
	}
	confirmed := 0
	for _, at := range m.confirmations {
		if v.now-at < confirmationLifetime {
			confirmed++
		}
	}
	switch {
	case age >= lossTimeout && confirmed >= v.confirmationsNeeded(m):
		v.set(m, m.state.in(Lost))
	case m.indirectPingAt == 0 || v.now-m.indirectPingAt >= indirectPingInterval:
		v.pingIndirectly(m)
	}
}

// pingIndirectly pings a silent member and asks helpers to do the same.
func (v *View) pingIndirectly(m *member) {
	m.indirectPingAt = v.now
	v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
	for _, h := range v.helpers(m) {
		v.lastPing = max(v.lastPing+1, 1)
		v.send(h.Addr, &planepb.Datagram{About: m.id, Ask: v.lastPing}, &v.pingBudget)
	}
}

// confirmationsNeeded is how many helpers have to find a member silent too: two, or as many as there are. A member that
// hears no other has no helper and gives no verdict, except where there are only two members.
func (v *View) confirmationsNeeded(about *member) int {
	if v.living <= 2 {
		return 0
	}
	able := v.pick(maxConfirmations, func(h *member) bool { return h != about && v.canHelp(h) })
	return max(len(able), 1)
}

// helpers are whom to ask about a member: others that live for sure. About one that does not beat to this member, those
// to whom it does as well: they may hear it though it hears nothing, and answers no ping.
func (v *View) helpers(about *member) (picked []*member) {
	for _, r := range v.rng.Perm(rings) {
		if !about.suspected {
			break
		}
		at, _ := slices.BinarySearchFunc(v.ring[r], about, byRing(r))
		for i := 1; i < len(v.ring[r]) && len(picked) < helpers; i++ {
			if h := v.ring[r][(at+i)%len(v.ring[r])]; v.alive(h) {
				if h != v.self && h != about && !slices.Contains(picked, h) {
					picked = append(picked, h)
				}
				break
			}
		}
	}
	return append(picked, v.pick(helpers, func(h *member) bool {
		return h != about && v.canHelp(h) && !slices.Contains(picked, h)
	})...)
}

// canHelp tells that a member was heard of so lately that it is proven alive.
func (v *View) canHelp(h *member) bool {
	return h.lastContact > 0 && v.now-h.lastContact < helperWindow
}

// receiveIndirect pings a member for another, and takes the findings of helpers.
func (v *View) receiveIndirect(m *member, d *planepb.Datagram) {
	about := v.byID[d.About]
	switch {
	case about == nil:
	case d.Ask != 0 && about == v.self:
		v.send(m.Addr, &planepb.Datagram{}, &v.pingBudget)
	case d.Ask != 0 && v.now-about.lastContact < aliveWindow && about.lastContact > 0:
		v.send(m.Addr, &planepb.Datagram{About: about.id, Tell: d.Ask, Heard: true}, &v.pingBudget)
	case d.Ask != 0:
		v.ping(about.Addr, about.id, &planepb.Datagram{}, m.id, d.Ask)
	case d.Tell != 0 && d.Heard:
		about.silentSince, about.lastContact = v.now, v.now
		clear(about.confirmations)
	case d.Tell != 0 && about.observed && v.now-about.silentSince >= indirectPingAfter && len(about.confirmations) < maxRoster:
		about.confirmations[m.id] = v.now
	}
}

// isolated tells that all members that this one observes are silent: it is more likely cut off than all of them are dead.
func (v *View) isolated() bool {
	for _, m := range v.observed {
		if !m.suspected && v.now-m.silentSince < lossTimeout {
			return false
		}
	}
	return len(v.observed) > 0
}
