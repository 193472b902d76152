package distribution_test

import (
	"fmt"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

const (
	propagationDeadline = 8 * time.Second // stated apart from the package's own, so that a change there fails the tests
	// maxStormRatio is the largest part of the fleet that may connect to one hub within a second: package backoff spreads
	// a fleet that has one hub left over 2 s, with 50 % above the mean as chance.
	maxStormRatio = 0.75
	// maxStreamsPerHour bounds the streams of a broker that reaches unconfirmed hubs only: it fails over 12 times, to
	// three other hubs and back.
	maxStreamsPerHour = 60
)

// finding is a violation that a checker found.
type finding struct {
	checker string
	detail  string
}

// expectedRevision is a revision that a broker has to put in force.
type expectedRevision struct {
	number uint64
	since  time.Duration
	heal   bool // since counts from when the broker reached a hub again, not from the publication
}

// brokerHistory is the checkers' record of one broker.
type brokerHistory struct {
	instance       int
	inForce        uint64 // highest number of this instance
	connectable    bool   // it runs, and reaches a hub that has a quorum
	reachableSince [hubs]time.Duration
	reachableHubs  [hubs]bool
	expected       []expectedRevision
	disconnectedAt time.Duration // when it was last not connectable
	catchUpTo      uint64        // newest revision when it became connectable; 0: it has caught up
	replayed       int           // revisions below catchUpTo that were applied since
}

// checkers observe a simulation from outside and collect findings.
type checkers struct {
	sim              *simulation
	brokers          []*brokerHistory
	findings         []finding
	propagationTimes []time.Duration // from publication to in force
	recoveryTimes    []time.Duration // from connectable again to in force
	recoveries       int             // revisions applied while a broker caught up
	maxInFlight      int             // revisions that may be buffered on a stream when a fault begins
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

// revisionApplied checks that numbers increase, that documents are intact, and that a broker skips to the newest
// revision when it catches up.
func (c *checkers) revisionApplied(b *simBroker, revision *configpb.Revision) {
	w, number := c.brokers[b.index], revision.GetNumber()
	switch {
	case number < w.inForce:
		c.addFinding("regression", "%s applies %d after %d", b.name(), number, w.inForce)
	case number == w.inForce:
		c.addFinding("duplicate", "%s applies %d twice", b.name(), number)
	}
	if number == 0 || number > uint64(len(c.sim.log)) ||
		string(revision.GetDocument()) != string(c.sim.log[number-1].GetDocument()) {
		c.addFinding("corrupt", "%s applies %d with another document than was published", b.name(), number)
	}
	if w.catchUpTo != 0 {
		c.recoveries++
		if number < w.catchUpTo {
			w.replayed++
		}
		if w.replayed > c.maxInFlight {
			c.addFinding("replay", "%s applies %d while it catches up to %d", b.name(), number, w.catchUpTo)
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

// revisionRejected removes a revision from the expected ones: this broker rejects it.
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
			c.addFinding("recovery", "%s has %d in force %v after it reached a hub again", b.name(), x.number, took)
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

// faultsChanged determines anew which brokers reach a hub that has a quorum.
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
		// The latency counts from when the broker last had no reachable hub.
		for i := range w.expected {
			w.expected[i].since = max(w.expected[i].since, since)
		}
	case w.connectable:
		w.disconnectedAt = s.now
		c.dropExpected(b, w)
	}
	w.connectable = good
}

// dropExpected removes the expected revisions of a broker that reaches no hub any more. Only those past the deadline
// are recorded.
func (c *checkers) dropExpected(b *simBroker, w *brokerHistory) {
	for _, x := range w.expected {
		if c.sim.now-x.since > propagationDeadline {
			c.recordLatency(b, x)
		}
	}
	w.expected = nil
}

// checkStaleness checks that no broker understates its staleness: it knows every revision that was published before
// its last confirmation.
func (c *checkers) checkStaleness() {
	s := c.sim
	for _, b := range s.fleet {
		status := b.follower.Status(s.time())
		if !b.up || !status.StalenessKnown || status.Newest >= uint64(len(s.log)) {
			continue
		}
		missed := s.publishedAt[status.Newest] // publication of the first revision that it does not know
		if confirmed := s.now - status.Staleness; confirmed > missed+time.Millisecond {
			c.addFinding("staleness", "%s knows %d and reports a staleness of %v; it is %v",
				b.name(), status.Newest, status.Staleness, s.now-missed)
		}
	}
}

// checkStorms checks how many brokers connected to a hub within any second, and returns the largest number.
func (c *checkers) checkStorms() (maxConnects int) {
	for _, h := range c.sim.hubs {
		first := 0
		for i, at := range h.connectedAt {
			for h.connectedAt[first] <= at-time.Second {
				first++
			}
			maxConnects = max(maxConnects, i-first+1)
		}
	}
	if bound := maxStormRatio*float64(len(c.sim.fleet)) + 10; float64(maxConnects) > bound {
		c.addFinding("storm", "%d of %d brokers connected to one hub within a second", maxConnects, len(c.sim.fleet))
	}
	return maxConnects
}

// checkStreamsOpened checks that no broker of a region opened more streams than the limit.
func (c *checkers) checkStreamsOpened(region, limit int) {
	for _, b := range c.sim.fleet {
		if regionOfZone(b.zone) == region && b.streamsOpened > limit {
			c.addFinding("flapping", "%s opened %d streams", b.name(), b.streamsOpened)
		}
	}
}

// checkFollowing checks how many brokers of a region follow no hub at this moment, and counts these checks by broker in
// checksWithoutHub. A few may follow none: each fails over every few
// minutes, which takes some seconds.
func (c *checkers) checkFollowing(region int, checksWithoutHub map[*simBroker]int) {
	all, idle := 0, 0
	for _, b := range c.sim.fleet {
		if regionOfZone(b.zone) != region {
			continue
		}
		all++
		if b.follower.Status(c.sim.time()).Control == "" {
			idle++
			checksWithoutHub[b]++
		}
	}
	if idle > all/20+2 {
		c.addFinding("flapping", "%d of %d brokers follow no hub though they reach one", idle, all)
	}
}

// checkStatus checks, after a time without faults, that the hubs' status matches the brokers.
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
			c.addFinding("status", "hub %d: lagging: %v", h.index, lagging)
		}
	}
	for i, b := range s.fleet {
		report := connected[b.name()]
		if report == nil {
			c.addFinding("status", "%s is connected to no hub", b.name())
			continue
		}
		if report.GetInForce() != c.brokers[i].inForce {
			c.addFinding("status", "%s has %d in force, and %d by the hub's status", b.name(), c.brokers[i].inForce, report.GetInForce())
		}
		rejection := report.GetRefusal()
		if n := rejection.GetNumber(); n != 0 && (!rejects(i, n) || rejection.GetKey() != "settings.port") {
			c.addFinding("status", "%s did not reject %d", b.name(), n)
		}
	}
}

// finish checks the latencies, with the revisions that are still expected.
func (c *checkers) finish() {
	for i, b := range c.sim.fleet {
		c.dropExpected(b, c.brokers[i])
	}
	if p99 := percentile(c.propagationTimes, 0.99); p99 > propagationDeadline {
		c.addFinding("late", "revisions are in force after %v at the 99th percentile", p99)
	}
	c.checkStaleness()
}

// findingCounts returns the number of findings by checker.
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

// updateCounts returns the sums of the followers' counters.
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
