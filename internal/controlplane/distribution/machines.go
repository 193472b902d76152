package distribution

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxControlMachines is the maximum number of control machines in a broker's configuration: four in service, and four that
// may replace them.
const MaxControlMachines = 8

// ControlMachine is a control machine in a broker's configuration.
type ControlMachine struct {
	Address string // host:port
	Zone    string // "": not configured
	Region  string // "": not configured
}

// candidate is a control machine that the follower may connect to.
type candidate struct {
	ControlMachine
	confirmedAt time.Time // when a quorum last confirmed its newest revision, according to its latest update; zero: never
	tried       bool      // it has been tried in this round
	reached     bool      // it has sent an update in this round
}

// candidates are a follower's control machines in order of preference. The follower tries them in rounds: each candidate at
// most once per round, and a backoff after the round.
type candidates []candidate

// newCandidates orders the configured control machines by locality: the follower's zone first, then its region, then the
// others. The order within one locality is random, to spread the brokers of a region over its control machines.
func newCandidates(controlMachines []ControlMachine, zone, region string, rng *rand.Rand) candidates {
	result := make(candidates, len(controlMachines))
	for i, position := range rng.Perm(len(controlMachines)) {
		result[position] = candidate{ControlMachine: controlMachines[i]}
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

// firstUntried returns the index of the first candidate that has not been tried in this round, or -1 if all have been.
func (c candidates) firstUntried() int {
	return slices.IndexFunc(c, func(each candidate) bool { return !each.tried })
}

// mostRecentlyConfirmed returns the index of the candidate with the latest confirmation among those reached in this round, or
// -1 if none was reached.
func (c candidates) mostRecentlyConfirmed() int {
	best := -1
	for i, each := range c {
		if each.reached && (best < 0 || each.confirmedAt.After(c[best].confirmedAt)) {
			best = i
		}
	}
	return best
}

// startRound marks every candidate as untried and not reached.
func (c candidates) startRound() {
	for i := range c {
		c[i].tried, c[i].reached = false, false
	}
}
