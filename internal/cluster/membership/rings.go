package membership

import (
	"cmp"
	"slices"

	"mothrouter/internal/cluster/plane"
)

// compareOnRing is the order of members on a ring: by a hash of the instance and the ring.
func compareOnRing(r int) func(a, b *member) int {
	return func(a, b *member) int {
		return cmp.Or(cmp.Compare(plane.Hash(a.id, uint64(r)), plane.Hash(b.id, uint64(r))), cmp.Compare(a.id, b.id))
	}
}

// assignObservers finds the observers of this member, and those that it observes: on each ring the next and the one
// before. Members that did not answer a ping are observed as well.
func (v *View) assignObservers() {
	v.ringsStale = false
	v.observers, v.observed = v.observers[:0], v.observed[:0]
	for _, ring := range v.rings {
		at := slices.Index(ring, v.self)
		v.observers = v.appendNextAlive(v.observers, ring, at, 1)
		v.observed = v.appendNextAlive(v.observed, ring, at, len(ring)-1)
	}
	for _, m := range v.roster {
		if m.adopted = m.adopted && v.isAlive(m); m.adopted && !slices.Contains(v.observed, m) {
			v.observed = append(v.observed, m)
		}
		was := m.observed
		if m.observed = slices.Contains(v.observed, m); m.observed && !was && !m.adopted {
			if m.silentSince, m.indirectPingSentAt = v.now, 0; m.unackedSince > m.lastContact { // from now on, unless it owed an answer before
				m.silentSince = m.unackedSince
			}
			clear(m.confirmations)
		}
	}
}

// appendNextAlive appends the first member alive that comes behind a place of a ring in steps of so many places.
func (v *View) appendNextAlive(to, ring []*member, at, step int) []*member {
	for i := (at + step) % len(ring); i != at; i = (i + step) % len(ring) {
		m := ring[i]
		if !v.isAlive(m) {
			continue
		}
		if slices.Contains(to, m) {
			return to
		}
		return append(to, m)
	}
	return to
}
