package membership

import (
	"cmp"
	"slices"

	"mothrouter/internal/cluster/plane"
)

// compareOnRing returns the order of members on a ring: by a hash of the instance's ID and the ring's number.
func compareOnRing(ring int) func(a, b *member) int {
	return func(a, b *member) int {
		byHash := cmp.Compare(plane.Hash(a.id, uint64(ring)), plane.Hash(b.id, uint64(ring)))
		return cmp.Or(byHash, cmp.Compare(a.id, b.id))
	}
}

// assignObservers sets observers to self's next live member on each ring, and observed to the previous one on each. Adopted
// members remain observed while they are alive.
func (v *View) assignObservers() {
	v.ringsStale = false
	v.observers = v.observers[:0]
	v.observed = v.observed[:0]
	for _, ring := range v.rings {
		at := slices.Index(ring, v.self)
		v.observers = v.appendNextAlive(v.observers, ring, at, 1)
		v.observed = v.appendNextAlive(v.observed, ring, at, len(ring)-1)
	}
	for _, m := range v.roster {
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

// startObserving starts a member's suspicion timer: now, or when the ping was sent that it has not acked since its last
// contact.
func (v *View) startObserving(m *member) {
	m.silentSince = v.now
	if m.unackedSince > m.lastContact {
		m.silentSince = m.unackedSince
	}
	m.indirectPingSentAt = 0
	clear(m.confirmations)
}

// appendNextAlive appends the first live member that follows index at on a ring, which it walks by stride, unless the list
// contains that member. A stride of len(ring)-1 walks backwards.
func (v *View) appendNextAlive(list, ring []*member, at, stride int) []*member {
	for i := (at + stride) % len(ring); i != at; i = (i + stride) % len(ring) {
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
