package membership

import (
	"cmp"
	"slices"
	"time"

	"mothrouter/internal/cluster/plane"
)

// add adds an instance to the member list, which must not contain it.
func (v *View) add(i Instance, s state) *member {
	m := &member{
		Instance:      i,
		id:            i.ID(),
		state:         s,
		stateSince:    v.now,
		confirmations: map[uint64]time.Duration{},
		gossipPending: true,
	}
	v.byID[m.id] = m
	index, _ := slices.BinarySearchFunc(v.memberList, m.id,
		func(other *member, id uint64) int { return cmp.Compare(other.id, id) })
	v.memberList = slices.Insert(v.memberList, index, m)
	for r := range v.rings {
		index, _ := slices.BinarySearchFunc(v.rings[r], m, compareOnRing(r))
		v.rings[r] = slices.Insert(v.rings[r], index, m)
	}
	v.updateDigest(m, 1)
	v.statusChanged(m)
	return m
}

// remove removes an instance from the member list.
func (v *View) remove(m *member) {
	v.updateDigest(m, -1)
	delete(v.byID, m.id)
	isRemoved := func(other *member) bool { return other == m }
	v.memberList = slices.DeleteFunc(v.memberList, isRemoved)
	for r := range v.rings {
		v.rings[r] = slices.DeleteFunc(v.rings[r], isRemoved)
	}
	v.ringsStale = true
}

// applyState sets a member's state if it supersedes the current one.
func (v *View) applyState(m *member, s state) {
	if !s.supersedes(m.state) {
		return
	}
	previous := m.state.status()
	v.updateDigest(m, -1)
	m.state = s
	m.stateSince = v.now
	v.updateDigest(m, 1)
	clear(m.confirmations)
	m.gossipPending = true
	v.pushPending = true
	if s.status() != previous {
		v.statusChanged(m)
	}
}

// statusChanged schedules the reassignment of observers and a push, and calls Options.Changed unless the member is self.
func (v *View) statusChanged(m *member) {
	v.ringsStale = true
	v.pushPending = true
	if v.options.Changed != nil && v.self != nil && m != v.self {
		v.options.Changed(Member{m.Instance, m.state.status()})
	}
}

// updateDigest adds a member to the digest and to the count of live members if sign is 1, and removes it if sign is -1. The
// digest needs no sign: a second XOR with the same hash removes the hash. updateDigest must be called with -1 before and with
// 1 after each change of a state, with 1 for each instance added, and with -1 for each instance removed.
func (v *View) updateDigest(m *member, sign int) {
	v.brokersStale = true
	v.digest.instances ^= uint32(plane.Hash(m.id))
	v.digest.states ^= uint32(plane.Hash(m.id, uint64(m.state)))
	if v.isAlive(m) {
		v.aliveCount += sign
	}
}

// isAlive reports whether a member's status is Alive.
func (v *View) isAlive(m *member) bool { return m.state.status() == Alive }

// pickRandom returns up to n random live members other than self that satisfy a condition.
func (v *View) pickRandom(n int, satisfies func(*member) bool) []*member {
	var picked []*member
	for _, i := range v.rng.Perm(len(v.memberList)) {
		if len(picked) == n {
			break
		}
		if m := v.memberList[i]; m != v.self && v.isAlive(m) && satisfies(m) {
			picked = append(picked, m)
		}
	}
	return picked
}

// anyMember is a condition for pickRandom that all members satisfy.
func anyMember(*member) bool { return true }

// reapTombstones removes the instances whose retention has ended.
func (v *View) reapTombstones() {
	for _, m := range slices.Clone(v.memberList) {
		if m != v.self && v.now-m.stateSince > v.retention(m) {
			v.remove(m)
		}
	}
}

// unlimitedRetention is the retention of live members.
const unlimitedRetention = time.Duration(1<<63 - 1)

// retention returns how long an instance stays in the member list in its current state.
func (v *View) retention(m *member) time.Duration {
	switch m.state.status() {
	case Alive:
		return unlimitedRetention
	case Lost:
		if !v.isReplaced(m) {
			return tombstoneRetention
		}
	}
	return supersededRetention
}

// isReplaced reports whether an instance of the same broker is alive.
func (v *View) isReplaced(m *member) bool {
	return slices.ContainsFunc(v.memberList, func(other *member) bool { return other.Name == m.Name && v.isAlive(other) })
}
