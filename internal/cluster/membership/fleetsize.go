package membership

import "time"

// FleetSize is the size of a fleet as one broker sees it. It counts brokers by name: the two instances of a rolling
// replacement are one broker.
type FleetSize struct {
	Alive   int  // brokers with a live instance, including this one
	Known   int  // brokers that are alive or lost, but not those that have left
	Sharing int  // brokers among which a shared budget is divided
	Fenced  bool // this broker must not use any share of a shared budget
}

// FleetSize returns the size of the fleet. A partitioned broker cannot be told from a dead one, so lost brokers keep their
// share of a shared budget. Only a majority, a side of a partition that sees more than half of all known brokers alive,
// divides the budget among those alive, and only after twice fenceDelay, when the minority has fenced itself. A fleet that has
// actually lost most of its brokers is fenced as well, until they return or their tombstones are reaped.
func (v *View) FleetSize() FleetSize {
	if v.brokersStale {
		v.brokers = v.countBrokers()
		v.brokersStale = false
	}
	size := FleetSize{Alive: v.brokers.alive, Known: v.brokers.alive + len(v.brokers.lostAt)}
	isMajority := 2*size.Alive > size.Known
	if isMajority && !v.isIsolated() {
		v.minoritySince = -1
		size.Sharing = size.Alive + v.brokers.countLostWithin(2*fenceDelay, v.now)
		return size
	}
	if v.minoritySince < 0 {
		v.minoritySince = v.now
	}
	size.Sharing = size.Known
	size.Fenced = v.now-v.minoritySince >= fenceDelay
	return size
}

// brokerCounts holds the counts of the brokers in a member list. They are cached until the member list or a state changes,
// since drivers call FleetSize at each tick.
type brokerCounts struct {
	alive  int
	lostAt []time.Duration // for each lost broker, when the last of its instances was declared lost
}

// countBrokers counts the brokers of the member list. A broker is alive if one of its instances is.
func (v *View) countBrokers() brokerCounts {
	aliveNames := map[string]bool{}
	lostAt := map[string]time.Duration{}
	for _, m := range v.memberList {
		switch {
		case m == v.self || v.isAlive(m):
			aliveNames[m.Name] = true
		case m.state.status() == Lost:
			lostAt[m.Name] = max(lostAt[m.Name], m.stateSince)
		}
	}
	counts := brokerCounts{alive: len(aliveNames)}
	for name, at := range lostAt {
		if !aliveNames[name] {
			counts.lostAt = append(counts.lostAt, at)
		}
	}
	return counts
}

// countLostWithin returns how many brokers have been lost for less than a duration.
func (b *brokerCounts) countLostWithin(d, now time.Duration) int {
	count := 0
	for _, at := range b.lostAt {
		if now-at < d {
			count++
		}
	}
	return count
}
