package distribution_test

import (
	"fmt"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

const (
	inForceWithin = 8 * time.Second
	// stormShare is the largest share of the fleet that may call one hub within a second: the waits of internal/backoff
	// spread a fleet that has one hub left over 2 s, and half as many again come by chance.
	stormShare = 0.75
	// mostStreamsAnHour bounds the streams of a broker that has a hub in reach which no quorum confirms: 12 times it
	// looks for another one, at three hubs and back.
	mostStreamsAnHour = 60
)

// finding is what a checker found wrong.
type finding struct {
	checker string
	detail  string
}

// wait is a revision that a broker ought to get.
type wait struct {
	number uint64
	since  time.Duration
	heal   bool // since the broker had a hub in reach again, and not since the publication
}

// watched is what the checkers know of one broker.
type watched struct {
	instance int
	inForce  uint64 // the highest of this instance
	good     bool   // it runs, and some hub that a quorum confirms is in reach
	since    [hubs]time.Duration
	goods    [hubs]bool
	waits    []wait
	badFrom  time.Duration // when it was last not good
	healedTo uint64        // newest at the heal; 0: none is awaited
	earlier  int           // revisions below healedTo that were applied since the heal
}

// checkers watch a simulation from outside.
type checkers struct {
	sim      *simulation
	brokers  []*watched
	findings []finding
	usual    []time.Duration // publication to in force
	healed   []time.Duration // heal to in force
	replays  int             // heals that were looked at
	inFlight int             // revisions that a stream may have held when a cut or a pause began
}

func newCheckers(s *simulation) *checkers {
	c := &checkers{sim: s}
	for range s.brokers {
		c.brokers = append(c.brokers, &watched{})
	}
	return c
}

func (c *checkers) found(checker, format string, args ...any) {
	if len(c.findings) < 1000 {
		detail := fmt.Sprintf("at %v: ", c.sim.now) + fmt.Sprintf(format, args...)
		c.findings = append(c.findings, finding{checker, detail})
	}
}

func (c *checkers) started(b *simBroker) {
	w := c.brokers[b.index]
	w.instance, w.inForce = b.instance, 0
	w.waits, w.good = nil, false
	w.goods = [hubs]bool{}
	w.healedTo = 0
}

// applied checks that numbers rise, that documents are whole, and that nothing is replayed after a heal.
func (c *checkers) applied(b *simBroker, revision *configpb.Revision) {
	w, number := c.brokers[b.index], revision.GetNumber()
	switch {
	case number < w.inForce:
		c.found("back", "%s applies %d after %d", b.name(), number, w.inForce)
	case number == w.inForce:
		c.found("twice", "%s applies %d twice", b.name(), number)
	}
	if number == 0 || number > uint64(len(c.sim.log)) ||
		string(revision.GetDocument()) != string(c.sim.log[number-1].GetDocument()) {
		c.found("half", "%s applies %d with another document than was published", b.name(), number)
	}
	if w.healedTo != 0 {
		c.replays++
		if number < w.healedTo {
			w.earlier++
		}
		if w.earlier > c.inFlight {
			c.found("replay", "%s applies %d after a heal, when %d was the newest", b.name(), number, w.healedTo)
		}
		if number >= w.healedTo {
			w.healedTo = 0
		}
	}
	w.inForce = max(w.inForce, number)
	w.waits = slices.DeleteFunc(w.waits, func(x wait) bool {
		if x.number <= number {
			c.sample(b, x)
		}
		return x.number <= number
	})
}

// refused ends the waits for a revision: it cannot be in force at this broker.
func (c *checkers) refused(b *simBroker, number uint64) {
	w := c.brokers[b.index]
	w.waits = slices.DeleteFunc(w.waits, func(x wait) bool { return x.number <= number })
	if w.healedTo != 0 && number >= w.healedTo {
		w.healedTo = 0
	}
}

func (c *checkers) sample(b *simBroker, x wait) {
	took := c.sim.now - x.since
	if x.heal {
		c.healed = append(c.healed, took)
		if took > inForceWithin {
			c.found("heal", "%s has %d in force %v after a heal", b.name(), x.number, took)
		}
		return
	}
	c.usual = append(c.usual, took)
}

func (c *checkers) published(number uint64) {
	for _, w := range c.brokers {
		if w.good {
			w.waits = append(w.waits, wait{number: number, since: c.sim.now})
		}
	}
}

// faultsChanged looks which brokers have a hub in reach that a quorum confirms.
func (c *checkers) faultsChanged() {
	var quorum [hubs]bool
	for i, h := range c.sim.hubs {
		quorum[i] = c.sim.quorum(h)
	}
	for i, b := range c.sim.fleet {
		c.look(b, c.brokers[i], quorum)
	}
}

func (c *checkers) look(b *simBroker, w *watched, quorum [hubs]bool) {
	s := c.sim
	good, since := false, time.Duration(0)
	for i, h := range s.hubs {
		ok := quorum[i] && b.up && !b.paused && s.open(b, h, toHub) && s.open(b, h, toBroker)
		if ok && !w.goods[i] {
			w.since[i] = s.now
		}
		w.goods[i] = ok
		if ok && (!good || w.since[i] < since) {
			good, since = true, w.since[i]
		}
	}
	newest := uint64(len(s.log))
	switch {
	case good && !w.good:
		if newest > w.inForce {
			w.waits = append(w.waits, wait{number: newest, since: s.now, heal: true})
		}
		if s.now-w.badFrom > time.Minute && newest > 0 {
			w.healedTo, w.earlier = newest, 0
		}
	case good:
		// Whichever hub was in reach all the time counts; where none was, the time begins anew.
		for i := range w.waits {
			w.waits[i].since = max(w.waits[i].since, since)
		}
	case w.good:
		w.badFrom = s.now
		c.giveUp(b, w)
	}
	w.good = good
}

// giveUp ends the waits of a broker that has no hub in reach any more: only those that are late count.
func (c *checkers) giveUp(b *simBroker, w *watched) {
	for _, x := range w.waits {
		if c.sim.now-x.since > inForceWithin {
			c.sample(b, x)
		}
	}
	w.waits = nil
}

// honest checks that no broker understates how far it may be behind: whatever was published before its last
// confirmation is known to it.
func (c *checkers) honest() {
	s := c.sim
	for _, b := range s.fleet {
		status := b.follower.Status(s.time())
		if !b.up || !status.StalenessKnown || status.Newest >= uint64(len(s.log)) {
			continue
		}
		missed := s.at[status.Newest] // the first revision that it has not heard of
		if confirmed := s.now - status.Staleness; confirmed > missed+time.Millisecond {
			c.found("honest", "%s knows %d and says that it is %v behind at most; it is %v behind",
				b.name(), status.Newest, status.Staleness, s.now-missed)
		}
	}
}

// storms checks how many brokers called a hub within any second.
func (c *checkers) storms() (most int) {
	for _, h := range c.sim.hubs {
		first := 0
		for i, at := range h.calls {
			for h.calls[first] <= at-time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	if bound := stormShare*float64(len(c.sim.fleet)) + 10; float64(most) > bound {
		c.found("storm", "%d of %d brokers called one hub within a second", most, len(c.sim.fleet))
	}
	return most
}

// flapping checks that no broker of a region opened more streams than allowed.
func (c *checkers) flapping(region, most int) {
	for _, b := range c.sim.fleet {
		if regionOfZone(b.zone) == region && b.opened > most {
			c.found("flapping", "%s opened %d streams", b.name(), b.opened)
		}
	}
}

// following counts which brokers of a region follow no hub at this moment. A few may: each looks for another hub, for
// some seconds, every few minutes.
func (c *checkers) following(region int, without map[*simBroker]int) {
	all, idle := 0, 0
	for _, b := range c.sim.fleet {
		if regionOfZone(b.zone) != region {
			continue
		}
		all++
		if b.follower.Status(c.sim.time()).Control == "" {
			idle++
			without[b]++
		}
	}
	if idle > all/20+2 {
		c.found("flapping", "%d of %d brokers follow no hub though one is in reach", idle, all)
	}
}

// books checks, after a quiet while, that the hubs' books say what is so.
func (c *checkers) books() {
	s := c.sim
	connected := map[string]*configpb.Report{}
	for _, h := range s.hubs {
		status := h.hub.Status(s.time())
		for _, broker := range status.Brokers {
			if broker.GetConnected() {
				connected[broker.GetReport().GetName()] = broker.GetReport()
			}
		}
		if lagging := h.hub.Lagging(s.time()); len(lagging) > 0 {
			c.found("books", "hub %d: these lag: %v", h.index, lagging)
		}
	}
	for i, b := range s.fleet {
		report := connected[b.name()]
		if report == nil {
			c.found("books", "%s is connected to no hub", b.name())
			continue
		}
		if report.GetInForce() != c.brokers[i].inForce {
			c.found("books", "%s has %d in force, and %d by the books", b.name(), c.brokers[i].inForce, report.GetInForce())
		}
		refusal := report.GetRefusal()
		if n := refusal.GetNumber(); n != 0 && (!refuses(i, n) || refusal.GetKey() != "settings.port") {
			c.found("books", "%s did not refuse %d", b.name(), n)
		}
	}
}

// finish counts what is still waited for.
func (c *checkers) finish() {
	for i, b := range c.sim.fleet {
		c.giveUp(b, c.brokers[i])
	}
	if p99 := percentile(c.usual, 0.99); p99 > inForceWithin {
		c.found("late", "revisions are in force after %v at the 99th percentile", p99)
	}
	c.honest()
}

// names returns which checkers found something.
func (c *checkers) names() map[string]int {
	names := map[string]int{}
	for _, f := range c.findings {
		names[f.checker]++
	}
	return names
}

func percentile(samples []time.Duration, p float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// counts sums what the followers that are up have dropped.
func (c *checkers) counts() (sum distribution.UpdateCounts) {
	for _, b := range c.sim.fleet {
		counts := b.follower.Status(c.sim.time()).Counts
		sum.Corrupt += counts.Corrupt
		sum.Stale += counts.Stale
		sum.Duplicate += counts.Duplicate
		sum.Oversized += counts.Oversized
		sum.Malformed += counts.Malformed
		sum.StreamsTimedOut += counts.StreamsTimedOut
		sum.Failovers += counts.Failovers
		sum.StreamsEnded += counts.StreamsEnded
		sum.StreamsOpened += counts.StreamsOpened
	}
	return sum
}
