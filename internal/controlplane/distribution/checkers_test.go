package distribution_test

import (
	"fmt"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

const (
	propagationDeadline = 8 * time.Second
	// maxStormRatio is the largest share of the fleet that may call one hub within a second: the waits of internal/backoff
	// spread a fleet that has one hub left over 2 s, and half as many again come by chance.
	maxStormRatio = 0.75
	// maxStreamsPerHour bounds the streams of a broker that has a hub in reach which no quorum confirms: 12 times it
	// looks for another one, at three hubs and back.
	maxStreamsPerHour = 60
)

// finding is what a checker found wrong.
type finding struct {
	checker string
	detail  string
}

// expectedRevision is a revision that a broker ought to get.
type expectedRevision struct {
	number uint64
	since  time.Duration
	heal   bool // since the broker had a hub in reach again, and not since the publication
}

// brokerHistory is what the checkers know of one broker.
type brokerHistory struct {
	instance       int
	inForce        uint64 // the highest of this instance
	connectable    bool   // it runs, and some hub that a quorum confirms is in reach
	reachableSince [hubs]time.Duration
	reachableHubs  [hubs]bool
	expected       []expectedRevision
	disconnectedAt time.Duration // when it was last not good
	catchUpTo      uint64        // newest at the heal; 0: none is awaited
	replayed       int           // revisions below healedTo that were applied since the heal
}

// checkers watch a simulation from outside.
type checkers struct {
	sim              *simulation
	brokers          []*brokerHistory
	findings         []finding
	propagationTimes []time.Duration // publication to in force
	recoveryTimes    []time.Duration // heal to in force
	recoveries       int             // heals that were looked at
	maxInFlight      int             // revisions that a stream may have held when a cut or a pause began
}

func newCheckers(s *simulation) *checkers {
	c := &checkers{sim: s}
	for range s.brokers {
		c.brokers = append(c.brokers, &brokerHistory{})
	}
	return c
}

func (c *checkers) addFinding(checker, format string, args ...any) {
	if len(c.findings) < 1000 {
		detail := fmt.Sprintf("at %v: ", c.sim.now) + fmt.Sprintf(format, args...)
		c.findings = append(c.findings, finding{checker, detail})
	}
}

func (c *checkers) brokerStarted(b *simBroker) {
	w := c.brokers[b.index]
	w.instance, w.inForce = b.instance, 0
	w.expected, w.connectable = nil, false
	w.reachableHubs = [hubs]bool{}
	w.catchUpTo = 0
}

// revisionApplied checks that numbers rise, that documents are whole, and that nothing is replayed after a heal.
func (c *checkers) revisionApplied(b *simBroker, revision *configpb.Revision) {
	w, number := c.brokers[b.index], revision.GetNumber()
	switch {
	case number < w.inForce:
		c.addFinding("back", "%s applies %d after %d", b.name(), number, w.inForce)
	case number == w.inForce:
		c.addFinding("twice", "%s applies %d twice", b.name(), number)
	}
	if number == 0 || number > uint64(len(c.sim.log)) ||
		string(revision.GetDocument()) != string(c.sim.log[number-1].GetDocument()) {
		c.addFinding("half", "%s applies %d with another document than was published", b.name(), number)
	}
	if w.catchUpTo != 0 {
		c.recoveries++
		if number < w.catchUpTo {
			w.replayed++
		}
		if w.replayed > c.maxInFlight {
			c.addFinding("replay", "%s applies %d after a heal, when %d was the newest", b.name(), number, w.catchUpTo)
		}
		if number >= w.catchUpTo {
			w.catchUpTo = 0
		}
	}
	w.inForce = max(w.inForce, number)
	w.expected = slices.DeleteFunc(w.expected, func(x expectedRevision) bool {
		if x.number <= number {
			c.recordLatency(b, x)
		}
		return x.number <= number
	})
}

// revisionRejected ends the waits for a revision: it cannot be in force at this broker.
func (c *checkers) revisionRejected(b *simBroker, number uint64) {
	w := c.brokers[b.index]
	w.expected = slices.DeleteFunc(w.expected, func(x expectedRevision) bool { return x.number <= number })
	if w.catchUpTo != 0 && number >= w.catchUpTo {
		w.catchUpTo = 0
	}
}

func (c *checkers) recordLatency(b *simBroker, x expectedRevision) {
	took := c.sim.now - x.since
	if x.heal {
		c.recoveryTimes = append(c.recoveryTimes, took)
		if took > propagationDeadline {
			c.addFinding("heal", "%s has %d in force %v after a heal", b.name(), x.number, took)
		}
		return
	}
	c.propagationTimes = append(c.propagationTimes, took)
}

func (c *checkers) revisionPublished(number uint64) {
	for _, w := range c.brokers {
		if w.connectable {
			w.expected = append(w.expected, expectedRevision{number: number, since: c.sim.now})
		}
	}
}

// faultsChanged looks which brokers have a hub in reach that a quorum confirms.
func (c *checkers) faultsChanged() {
	var quorum [hubs]bool
	for i, h := range c.sim.hubs {
		quorum[i] = c.sim.hasQuorum(h)
	}
	for i, b := range c.sim.fleet {
		c.updateReachability(b, c.brokers[i], quorum)
	}
}

func (c *checkers) updateReachability(b *simBroker, w *brokerHistory, quorum [hubs]bool) {
	s := c.sim
	good, since := false, time.Duration(0)
	for i, h := range s.hubs {
		ok := quorum[i] && b.up && !b.paused && s.reachable(b, h, toHub) && s.reachable(b, h, toBroker)
		if ok && !w.reachableHubs[i] {
			w.reachableSince[i] = s.now
		}
		w.reachableHubs[i] = ok
		if ok && (!good || w.reachableSince[i] < since) {
			good, since = true, w.reachableSince[i]
		}
	}
	newest := uint64(len(s.log))
	switch {
	case good && !w.connectable:
		if newest > w.inForce {
			w.expected = append(w.expected, expectedRevision{number: newest, since: s.now, heal: true})
		}
		if s.now-w.disconnectedAt > time.Minute && newest > 0 {
			w.catchUpTo, w.replayed = newest, 0
		}
	case good:
		// Whichever hub was in reach all the time counts; where none was, the time begins anew.
		for i := range w.expected {
			w.expected[i].since = max(w.expected[i].since, since)
		}
	case w.connectable:
		w.disconnectedAt = s.now
		c.dropExpected(b, w)
	}
	w.connectable = good
}

// dropExpected ends the waits of a broker that has no hub in reach any more: only those that are late count.
func (c *checkers) dropExpected(b *simBroker, w *brokerHistory) {
	for _, x := range w.expected {
		if c.sim.now-x.since > propagationDeadline {
			c.recordLatency(b, x)
		}
	}
	w.expected = nil
}

// checkStaleness checks that no broker understates how far it may be behind: whatever was published before its last
// confirmation is known to it.
func (c *checkers) checkStaleness() {
	s := c.sim
	for _, b := range s.fleet {
		status := b.follower.Status(s.time())
		if !b.up || !status.StalenessKnown || status.Newest >= uint64(len(s.log)) {
			continue
		}
		missed := s.publishedAt[status.Newest] // the first revision that it has not heard of
		if confirmed := s.now - status.Staleness; confirmed > missed+time.Millisecond {
			c.addFinding("honest", "%s knows %d and says that it is %v behind at most; it is %v behind",
				b.name(), status.Newest, status.Staleness, s.now-missed)
		}
	}
}

// checkStorms checks how many brokers called a hub within any second.
func (c *checkers) checkStorms() (worst int) {
	for _, h := range c.sim.hubs {
		first := 0
		for i, at := range h.connectedAt {
			for h.connectedAt[first] <= at-time.Second {
				first++
			}
			worst = max(worst, i-first+1)
		}
	}
	if bound := maxStormRatio*float64(len(c.sim.fleet)) + 10; float64(worst) > bound {
		c.addFinding("storm", "%d of %d brokers called one hub within a second", worst, len(c.sim.fleet))
	}
	return worst
}

// checkStreamsOpened checks that no broker of a region opened more streams than allowed.
func (c *checkers) checkStreamsOpened(region, limit int) {
	for _, b := range c.sim.fleet {
		if regionOfZone(b.zone) == region && b.streamsOpened > limit {
			c.addFinding("flapping", "%s opened %d streams", b.name(), b.streamsOpened)
		}
	}
}

// checkFollowing counts which brokers of a region follow no hub at this moment. A few may: each looks for another hub, for
// some seconds, every few minutes.
func (c *checkers) checkFollowing(region int, without map[*simBroker]int) {
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
		c.addFinding("flapping", "%d of %d brokers follow no hub though one is in reach", idle, all)
	}
}

// checkStatus checks, after a quiet while, that the hubs' books say what is so.
func (c *checkers) checkStatus() {
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
			c.addFinding("books", "hub %d: these lag: %v", h.index, lagging)
		}
	}
	for i, b := range s.fleet {
		report := connected[b.name()]
		if report == nil {
			c.addFinding("books", "%s is connected to no hub", b.name())
			continue
		}
		if report.GetInForce() != c.brokers[i].inForce {
			c.addFinding("books", "%s has %d in force, and %d by the books", b.name(), c.brokers[i].inForce, report.GetInForce())
		}
		refusal := report.GetRefusal()
		if n := refusal.GetNumber(); n != 0 && (!rejects(i, n) || refusal.GetKey() != "settings.port") {
			c.addFinding("books", "%s did not refuse %d", b.name(), n)
		}
	}
}

// finish counts what is still waited for.
func (c *checkers) finish() {
	for i, b := range c.sim.fleet {
		c.dropExpected(b, c.brokers[i])
	}
	if p99 := percentile(c.propagationTimes, 0.99); p99 > propagationDeadline {
		c.addFinding("late", "revisions are in force after %v at the 99th percentile", p99)
	}
	c.checkStaleness()
}

// findingCounts returns which checkers found something.
func (c *checkers) findingCounts() map[string]int {
	counts := map[string]int{}
	for _, f := range c.findings {
		counts[f.checker]++
	}
	return counts
}

func percentile(samples []time.Duration, p float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// updateCounts sums what the followers that are up have dropped.
func (c *checkers) updateCounts() (sum distribution.UpdateCounts) {
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
