package membership

import (
	"maps"
	"slices"

	"mothrouter/internal/plane/planepb"
)

// checkObserved looks after those whom this member observes.
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
		if m := v.byID[p.to]; m != nil && m.heard < p.at && m.unanswered <= m.heard {
			m.unanswered = p.at
		}
		if m := v.byID[p.to]; m != nil && p.asker == 0 && !m.observed && m.heard < p.at && v.alive(m) &&
			len(v.observed) < rings+suspectedMost {
			// Where many die at once, all that observed one may be among them.
			m.suspected, m.silentSince, v.ringsChanged = true, p.at, true
			clear(m.confirmations)
		}
		if asker := v.byID[p.asker]; asker != nil {
			v.send(asker.Addr, &planepb.Datagram{About: p.to, Tell: p.ask}, &v.probeBudget)
		}
	}
}

// check takes an observed member for lost where it has been silent for long enough and helpers confirm it; before
// that it has helpers asked, and clears one that was heard of again.
func (v *View) check(m *member) {
	age := v.now - m.silentSince
	if age < askAfter {
		v.ringsChanged = v.ringsChanged || m.suspected
		m.suspected = false
		return
	}
	confirmed := 0
	for _, at := range m.confirmations {
		if v.now-at < confirmationFor {
			confirmed++
		}
	}
	switch {
	case age >= lostAfter && confirmed >= v.confirmationsNeeded(m):
		v.set(m, m.state.in(Lost))
	case m.askedAt == 0 || v.now-m.askedAt >= askEvery:
		v.askHelpers(m)
	}
}

// askHelpers pings a silent member and asks others to do the same.
func (v *View) askHelpers(m *member) {
	m.askedAt = v.now
	v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
	for _, h := range v.helpers(m) {
		v.lastPing = max(v.lastPing+1, 1)
		v.send(h.Addr, &planepb.Datagram{About: m.id, Ask: v.lastPing}, &v.probeBudget)
	}
}

// confirmationsNeeded is how many helpers have to find a member silent too: as many of two as there are to ask. One who
// hears nobody has none to ask and gives no verdict, but where there are only two members.
func (v *View) confirmationsNeeded(about *member) int {
	if v.living <= 2 {
		return 0
	}
	able := v.pick(confirmationsMost, func(h *member) bool { return h != about && v.canHelp(h) })
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

// canHelp tells that a member was heard of so lately that it is sure to live.
func (v *View) canHelp(h *member) bool { return h.heard > 0 && v.now-h.heard < helperHeardFor }

// receiveIndirect pings a member for another, and takes what helpers tell.
func (v *View) receiveIndirect(m *member, d *planepb.Datagram) {
	about := v.byID[d.About]
	switch {
	case about == nil:
	case d.Ask != 0 && about == v.self:
		v.send(m.Addr, &planepb.Datagram{}, &v.probeBudget)
	case d.Ask != 0 && v.now-about.heard < recent && about.heard > 0:
		v.send(m.Addr, &planepb.Datagram{About: about.id, Tell: d.Ask, Heard: true}, &v.probeBudget)
	case d.Ask != 0:
		v.ping(about.Addr, about.id, &planepb.Datagram{}, m.id, d.Ask)
	case d.Tell != 0 && d.Heard:
		about.silentSince, about.heard = v.now, v.now
		clear(about.confirmations)
	case d.Tell != 0 && about.observed && v.now-about.silentSince >= askAfter && len(about.confirmations) < rosterMost:
		about.confirmations[m.id] = v.now
	}
}

// isolated tells that nobody whom this member observes is heard: more likely it is cut off than all of them are dead.
func (v *View) isolated() bool {
	for _, m := range v.observed {
		if !m.suspected && v.now-m.silentSince < lostAfter {
			return false
		}
	}
	return len(v.observed) > 0
}
