package membership

import "time"

// FleetSize is the size of a broker's fleet, as it sees it. Brokers are names: the two processes of a replacement are one.
type FleetSize struct {
	Alive   int // brokers that live, this one included
	Known   int // brokers that live or are lost, but have not left
	Sharing int // brokers to divide a common budget by
	Fenced  bool
}

// FleetSize returns the size of the fleet. A broker that is cut off looks like one that is dead, so the lost keep their part
// of what is shared: only a side that sees more than half of all may divide it by those that it sees, and only once those
// that it lost must know that they are the minority. A broker that has been in a minority for that long is fenced: it uses
// no part at all. A fleet that truly lost most of its brokers is fenced as well, until they are back or forgotten.
func (v *View) FleetSize() FleetSize {
	if v.brokersStale {
		v.brokers, v.brokersStale = v.groupBrokers(), false
	}
	c := FleetSize{Alive: v.brokers.alive, Known: v.brokers.alive + len(v.brokers.lostAt)}
	if 2*c.Alive > c.Known && !v.isIsolated() {
		v.minoritySince = -1
		c.Sharing = c.Alive + v.brokers.countLostWithin(2*fenceDelay, v.now)
		return c
	}
	if v.minoritySince < 0 {
		v.minoritySince = v.now
	}
	c.Sharing, c.Fenced = c.Known, v.now-v.minoritySince >= fenceDelay
	return c
}

// brokerCounts are the instances of a roster by their brokers' names. They are counted anew only where the roster or a state
// has changed, since drivers ask at each look at the clock.
type brokerCounts struct {
	alive  int
	lostAt []time.Duration // of each that is lost: since when its latest instance is
}

func (v *View) groupBrokers() (b brokerCounts) {
	alive := map[string]bool{}
	lostAt := map[string]time.Duration{}
	for _, m := range v.roster {
		switch {
		case m == v.self || v.isAlive(m):
			alive[m.Name] = true
		case m.state.status() == Lost:
			lostAt[m.Name] = max(lostAt[m.Name], m.stateSince)
		}
	}
	b.alive = len(alive)
	for name, at := range lostAt {
		if !alive[name] {
			b.lostAt = append(b.lostAt, at)
		}
	}
	return b
}

// countLostWithin counts the brokers that were lost less than so long ago.
func (b *brokerCounts) countLostWithin(d, now time.Duration) (n int) {
	for _, at := range b.lostAt {
		if now-at < d {
			n++
		}
	}
	return n
}
