package consensus

import (
	cryptorand "crypto/rand"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"mothrouter/internal/controlplane/simulationtest"
)

// A simulation consists of four members and some clients on a simulated network and clock. It is deterministic: the same
// seed gives the same run. It has three phases: without faults, with faults, and after the faults have ended.
const (
	faultsFrom       = 4 * time.Second
	faultsUntil      = 30 * time.Second
	agreementTimeout = 20 * time.Second // after faultsUntil: an election of 3 s and a retry of a lost snapshot after 15 s
	clientsUntil     = faultsUntil + 3*time.Second
	endAt            = faultsUntil + agreementTimeout

	simulatedVoterTimeout = 6 * time.Second
	maxClockDrift         = 0.05 // maximum relative drift of a clock
	clientCount           = 3
)

// simulation is the state of one run.
type simulation struct {
	seed    uint64
	fault   fault
	random  *rand.Rand
	now     time.Duration // since the start of the run
	events  simulationtest.EventQueue
	ended   bool
	members map[uint64]*simulatedMember // by id
	network network
	clients []*client
	checker *invariantChecker
	trace   io.Writer     // receives a line for each Advance
	digest  func() uint64 // hash of trace
	stats   simulationStats
}

// simulationStats counts the events of a run, so that a test can require that the run exercised the invariants.
type simulationStats struct {
	crashes      int
	pauses       int
	partitions   int
	snapshots    int // restored
	promotions   int
	acknowledged int // publications
	reads        int
	leaders      int // terms with a leader
}

// simulate runs the simulation of one seed to its end. newDisk creates the disk of a member; nil: an in-memory disk.
func simulate(seed uint64, injected fault, newDisk func(id uint64) disk) *simulation {
	digest := fnv.New64a()
	s := &simulation{
		seed:    seed,
		fault:   injected,
		random:  rand.New(rand.NewPCG(seed, 0x10c)),
		members: make(map[uint64]*simulatedMember),
		network: network{blocked: make(map[[2]uint64]bool), maxDelay: 30 * time.Millisecond},
		checker: newChecker(),
		trace:   digest,
		digest:  digest.Sum64,
	}
	// raft draws its randomized election timeouts from crypto/rand, which is replaced with a seeded source during the run.
	systemReader := cryptorand.Reader
	cryptorand.Reader = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16)})
	defer func() { cryptorand.Reader = systemReader }()

	if newDisk == nil {
		newDisk = s.newMemoryDisk
	}
	for _, id := range testMembers {
		s.addMember(id, newDisk(id))
	}
	for i := range clientCount {
		s.addClient(i)
	}
	s.after(faultsFrom, s.injectRandomFault)
	s.at(faultsUntil, s.heal)
	s.at(clientsUntil, s.endEarly)
	s.run()
	for _, disagreement := range s.disagreements() {
		s.checker.addViolation(convergent, "%s", disagreement)
	}
	s.collectStats()
	s.checker.finish(s.members)
	return s
}

// newMemoryDisk returns the in-memory disk of a member with the injected fault. Only member 2 corrupts documents.
func (s *simulation) newMemoryDisk(id uint64) disk {
	injected := s.fault
	if injected == faultCorruptDocument && id != 2 {
		injected = noFault
	}
	return newMemoryDisk(BootstrapSnapshot(testVoters, testLearners), injected)
}

// run runs the events in the order of their times until the simulation ends.
func (s *simulation) run() {
	for at, ok := s.events.NextAt(); ok && at < endAt && !s.ended; at, ok = s.events.NextAt() {
		next := s.events.Pop()
		s.now = next.At
		next.Run()
	}
}

// endEarly ends the run if the clients are idle and the members have the same state; otherwise it checks again later.
func (s *simulation) endEarly() {
	for _, c := range s.clients {
		s.ended = s.now >= clientsUntil && !c.inOperation
		if !s.ended {
			break
		}
	}
	s.ended = s.ended && len(s.disagreements()) == 0
	s.after(500*time.Millisecond, s.endEarly)
}

// at schedules a function at a simulated time, or now if that time has passed.
func (s *simulation) at(when time.Duration, run func()) {
	s.events.Schedule(max(when, s.now), run)
}

// after schedules a function after a simulated duration.
func (s *simulation) after(wait time.Duration, run func()) { s.at(s.now+wait, run) }

// chance returns true with a probability.
func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// between returns a random duration from low to high, both included.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// inFaultPhase reports whether the run is in the phase with faults.
func (s *simulation) inFaultPhase() bool { return s.now >= faultsFrom && s.now < faultsUntil }

// disagreements describes each member that is down, has a state different from member 1's, has no leader, or has not
// confirmed its revisions within the last 2 s.
func (s *simulation) disagreements() []string {
	var differing []string
	first := s.members[1].node
	for _, id := range testMembers {
		member := s.members[id]
		confirmedAge := member.node.ConfirmedAge(s.localTime(member))
		same := member.node.Machine().Number() == first.Machine().Number() && member.node.Leader() == first.Leader() &&
			member.node.Machine().Applied() == first.Machine().Applied()
		if !member.up || !same || first.Leader() == 0 || confirmedAge > 2*time.Second {
			differing = append(differing, fmt.Sprintf(
				"member %d: up %v, applied index %d (member 1: %d), leader %d (member 1: %d), confirmed age %v",
				id, member.up, member.node.Machine().Applied(), first.Machine().Applied(), member.node.Leader(), first.Leader(),
				confirmedAge))
		}
	}
	return differing
}

// collectStats sets the statistics that are known only at the end of the run.
func (s *simulation) collectStats() {
	s.stats.promotions = s.promotions()
	s.stats.acknowledged = len(s.checker.acknowledgements)
	s.stats.leaders = len(s.checker.leaders)
}

// promotions returns 1 if a voter of the initial configuration is no longer a voter, else 0.
func (s *simulation) promotions() int {
	for _, id := range testVoters {
		if !isVoter(s.members[1].node.confState, id) {
			return 1
		}
	}
	return 0
}
