package membership

import (
	"cmp"
	"slices"

	"mothrouter/internal/cluster/plane"
)

// compareOnRing returns the function that orders members on a ring: by a hash of the instance ID and the ring number, then by
// ID.
func compareOnRing(ring int) func(a, b *member) int {
	return func(a, b *member) int {
		byHash := cmp.Compare(plane.Hash(a.id, uint64(ring)), plane.Hash(b.id, uint64(ring)))
		return cmp.Or(byHash, cmp.Compare(a.id, b.id))
	}
}

// assignObservers sets observers to the next live member after self on each ring, and observed to the previous live one on
// each ring. Adopted members remain observed while they are alive.
func (v *View) assignObservers() {
	v.ringsStale = false
	v.observers = v.observers[:0]
	v.observed = v.observed[:0]
	for _, ring := range v.rings {
		selfIndex := slices.Index(ring, v.self)
		v.observers = v.appendNextAlive(v.observers, ring, selfIndex, 1)
		v.observed = v.appendNextAlive(v.observed, ring, selfIndex, len(ring)-1)
	}
	for _, m := range v.memberList {
		m.adopted = m.adopted && v.isAlive(m)
		if m.adopted && !slices.Contains(v.observed, m) {
			v.observed = append(v.observed, m)
		}
		wasObserved := m.observed
		m.observed = slices.Contains(v.observed, m)
		if m.observed && !wasObserved && !m.adopted {
			v.startObserving(m)
		}
	}
}

// startObserving starts a member's suspicion timer. The timer starts at the time of the first ping that the member has not
// acked since its last contact, or now if there is none.
func (v *View) startObserving(m *member) {
	m.silentSince = v.now
	if m.unackedSince > m.lastContact {
		m.silentSince = m.unackedSince
	}
	m.indirectPingSentAt = 0
	clear(m.confirmations)
}

// appendNextAlive appends the first live member after index start on a ring, unless the list already contains that member. It
// advances by stride; a stride of len(ring)-1 walks backwards.
func (v *View) appendNextAlive(list, ring []*member, start, stride int) []*member {
	for i := (start + stride) % len(ring); i != start; i = (i + stride) % len(ring) {
		m := ring[i]
		if !v.isAlive(m) {
			continue
		}
		if slices.Contains(list, m) {
			return list
		}
		return append(list, m)
	}
	return list
}
