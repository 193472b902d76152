package membership

import (
	"cmp"
	"slices"
	"time"

	"mothrouter/internal/cluster/plane"
)

// add takes an instance into the roster.
func (v *View) add(i Instance, s state) *member {
	m := &member{Instance: i, id: i.ID(), state: s, stateSince: v.now, confirmations: map[uint64]time.Duration{}, gossipPending: true}
	v.byID[m.id] = m
	at, _ := slices.BinarySearchFunc(v.roster, m.id, func(o *member, id uint64) int { return cmp.Compare(o.id, id) })
	v.roster = slices.Insert(v.roster, at, m)
	for r := range v.rings {
		at, _ := slices.BinarySearchFunc(v.rings[r], m, compareOnRing(r))
		v.rings[r] = slices.Insert(v.rings[r], at, m)
	}
	v.updateDigest(m, 1)
	v.statusChanged(m)
	return m
}

// remove takes an instance out of the roster.
func (v *View) remove(m *member) {
	v.updateDigest(m, -1)
	delete(v.byID, m.id)
	is := func(o *member) bool { return o == m }
	v.roster = slices.DeleteFunc(v.roster, is)
	for r := range v.rings {
		v.rings[r] = slices.DeleteFunc(v.rings[r], is)
	}
	v.ringsStale = true
}

// applyState takes a state that is later than what is known.
func (v *View) applyState(m *member, s state) {
	if !s.supersedes(m.state) {
		return
	}
	was := m.state.status()
	v.updateDigest(m, -1)
	m.state, m.stateSince = s, v.now
	v.updateDigest(m, 1)
	clear(m.confirmations)
	m.gossipPending, v.pushPending = true, true
	if s.status() != was {
		v.statusChanged(m)
	}
}

// statusChanged tells of a new status.
func (v *View) statusChanged(m *member) {
	v.ringsStale, v.pushPending = true, true
	if v.options.Changed != nil && v.self != nil && m != v.self {
		v.options.Changed(Member{m.Instance, m.state.status()})
	}
}

// updateDigest takes a member into the sums, or out of them: the same step does both. Whatever changes the roster or a state
// comes by here.
func (v *View) updateDigest(m *member, living int) {
	v.brokersStale = true
	n := uint32(plane.Hash(m.id))
	v.digest.roster ^= n
	v.digest.states ^= uint32(plane.Hash(m.id, uint64(m.state)))
	if v.isAlive(m) {
		v.aliveCount += living
	}
}

func (v *View) isAlive(m *member) bool { return m.state.status() == Alive }

// pickRandom returns random members that live, at the most n, of which a condition holds.
func (v *View) pickRandom(n int, ok func(*member) bool) (picked []*member) {
	for _, i := range v.rng.Perm(len(v.roster)) {
		if len(picked) == n {
			break
		}
		if m := v.roster[i]; m != v.self && v.isAlive(m) && ok(m) {
			picked = append(picked, m)
		}
	}
	return picked
}

func anyMember(*member) bool { return true }

// reapTombstones drops instances of the past.
func (v *View) reapTombstones() {
	for _, m := range slices.Clone(v.roster) {
		if m != v.self && v.now-m.stateSince > v.retention(m) {
			v.remove(m)
		}
	}
}

// retention is for how long an instance is kept in its state.
func (v *View) retention(m *member) time.Duration {
	switch m.state.status() {
	case Alive:
		return 1<<63 - 1
	case Lost:
		if !slices.ContainsFunc(v.roster, func(o *member) bool { return o.Name == m.Name && v.isAlive(o) }) {
			return tombstoneRetention
		}
	}
	return supersededRetention
}
