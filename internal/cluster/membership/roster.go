package membership

import (
	"cmp"
	"slices"
	"time"

	"mothrouter/internal/cluster/plane"
)

// add takes an instance into the roster.
func (v *View) add(i Instance, s state) *member {
	m := &member{Instance: i, id: i.ID(), state: s, since: v.now, confirmations: map[uint64]time.Duration{}, gossipPending: true}
	v.byID[m.id] = m
	at, _ := slices.BinarySearchFunc(v.roster, m.id, func(o *member, id uint64) int { return cmp.Compare(o.id, id) })
	v.roster = slices.Insert(v.roster, at, m)
	for r := range v.ring {
		at, _ := slices.BinarySearchFunc(v.ring[r], m, byRing(r))
		v.ring[r] = slices.Insert(v.ring[r], at, m)
	}
	v.sum(m, 1)
	v.changed(m)
	return m
}

// drop takes an instance out of the roster.
func (v *View) drop(m *member) {
	v.sum(m, -1)
	delete(v.byID, m.id)
	is := func(o *member) bool { return o == m }
	v.roster = slices.DeleteFunc(v.roster, is)
	for r := range v.ring {
		v.ring[r] = slices.DeleteFunc(v.ring[r], is)
	}
	v.ringsChanged = true
}

// set takes a state that is later than what is known.
func (v *View) set(m *member, s state) {
	if !s.supersedes(m.state) {
		return
	}
	was := m.state.status()
	v.sum(m, -1)
	m.state, m.since = s, v.now
	v.sum(m, 1)
	clear(m.confirmations)
	m.gossipPending, v.pushPending = true, true
	if s.status() != was {
		v.changed(m)
	}
}

// changed tells of a new status.
func (v *View) changed(m *member) {
	v.ringsChanged, v.pushPending = true, true
	if v.opt.Changed != nil && v.self != nil && m != v.self {
		v.opt.Changed(Member{m.Instance, m.state.status()})
	}
}

// sum takes a member into the sums, or out of them: the same step does both. Whatever changes the roster or a state
// comes by here.
func (v *View) sum(m *member, living int) {
	v.brokersChanged = true
	n := uint32(plane.Hash(m.id))
	v.sums.roster ^= n
	v.sums.states ^= uint32(plane.Hash(m.id, uint64(m.state)))
	if v.alive(m) {
		v.living += living
	}
}

func (v *View) alive(m *member) bool { return m.state.status() == Alive }

// pick returns random members that live, at the most n, of which a condition holds.
func (v *View) pick(n int, ok func(*member) bool) (picked []*member) {
	for _, i := range v.rng.Perm(len(v.roster)) {
		if len(picked) == n {
			break
		}
		if m := v.roster[i]; m != v.self && v.alive(m) && ok(m) {
			picked = append(picked, m)
		}
	}
	return picked
}

func anyMember(*member) bool { return true }

// forget drops instances of the past.
func (v *View) forget() {
	for _, m := range slices.Clone(v.roster) {
		if m != v.self && v.now-m.since > v.lasts(m) {
			v.drop(m)
		}
	}
}

// lasts is for how long an instance is kept in its state.
func (v *View) lasts(m *member) time.Duration {
	switch m.state.status() {
	case Alive:
		return 1<<63 - 1
	case Lost:
		if !slices.ContainsFunc(v.roster, func(o *member) bool { return o.Name == m.Name && v.alive(o) }) {
			return lostRetention
		}
	}
	return leftRetention
}
