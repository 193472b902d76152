package consensus

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// simulatedMember is a node with its disk, its clock and the callers that wait for it.
type simulatedMember struct {
	id              uint64
	node            *Node
	disk            disk
	up              bool
	incarnation     int // number of starts: events of an earlier one are ignored
	pausedUntil     time.Duration
	saving          *Ready
	offset          time.Duration // of its clock
	rate            float64       // of its clock
	leaderContactAt time.Duration // of the last message from its leader, for faultHeartbeatsConfirm
	publish         map[uint64][]func(ProposalOutcome)
	read            map[uint64]func(ReadOutcome)
	readID          uint64
	skipping        bool // with faultRevisionSkipped: it drops the next new revision
}

// addMember adds a member and starts it.
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

// local returns the time by a member's clock.
func (s *simulation) local(m *simulatedMember) time.Time {
	return epoch.Add(m.offset + time.Duration(float64(s.now)*m.rate))
}

// start creates the node of a member from its disk. It retries after a second if that fails, which is a violation.
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

// tick ticks a member, unless it is paused, and schedules its next tick.
func (s *simulation) tick(m *simulatedMember, incarnation int) {
	if !m.up || m.incarnation != incarnation {
		return
	}
	if s.now >= m.pausedUntil {
		m.node.Tick(s.local(m))
		s.startSave(m)
		s.checkMember(m)
	}
	if m.incarnation == incarnation {
		wait := time.Duration(float64(DefaultTickInterval) / m.rate)
		s.after(max(wait, m.pausedUntil-s.now), func() { s.tick(m, incarnation) })
	}
}

// checkMember checks the leadership and ConfirmedAge of a member.
func (s *simulation) checkMember(m *simulatedMember) {
	if !m.up {
		return
	}
	if m.node.leaderState.leaderTerm != 0 {
		s.checker.checkLeader(m.id, m.node.leaderState.leaderTerm)
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

// startSave starts to persist the next Ready, unless a save is in progress.
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
	incarnation := m.incarnation
	s.after(s.between(100*time.Microsecond, 8*time.Millisecond), func() { s.finishSave(m, incarnation) })
}

// finishSave ends a save: it sends the messages and advances the node.
func (s *simulation) finishSave(m *simulatedMember, incarnation int) {
	if !m.up || m.incarnation != incarnation {
		return
	}
	if s.now < m.pausedUntil {
		s.at(m.pausedUntil, func() { s.finishSave(m, incarnation) })
		return
	}
	ready := m.saving
	s.save(m, ready)
	for _, message := range ready.Messages {
		s.send(message)
	}
	m.saving = nil
	if s.isDisturbed() && s.chance(crashChance(ready.Messages)) { // after sending, before applying
		s.crash(m, s.between(0, 20*time.Millisecond))
		return
	}
	s.handleApplied(m, m.node.Advance())
	s.startSave(m)
}

// crashChance returns the probability of a crash after messages were sent. It is higher after a vote, since a restart
// that forgets the vote would violate an invariant.
func crashChance(sent []*raftpb.Message) float64 {
	for _, message := range sent {
		if message.GetType() == raftpb.MsgVoteResp && !message.GetReject() {
			return 0.2
		}
	}
	return 0.001
}

// save writes a Ready to a member's disk.
func (s *simulation) save(m *simulatedMember, ready *Ready) {
	must(m.disk.Save(ready.HardState, ready.Entries, ready.Snapshot))
	if ready.Compaction != nil {
		must(m.disk.Compact(ready.Compaction.Snapshot, ready.Compaction.FirstIndex))
	}
}

// handleApplied checks the result of an Advance and passes the outcomes to their callers.
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
		for _, respond := range waiting {
			respond(outcome)
		}
	}
	for _, outcome := range applied.Reads {
		if respond := m.read[outcome.ID]; respond != nil {
			delete(m.read, outcome.ID)
			respond(outcome)
		}
	}
	fmt.Fprintln(s.trace, s.now, m.id, m.node.Machine().Applied(), m.node.Machine().Number())
}

// crash stops a member and restarts it from its disk. A save in progress has reached the disk or not.
func (s *simulation) crash(m *simulatedMember, downFor time.Duration) {
	if !m.up {
		return
	}
	s.stats.crashes++
	if m.saving != nil && s.chance(0.5) {
		s.save(m, m.saving)
	}
	m.up, m.saving = false, nil
	incarnation := m.incarnation
	s.after(downFor, func() {
		if m.up || m.incarnation != incarnation {
			return
		}
		must(m.disk.Reopen())
		s.start(m)
	})
}
