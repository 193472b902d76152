package distribution

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxMachines is how many control machines a broker may be told: four are set aside, and four may take their places.
const MaxMachines = 8

// Machine is a control machine as a broker is told of it.
type Machine struct {
	Address string // host:port
	Zone    string // "": not told
	Region  string // "": not told
}

// candidate is a control machine that a follower may choose.
type candidate struct {
	Machine
	tried       bool      // in this round
	confirmedAt time.Time // by its last update: when a quorum last confirmed its newest revision
	reached     bool      // in this round
}

// machines are the control machines of a follower, the preferred ones first. They are tried in rounds: each once, then
// a wait.
type machines []candidate

// newMachines orders machines: those of the own zone first, then those of the own region; by chance within, so that
// the brokers of a region spread over its machines.
func newMachines(list []Machine, zone, region string, rng *rand.Rand) machines {
	result := make(machines, len(list))
	for i, place := range rng.Perm(len(list)) {
		result[place] = candidate{Machine: list[i]}
	}
	distance := func(c candidate) int {
		switch {
		case zone != "" && c.Zone == zone:
			return 0
		case region != "" && c.Region == region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(result, func(a, b candidate) int { return cmp.Compare(distance(a), distance(b)) })
	return result
}

// firstUntried returns the index of the first machine that is not tried yet in this round; -1: the round is over.
func (m machines) firstUntried() int {
	return slices.IndexFunc(m, func(c candidate) bool { return !c.tried })
}

// lastConfirmed returns the index of the machine that was reached in this round and that a quorum confirmed last; -1: none was.
func (m machines) lastConfirmed() int {
	best := -1
	for i, c := range m {
		if c.reached && (best < 0 || c.confirmedAt.After(m[best].confirmedAt)) {
			best = i
		}
	}
	return best
}

// startRound has every machine tried again.
func (m machines) startRound() {
	for i := range m {
		m[i].tried, m[i].reached = false, false
	}
}
