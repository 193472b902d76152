package distribution_test

import (
	"fmt"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

const (
	// propagationDeadline repeats distribution.PropagationDeadline, so that the tests fail if that is changed.
	propagationDeadline = 8 * time.Second
	// maxConnectRatio is the maximum fraction of the fleet that may connect to one hub within a second. If only one hub is
	// left, package backoff spreads the fleet over 2 s, which averages half of it per second; 50 % more is allowed for
	// randomness.
	maxConnectRatio = 0.75
	// maxStreamsPerHour is the maximum number of streams of a broker that reaches only unconfirmed hubs: it fails over 12
	// times, each time to the three other hubs and back.
	maxStreamsPerHour = 60
)

// finding is a violation reported by a checker.
type finding struct {
	checker string
	detail  string
}

// expectedRevision is a revision that a broker has yet to put in force.
type expectedRevision struct {
	number   uint64
	since    time.Duration // time of publication or, if recovery is set, when the broker could reach a hub again
	recovery bool
}

// brokerRecord is what the checkers record about one broker.
type brokerRecord struct {
	instance       int
	inForce        uint64 // highest revision number applied by this instance
	connectable    bool   // the broker is running and reaches a hub that has a quorum
	reachableSince [hubs]time.Duration
	reachableHubs  [hubs]bool
	expected       []expectedRevision
	disconnectedAt time.Duration // when it last ceased to be connectable
	catchUpTo      uint64        // newest revision when it became connectable; 0: it has caught up
	replayed       int           // number of revisions below catchUpTo that it has applied since it became connectable
}

// checkers observes a simulation and collects findings.
type checkers struct {
	sim               *simulation
	brokers           []*brokerRecord
	findings          []finding
	propagationTimes  []time.Duration // from publication until in force
	recoveryTimes     []time.Duration // from when a broker became connectable again until in force
	appliedCatchingUp int             // number of revisions applied by brokers that were catching up
	maxInFlight       int             // maximum number of revisions buffered on a stream when a fault starts
}

func newCheckers(s *simulation) *checkers {
	c := &checkers{sim: s}
	for range s.brokers {
		c.brokers = append(c.brokers, &brokerRecord{})
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
	record := c.brokers[b.index]
	record.instance, record.inForce = b.instance, 0
	record.expected, record.connectable = nil, false
	record.reachableHubs = [hubs]bool{}
	record.catchUpTo = 0
}

// revisionApplied checks that numbers increase, that documents are intact, and that a broker skips to the newest revision when
// it catches up.
func (c *checkers) revisionApplied(b *simBroker, revision *configpb.Revision) {
	record, number := c.brokers[b.index], revision.GetNumber()
	switch {
	case number < record.inForce:
		c.addFinding("regression", "%s applied revision %d after revision %d", b.name(), number, record.inForce)
	case number == record.inForce:
		c.addFinding("duplicate", "%s applied revision %d twice", b.name(), number)
	}
	if number == 0 || number > uint64(len(c.sim.log)) ||
		string(revision.GetDocument()) != string(c.sim.log[number-1].GetDocument()) {
		c.addFinding("corrupt", "%s applied revision %d with a document other than the published one", b.name(), number)
	}
	if record.catchUpTo != 0 {
		c.appliedCatchingUp++
		if number < record.catchUpTo {
			record.replayed++
		}
		if record.replayed > c.maxInFlight {
			c.addFinding("replay", "%s applied revision %d while catching up to revision %d", b.name(), number, record.catchUpTo)
		}
		if number >= record.catchUpTo {
			record.catchUpTo = 0
		}
	}
	record.inForce = max(record.inForce, number)
	record.expected = slices.DeleteFunc(record.expected, func(expected expectedRevision) bool {
		if expected.number <= number {
			c.recordLatency(b, expected)
		}
		return expected.number <= number
	})
}

// revisionRejected removes a revision that the broker has rejected, and earlier ones, from the expected revisions.
func (c *checkers) revisionRejected(b *simBroker, number uint64) {
	record := c.brokers[b.index]
	record.expected = slices.DeleteFunc(record.expected, func(expected expectedRevision) bool { return expected.number <= number })
	if record.catchUpTo != 0 && number >= record.catchUpTo {
		record.catchUpTo = 0
	}
}

func (c *checkers) recordLatency(b *simBroker, expected expectedRevision) {
	latency := c.sim.now - expected.since
	if expected.recovery {
		c.recoveryTimes = append(c.recoveryTimes, latency)
		if latency > propagationDeadline {
			c.addFinding("recovery", "%s put revision %d in force %v after it could reach a hub again", b.name(), expected.number, latency)
		}
		return
	}
	c.propagationTimes = append(c.propagationTimes, latency)
}

func (c *checkers) revisionPublished(number uint64) {
	for _, record := range c.brokers {
		if record.connectable {
			record.expected = append(record.expected, expectedRevision{number: number, since: c.sim.now})
		}
	}
}

// faultsChanged updates which brokers reach a hub that has a quorum.
func (c *checkers) faultsChanged() {
	var quorum [hubs]bool
	for i, h := range c.sim.hubs {
		quorum[i] = c.sim.hasQuorum(h)
	}
	for i, b := range c.sim.fleet {
		c.updateReachability(b, c.brokers[i], quorum)
	}
}

func (c *checkers) updateReachability(b *simBroker, record *brokerRecord, quorum [hubs]bool) {
	s := c.sim
	connectable, since := false, time.Duration(0)
	for i, h := range s.hubs {
		reachable := quorum[i] && b.up && !b.paused && s.reachable(b, h, toHub) && s.reachable(b, h, toBroker)
		if reachable && !record.reachableHubs[i] {
			record.reachableSince[i] = s.now
		}
		record.reachableHubs[i] = reachable
		if reachable && (!connectable || record.reachableSince[i] < since) {
			connectable, since = true, record.reachableSince[i]
		}
	}
	newest := uint64(len(s.log))
	switch {
	case connectable && !record.connectable:
		if newest > record.inForce {
			record.expected = append(record.expected, expectedRevision{number: newest, since: s.now, recovery: true})
		}
		if s.now-record.disconnectedAt > time.Minute && newest > 0 {
			record.catchUpTo, record.replayed = newest, 0
		}
	case connectable:
		// The latency is measured from the last time at which the broker could not reach any hub.
		for i := range record.expected {
			record.expected[i].since = max(record.expected[i].since, since)
		}
	case record.connectable:
		record.disconnectedAt = s.now
		c.dropExpected(b, record)
	}
	record.connectable = connectable
}

// dropExpected removes the expected revisions of a broker that no longer reaches a hub. It records the latency of those that
// are past the deadline.
func (c *checkers) dropExpected(b *simBroker, record *brokerRecord) {
	for _, expected := range record.expected {
		if c.sim.now-expected.since > propagationDeadline {
			c.recordLatency(b, expected)
		}
	}
	record.expected = nil
}

// checkStaleness checks that no broker understates its staleness: it must know every revision that was published before its
// last confirmation.
func (c *checkers) checkStaleness() {
	s := c.sim
	for _, b := range s.fleet {
		status := b.follower.Status(s.time())
		if !b.up || !status.StalenessKnown || status.Newest >= uint64(len(s.log)) {
			continue
		}
		missedAt := s.publishedAt[status.Newest] // publication of the first revision that the broker does not know
		if confirmedAt := s.now - status.Staleness; confirmedAt > missedAt+time.Millisecond {
			c.addFinding("staleness", "%s knows revision %d and reports a staleness of %v, want at least %v",
				b.name(), status.Newest, status.Staleness, s.now-missedAt)
		}
	}
}

// checkConnectStorms checks how many brokers connected to each hub within any second, and returns the maximum.
func (c *checkers) checkConnectStorms() (maxConnects int) {
	for _, h := range c.sim.hubs {
		first := 0
		for i, at := range h.connectedAt {
			for h.connectedAt[first] <= at-time.Second {
				first++
			}
			maxConnects = max(maxConnects, i-first+1)
		}
	}
	if bound := maxConnectRatio*float64(len(c.sim.fleet)) + 10; float64(maxConnects) > bound {
		c.addFinding("storm", "%d of %d brokers connected to one hub within a second, want at most %v", maxConnects,
			len(c.sim.fleet), bound)
	}
	return maxConnects
}

// checkStreamsOpened checks that no broker of a region has opened more streams than the limit.
func (c *checkers) checkStreamsOpened(region, limit int) {
	for _, b := range c.sim.fleet {
		if regionOfZone(b.zone) == region && b.streamsOpened > limit {
			c.addFinding("flapping", "%s opened %d streams, want at most %d", b.name(), b.streamsOpened, limit)
		}
	}
}

// checkFollowing checks that at most a few brokers of a region follow no hub at this moment, and counts for each broker in
// checksWithoutHub the checks that found it without a hub. A few brokers may follow none, because each fails over every few
// minutes, which takes some seconds.
func (c *checkers) checkFollowing(region int, checksWithoutHub map[*simBroker]int) {
	total, withoutHub := 0, 0
	for _, b := range c.sim.fleet {
		if regionOfZone(b.zone) != region {
			continue
		}
		total++
		if b.follower.Status(c.sim.time()).Control == "" {
			withoutHub++
			checksWithoutHub[b]++
		}
	}
	if withoutHub > total/20+2 {
		c.addFinding("flapping", "%d of %d brokers follow no hub although they can reach one", withoutHub, total)
	}
}

// checkStatus checks that the hubs' status matches the brokers. It is called after a period without faults.
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
			c.addFinding("status", "hub %d reports lagging brokers: %v", h.index, lagging)
		}
	}
	for i, b := range s.fleet {
		report := connected[b.name()]
		if report == nil {
			c.addFinding("status", "%s is not connected to any hub", b.name())
			continue
		}
		if report.GetInForce() != c.brokers[i].inForce {
			c.addFinding("status", "%s has revision %d in force, but the hub's status has %d", b.name(), c.brokers[i].inForce,
				report.GetInForce())
		}
		rejection := report.GetRefusal()
		if n := rejection.GetNumber(); n != 0 && (!rejects(i, n) || rejection.GetKey() != "settings.port") {
			c.addFinding("status", "unexpected rejection of revision %d by %s with key %q", n, b.name(), rejection.GetKey())
		}
	}
}

// finish checks the staleness and the latencies, including those of revisions that are not in force yet.
func (c *checkers) finish() {
	for i, b := range c.sim.fleet {
		c.dropExpected(b, c.brokers[i])
	}
	if p99 := percentile(c.propagationTimes, 0.99); p99 > propagationDeadline {
		c.addFinding("late", "revisions are in force %v after publication at the 99th percentile, want at most %v", p99,
			propagationDeadline)
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

// updateCounts returns the sums of the counters of all followers.
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
