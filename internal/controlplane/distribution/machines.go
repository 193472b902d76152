package distribution

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxControlMachines is how many control machines a follower may be configured with: four in service, and four that may
// replace them.
const MaxControlMachines = 8

// ControlMachine is a control machine in a broker's configuration.
type ControlMachine struct {
	Address string // host:port
	Zone    string // "": not configured
	Region  string // "": not configured
}

// candidate is a control machine that a follower may choose.
type candidate struct {
	ControlMachine
	confirmedAt time.Time // when a quorum last confirmed its newest revision, by its latest update; zero: never
	tried       bool      // in this round
	reached     bool      // in this round: it has sent an update
}

// machines are the candidates of a follower, in order of preference. A follower tries them in rounds: each at most
// once, followed by a backoff.
type machines []candidate

// newMachines orders the configured machines by locality: the follower's zone first, then its region, then the others.
// Within one locality the order is random, so that the brokers of a region spread over its machines.
func newMachines(list []ControlMachine, zone, region string, rng *rand.Rand) machines {
	result := make(machines, len(list))
	for i, position := range rng.Perm(len(list)) {
		result[position] = candidate{ControlMachine: list[i]}
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

// firstUntried returns the index of the first machine that has not been tried in this round; -1: all have.
func (m machines) firstUntried() int {
	return slices.IndexFunc(m, func(c candidate) bool { return !c.tried })
}

// lastConfirmed returns the index of the machine with the latest confirmation among those reached in this round; -1:
// none was reached.
func (m machines) lastConfirmed() int {
	best := -1
	for i, c := range m {
		if c.reached && (best < 0 || c.confirmedAt.After(m[best].confirmedAt)) {
			best = i
		}
	}
	return best
}

// startRound makes every machine untried.
func (m machines) startRound() {
	for i := range m {
		m[i].tried, m[i].reached = false, false
	}
}
