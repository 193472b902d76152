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

// A simulation is four members and some clients on a virtual network and clock, driven by one seed: the same seed gives
// the same run. It has three phases: without faults, with faults, healed.
const (
	calmUntil        = 4 * time.Second
	disorderUntil    = 30 * time.Second
	agreementTimeout = 20 * time.Second // after the heal: an election of 3 s, and a retry of a lost snapshot after 15 s
	clientsUntil     = disorderUntil + 3*time.Second
	endAt            = disorderUntil + agreementTimeout

	simulatedVoterTimeout = 6 * time.Second
	maxDrift              = 0.05 // maximum relative drift of a clock
	clientCount           = 3
)

// simulation is one run.
type simulation struct {
	seed    uint64
	fault   fault
	random  *rand.Rand
	now     time.Duration
	events  simulationtest.EventQueue
	ended   bool
	members map[uint64]*simulatedMember
	network network
	clients []*client
	checker *invariantChecker
	trace   io.Writer // written to a digest
	digest  func() uint64
	stats   simulationStats
}

// simulationStats count the events of a run, so that a test can require that its invariants were exercised.
type simulationStats struct {
	crashes, pauses, partitions, snapshots, promotions, acknowledged, reads, leaders int
}

// simulate runs one seed to its end. disks creates the disk of a member; nil: in memory.
func simulate(seed uint64, planted fault, disks func(id uint64) disk) *simulation {
	digest := fnv.New64a()
	s := &simulation{
		seed:    seed,
		fault:   planted,
		random:  rand.New(rand.NewPCG(seed, 0x10c)),
		members: make(map[uint64]*simulatedMember),
		network: network{cut: make(map[[2]uint64]bool), delay: 30 * time.Millisecond},
		checker: newChecker(),
		trace:   digest,
		digest:  digest.Sum64,
	}
	// raft draws its randomized election timeouts from crypto/rand.
	system := cryptorand.Reader
	cryptorand.Reader = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16)})
	defer func() { cryptorand.Reader = system }()

	if disks == nil {
		disks = s.memoryDisk
	}
	for _, id := range testMembers {
		s.addMember(id, disks(id))
	}
	for i := range clientCount {
		s.addClient(i)
	}
	s.after(calmUntil, s.disturb)
	s.at(disorderUntil, s.heal)
	s.at(clientsUntil, s.endEarly)
	s.run()
	for _, disagreement := range s.disagreements() {
		s.checker.addViolation(convergent, "%s", disagreement)
	}
	s.collectStats()
	s.checker.finish(s.members)
	return s
}

// memoryDisk returns a member's disk in memory, with the planted fault.
func (s *simulation) memoryDisk(id uint64) disk {
	planted := s.fault
	if planted == faultContent && id != 2 {
		planted = noFault
	}
	return newMemoryDisk(BootstrapSnapshot(testVoters, testLearners), planted)
}

// run runs the events in order until the end.
func (s *simulation) run() {
	for at, ok := s.events.NextAt(); ok && at < endAt && !s.ended; at, ok = s.events.NextAt() {
		next := s.events.Pop()
		s.now = next.At
		next.Run()
	}
}

// endEarly ends the run once the clients are idle and the members have the same state.
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

// at schedules a function at a time of the simulation.
func (s *simulation) at(when time.Duration, run func()) {
	s.events.Schedule(max(when, s.now), run)
}

func (s *simulation) after(wait time.Duration, run func()) { s.at(s.now+wait, run) }

func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// isDisturbed reports whether the run is in its phase with faults.
func (s *simulation) isDisturbed() bool { return s.now >= calmUntil && s.now < disorderUntil }

// disagreements returns how the members' states differ.
func (s *simulation) disagreements() []string {
	var found []string
	first := s.members[1].node
	for _, id := range testMembers {
		m := s.members[id]
		confirmed := m.node.ConfirmedAge(s.local(m))
		same := m.node.Machine().Number() == first.Machine().Number() && m.node.Leader() == first.Leader() &&
			m.node.Machine().Applied() == first.Machine().Applied()
		if !m.up || !same || first.Leader() == 0 || confirmed > 2*time.Second {
			found = append(found, fmt.Sprintf("member %d up %v: applied %d and %d, leader %d and %d, confirmed %v", id,
				m.up, m.node.Machine().Applied(), first.Machine().Applied(), m.node.Leader(), first.Leader(), confirmed))
		}
	}
	return found
}

// collectStats sets the statistics that are known at the end.
func (s *simulation) collectStats() {
	s.stats.promotions = s.promotions()
	s.stats.acknowledged = len(s.checker.acknowledgements)
	s.stats.leaders = len(s.checker.leaders)
}

// promotions returns 1 if the voters are not those of the start, else 0.
func (s *simulation) promotions() int {
	for _, id := range testVoters {
		if !isVoter(s.members[1].node.confState, id) {
			return 1
		}
	}
	return 0
}
