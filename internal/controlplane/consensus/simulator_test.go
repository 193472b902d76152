package consensus

import (
	"container/heap"
	cryptorand "crypto/rand"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// A simulation is four members and some clients on a virtual network and clock, from one seed: the same seed gives the
// same run. It goes in three parts: calm, then disorder, then healed.
const (
	calmUntil        = 4 * time.Second
	disorderUntil    = 30 * time.Second
	agreementTimeout = 20 * time.Second // after the heal: an election of 3 s, and a lost snapshot again after 15 s
	clientsUntil     = disorderUntil + 3*time.Second
	endAt            = disorderUntil + agreementTimeout

	simulatedVoterTimeout = 6 * time.Second
	maxDrift              = 0.05 // of a clock, to either side
	clientCount           = 3
)

type simulation struct {
	seed       uint64
	fault      fault
	random     *rand.Rand
	now        time.Duration
	events     eventQueue
	eventCount int // of events pushed: orders those of one time
	ended      bool
	members    map[uint64]*simulatedMember
	network    network
	clients    []*client
	checker    *invariantChecker
	trace      io.Writer // digest of the run
	digest     func() uint64
	stats      simulationStats
}

// simulationStats tells what a run has met, so that a test sees that there was something to check.
type simulationStats struct {
	crashes, pauses, cuts, snapshots, changes, acknowledged, reads, leaders int
}

type network struct {
	cut    map[[2]uint64]bool // from, to
	loss   float64
	double float64
	delay  time.Duration // at most, of each message on its own, so that they overtake each other
}

type simulatedMember struct {
	id              uint64
	node            *Node
	disk            disk
	up              bool
	incarnation     int // of restarts: events of an earlier one are void
	pausedUntil     time.Duration
	saving          *Ready
	offset          time.Duration // of its clock
	rate            float64       // of its clock
	leaderContactAt time.Duration // when its leader last spoke, with faultHeartbeatsConfirm
	publish         map[uint64][]func(ProposalOutcome)
	read            map[uint64]func(ReadOutcome)
	readID          uint64
	skipping        bool // with faultRevisionSkipped: it has yet to lose one
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulate runs one seed to its end. disks makes the storage of a member; nil: in memory.
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
	// raft draws its election timeouts from crypto/rand.
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

func (s *simulation) memoryDisk(id uint64) disk {
	planted := s.fault
	if planted == faultContent && id != 2 {
		planted = noFault
	}
	return newMemoryDisk(BootstrapSnapshot(testVoters, testLearners), planted)
}

func (s *simulation) run() {
	for len(s.events) > 0 && s.events[0].at < endAt && !s.ended {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// endEarly ends the run once the clients are done and the members agree.
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

func (s *simulation) at(when time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.events, event{at: max(when, s.now), order: s.eventCount, run: do})
}

func (s *simulation) after(wait time.Duration, do func()) { s.at(s.now+wait, do) }

func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) isDisturbed() bool { return s.now >= calmUntil && s.now < disorderUntil }

func (s *simulation) addMember(id uint64, storage disk) {
	m := &simulatedMember{
		id:       id,
		disk:     storage,
		offset:   s.between(-time.Hour, time.Hour),
		rate:     1 + maxDrift*(2*s.random.Float64()-1),
		skipping: s.fault == faultRevisionSkipped && id == 3,
	}
	s.members[id] = m
	s.start(m)
}

// local returns the time of a member's clock.
func (s *simulation) local(m *simulatedMember) time.Time {
	return epoch.Add(m.offset + time.Duration(float64(s.now)*m.rate))
}

func (s *simulation) start(m *simulatedMember) {
	m.up, m.saving, m.pausedUntil = true, nil, 0
	m.incarnation++
	m.publish = make(map[uint64][]func(ProposalOutcome))
	m.read = make(map[uint64]func(ReadOutcome))
	node, err := New(Options{
		ID: m.id, Members: testMembers, Incarnation: uint64(m.incarnation), VoterTimeout: simulatedVoterTimeout,
		snapshotEntries: 12, trailingEntries: 4,
	}, m.disk, s.local(m))
	if err != nil {
		s.checker.addViolation(accepting, "member %d does not start: %v", m.id, err)
		m.up = false
		s.after(time.Second, func() { s.start(m) })
		return
	}
	m.node = node
	s.checker.checkRestarted(m.id, node.Machine())
	s.tick(m, m.incarnation)
}

func (s *simulation) tick(m *simulatedMember, life int) {
	if !m.up || m.incarnation != life {
		return
	}
	if s.now >= m.pausedUntil {
		m.node.Tick(s.local(m))
		s.startSave(m)
		s.checkMember(m)
	}
	if m.incarnation == life {
		wait := time.Duration(float64(DefaultTickInterval) / m.rate)
		s.after(max(wait, m.pausedUntil-s.now), func() { s.tick(m, life) })
	}
}

// checkMember checks what a member tells of itself.
func (s *simulation) checkMember(m *simulatedMember) {
	if !m.up {
		return
	}
	if m.node.members.leaderTerm != 0 {
		s.checker.checkLeader(m.id, m.node.members.leaderTerm)
	}
	confirmed := m.node.ConfirmedAge(s.local(m))
	if s.fault == faultHeartbeatsConfirm {
		confirmed = time.Duration(float64(s.now-m.leaderContactAt) * m.rate)
	}
	if confirmed == Unconfirmed {
		return
	}
	s.checker.checkConfirmed(m.id, s.now-time.Duration(float64(confirmed)/m.rate), m.node.Machine().Number())
}

// startSave starts the next save, unless one is under way.
func (s *simulation) startSave(m *simulatedMember) {
	if !m.up || m.saving != nil {
		return
	}
	if err := m.node.Err(); err != nil {
		s.checker.addViolation(accepting, "member %d: %v", m.id, err)
		s.crash(m, time.Second)
		return
	}
	m.saving = m.node.Ready()
	if m.saving == nil {
		return
	}
	life := m.incarnation
	s.after(s.between(100*time.Microsecond, 8*time.Millisecond), func() { s.finishSave(m, life) })
}

// finishSave ends a save: the messages go, and what is committed is applied.
func (s *simulation) finishSave(m *simulatedMember, life int) {
	if !m.up || m.incarnation != life {
		return
	}
	if s.now < m.pausedUntil {
		s.at(m.pausedUntil, func() { s.finishSave(m, life) })
		return
	}
	ready := m.saving
	s.save(m, ready)
	for _, message := range ready.Messages {
		s.send(message)
	}
	m.saving = nil
	if s.isDisturbed() && s.chance(crashChance(ready.Messages)) { // between sending and applying
		s.crash(m, s.between(0, 20*time.Millisecond))
		return
	}
	s.handleApplied(m, m.node.Advance())
	s.startSave(m)
}

// crashChance is higher right after a vote, where a restart that forgets it would do harm.
func crashChance(sent []*raftpb.Message) float64 {
	for _, message := range sent {
		if message.GetType() == raftpb.MsgVoteResp && !message.GetReject() {
			return 0.2
		}
	}
	return 0.001
}

func (s *simulation) save(m *simulatedMember, ready *Ready) {
	must(m.disk.Save(ready.HardState, ready.Entries, ready.Snapshot))
	if ready.Compaction != nil {
		must(m.disk.Compact(ready.Compaction.Snapshot, ready.Compaction.FirstIndex))
	}
}

// handleApplied hands out what an Advance has brought.
func (s *simulation) handleApplied(m *simulatedMember, applied Applied) {
	if m.skipping && len(applied.Revisions) > 0 && s.isDisturbed() {
		m.skipping = false
		applied.Revisions = applied.Revisions[1:]
	}
	if applied.Restored {
		s.stats.snapshots++
	}
	s.checker.checkAdvance(m.id, applied, m.node.Machine())
	for _, outcome := range applied.Proposals {
		waiting := m.publish[outcome.Request]
		delete(m.publish, outcome.Request)
		for _, answer := range waiting {
			answer(outcome)
		}
	}
	for _, outcome := range applied.Reads {
		if answer := m.read[outcome.ID]; answer != nil {
			delete(m.read, outcome.ID)
			answer(outcome)
		}
	}
	fmt.Fprintln(s.trace, s.now, m.id, m.node.Machine().Applied(), m.node.Machine().Number())
}

// send puts a message on the network.
func (s *simulation) send(message *raftpb.Message) {
	data, err := EncodeMessage(message)
	must(err)
	from, to := message.GetFrom(), message.GetTo()
	s.transmit(from, to, func() { s.deliver(to, data) })
}

// transmit carries something from one end to another, 0 being the clients.
func (s *simulation) transmit(from, to uint64, arrive func()) {
	copies := 1
	if s.chance(s.network.double) {
		copies = 2
	}
	for range copies {
		if s.network.cut[[2]uint64{from, to}] || s.chance(s.network.loss) {
			continue
		}
		s.after(s.between(time.Millisecond, s.network.delay), arrive)
	}
}

func (s *simulation) deliver(to uint64, data []byte) {
	m := s.members[to]
	if !m.up {
		return
	}
	if s.now < m.pausedUntil {
		s.at(m.pausedUntil, func() { s.deliver(to, data) })
		return
	}
	message, err := DecodeMessage(data)
	must(err)
	if err := m.node.Step(message); err != nil {
		s.checker.addViolation(accepting, "member %d: %v", to, err)
	}
	if message.GetFrom() == m.node.Leader() {
		m.leaderContactAt = s.now
	}
	s.startSave(m)
	s.checkMember(m)
}

// crash ends a member: only what it saved is left. A save under way has reached the disk or not.
func (s *simulation) crash(m *simulatedMember, downFor time.Duration) {
	if !m.up {
		return
	}
	s.stats.crashes++
	if m.saving != nil && s.chance(0.5) {
		s.save(m, m.saving)
	}
	m.up, m.saving = false, nil
	life := m.incarnation
	s.after(downFor, func() {
		if m.up || m.incarnation != life {
			return
		}
		must(m.disk.Reopen())
		s.start(m)
	})
}

// disturb does something bad and comes again.
func (s *simulation) disturb() {
	if s.now >= disorderUntil {
		return
	}
	m := s.members[testMembers[s.random.IntN(len(testMembers))]]
	switch s.random.IntN(9) {
	case 0:
		s.crash(m, s.between(50*time.Millisecond, 10*time.Second))
	case 1:
		s.stats.pauses++
		m.pausedUntil = s.now + s.between(100*time.Millisecond, 6*time.Second)
	case 2, 3:
		s.cutOff(m)
	case 4:
		s.network.loss = 0.3 * s.random.Float64()
		s.network.double = 0.2 * s.random.Float64()
		s.network.delay = s.between(5*time.Millisecond, 400*time.Millisecond)
	case 5:
		s.crashLeader()
	case 6:
		s.campaignTogether()
	default:
		clear(s.network.cut)
	}
	s.after(s.between(200*time.Millisecond, 3*time.Second), s.disturb)
}

// campaignTogether lets two members ask for the same term, when all have lost their leader.
func (s *simulation) campaignTogether() {
	for _, from := range testMembers {
		for _, to := range testMembers {
			s.network.cut[[2]uint64{from, to}] = true
		}
	}
	s.after(2*electionTicks*DefaultTickInterval, func() {
		if !s.isDisturbed() {
			return
		}
		clear(s.network.cut)
		s.network.delay = 400 * time.Millisecond
		for range 2 {
			if m := s.members[testMembers[s.random.IntN(len(testMembers))]]; m.up && s.now >= m.pausedUntil {
				must(m.node.raw.Campaign())
				s.startSave(m)
			}
		}
	})
}

// cutOff cuts one member from some others, in one direction or both.
func (s *simulation) cutOff(m *simulatedMember) {
	s.stats.cuts++
	out, in := s.chance(0.7), s.chance(0.7)
	for _, other := range testMembers {
		if other == m.id || s.chance(0.25) {
			continue
		}
		s.network.cut[[2]uint64{m.id, other}] = out
		s.network.cut[[2]uint64{other, m.id}] = in
	}
}

func (s *simulation) crashLeader() {
	for _, id := range testMembers {
		if m := s.members[id]; m.up && m.node.members.leaderTerm != 0 {
			s.crash(m, s.between(50*time.Millisecond, 10*time.Second))
			return
		}
	}
}

func (s *simulation) heal() {
	s.network = network{cut: make(map[[2]uint64]bool), delay: 30 * time.Millisecond}
	for _, id := range testMembers {
		m := s.members[id]
		m.pausedUntil = min(m.pausedUntil, s.now)
		if !m.up {
			must(m.disk.Reopen())
			s.start(m)
		}
	}
	if s.fault == faultNeverHeals {
		for _, id := range testMembers[1:] {
			s.network.cut[[2]uint64{id, 1}] = true
		}
	}
}

// disagreements tells in what the members have not come to the same state.
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

func (s *simulation) collectStats() {
	s.stats.changes = s.promotions()
	s.stats.acknowledged = len(s.checker.acknowledgements)
	s.stats.leaders = len(s.checker.leaders)
}

// promotions tells whether the voters are others than at the start.
func (s *simulation) promotions() int {
	for _, id := range testVoters {
		if !isVoter(s.members[1].node.confState, id) {
			return 1
		}
	}
	return 0
}
