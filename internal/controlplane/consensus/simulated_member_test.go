package consensus

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// simulatedMember is a node with its disk, its clock and the callers that wait for its outcomes.
type simulatedMember struct {
	id               uint64
	node             *Node
	disk             disk
	up               bool
	incarnation      int                                // number of starts; events scheduled by an earlier incarnation are ignored
	pausedUntil      time.Duration                      // since the start of the run
	saving           *Ready                             // being persisted; nil: none
	clockOffset      time.Duration                      // added to the simulated time
	clockRate        float64                            // relative to the simulated time
	leaderContactAt  time.Duration                      // time of the last message from its leader, for faultHeartbeatsConfirm
	publishWaiters   map[uint64][]func(ProposalOutcome) // callbacks by request id
	readWaiters      map[uint64]func(ReadOutcome)       // callbacks by read id
	lastReadID       uint64
	skipNextRevision bool // drop the next new revision, for faultSkippedRevision
}

// addMember adds a member with its disk and starts it.
func (s *simulation) addMember(id uint64, storage disk) {
	member := &simulatedMember{
		id:               id,
		disk:             storage,
		clockOffset:      s.between(-time.Hour, time.Hour),
		clockRate:        1 + maxClockDrift*(2*s.random.Float64()-1),
		skipNextRevision: s.fault == faultSkippedRevision && id == 3,
	}
	s.members[id] = member
	s.start(member)
}

// localTime returns the time on a member's clock.
func (s *simulation) localTime(member *simulatedMember) time.Time {
	return epoch.Add(member.clockOffset + time.Duration(float64(s.now)*member.clockRate))
}

// start creates the node of a member from its disk. A failure is a violation, after which it retries in a second.
func (s *simulation) start(member *simulatedMember) {
	member.up, member.saving, member.pausedUntil = true, nil, 0
	member.incarnation++
	member.publishWaiters = make(map[uint64][]func(ProposalOutcome))
	member.readWaiters = make(map[uint64]func(ReadOutcome))
	node, err := New(Options{
		ID: member.id, Members: testMembers, Incarnation: uint64(member.incarnation), VoterTimeout: simulatedVoterTimeout,
		snapshotEntries: 12, trailingEntries: 4,
	}, member.disk, s.localTime(member))
	if err != nil {
		s.checker.addViolation(noMemberFailure, "member %d: failed to start: %v", member.id, err)
		member.up = false
		s.after(time.Second, func() { s.start(member) })
		return
	}
	member.node = node
	s.checker.checkRestarted(member.id, node.Machine())
	s.tick(member, member.incarnation)
}

// tick ticks a member, unless it is paused, and schedules its next tick.
func (s *simulation) tick(member *simulatedMember, incarnation int) {
	if !member.up || member.incarnation != incarnation {
		return
	}
	if s.now >= member.pausedUntil {
		member.node.Tick(s.localTime(member))
		s.startSave(member)
		s.checkMember(member)
	}
	if member.incarnation == incarnation {
		wait := time.Duration(float64(DefaultTickInterval) / member.clockRate)
		s.after(max(wait, member.pausedUntil-s.now), func() { s.tick(member, incarnation) })
	}
}

// checkMember checks the leadership and ConfirmedAge of a member.
func (s *simulation) checkMember(member *simulatedMember) {
	if !member.up {
		return
	}
	if member.node.leaderState.leaderTerm != 0 {
		s.checker.checkLeader(member.id, member.node.leaderState.leaderTerm)
	}
	confirmedAge := member.node.ConfirmedAge(s.localTime(member))
	if s.fault == faultHeartbeatsConfirm {
		confirmedAge = time.Duration(float64(s.now-member.leaderContactAt) * member.clockRate)
	}
	if confirmedAge == Unconfirmed {
		return
	}
	s.checker.checkConfirmed(member.id, s.now-time.Duration(float64(confirmedAge)/member.clockRate), member.node.Machine().Number())
}

// startSave starts to persist the next Ready of a member, unless a save is in progress.
func (s *simulation) startSave(member *simulatedMember) {
	if !member.up || member.saving != nil {
		return
	}
	if err := member.node.Err(); err != nil {
		s.checker.addViolation(noMemberFailure, "member %d: stopped: %v", member.id, err)
		s.crash(member, time.Second)
		return
	}
	member.saving = member.node.Ready()
	if member.saving == nil {
		return
	}
	incarnation := member.incarnation
	s.after(s.between(100*time.Microsecond, 8*time.Millisecond), func() { s.finishSave(member, incarnation) })
}

// finishSave completes a save, sends the messages of the Ready and advances the node.
func (s *simulation) finishSave(member *simulatedMember, incarnation int) {
	if !member.up || member.incarnation != incarnation {
		return
	}
	if s.now < member.pausedUntil {
		s.at(member.pausedUntil, func() { s.finishSave(member, incarnation) })
		return
	}
	ready := member.saving
	s.save(member, ready)
	for _, message := range ready.Messages {
		s.send(message)
	}
	member.saving = nil
	if s.inFaultPhase() && s.chance(crashChance(ready.Messages)) { // after sending, before applying
		s.crash(member, s.between(0, 20*time.Millisecond))
		return
	}
	s.handleApplied(member, member.node.Advance())
	s.startSave(member)
}

// crashChance returns the probability of a crash after messages were sent. It is higher after a granted vote, so that
// faultLostVote, a restart without the vote, leads to a violation.
func crashChance(sent []*raftpb.Message) float64 {
	for _, message := range sent {
		if message.GetType() == raftpb.MsgVoteResp && !message.GetReject() {
			return 0.2
		}
	}
	return 0.001
}

// save writes a Ready to a member's disk.
func (s *simulation) save(member *simulatedMember, ready *Ready) {
	must(member.disk.Save(ready.HardState, ready.Entries, ready.Snapshot))
	if ready.Compaction != nil {
		must(member.disk.Compact(ready.Compaction.Snapshot, ready.Compaction.FirstIndex))
	}
}

// handleApplied checks the result of Advance and passes the outcomes to their callers.
func (s *simulation) handleApplied(member *simulatedMember, applied Applied) {
	if member.skipNextRevision && len(applied.Revisions) > 0 && s.inFaultPhase() {
		member.skipNextRevision = false
		applied.Revisions = applied.Revisions[1:]
	}
	if applied.Restored {
		s.stats.snapshots++
	}
	s.checker.checkAdvance(member.id, applied, member.node.Machine())
	for _, outcome := range applied.Proposals {
		waiters := member.publishWaiters[outcome.Request]
		delete(member.publishWaiters, outcome.Request)
		for _, respond := range waiters {
			respond(outcome)
		}
	}
	for _, outcome := range applied.Reads {
		if respond := member.readWaiters[outcome.ID]; respond != nil {
			delete(member.readWaiters, outcome.ID)
			respond(outcome)
		}
	}
	fmt.Fprintln(s.trace, s.now, member.id, member.node.Machine().Applied(), member.node.Machine().Number())
}

// crash stops a member and restarts it from its disk after downFor. A save in progress is completed or lost, at random.
func (s *simulation) crash(member *simulatedMember, downFor time.Duration) {
	if !member.up {
		return
	}
	s.stats.crashes++
	if member.saving != nil && s.chance(0.5) {
		s.save(member, member.saving)
	}
	member.up, member.saving = false, nil
	incarnation := member.incarnation
	s.after(downFor, func() {
		if member.up || member.incarnation != incarnation {
			return
		}
		must(member.disk.Reopen())
		s.start(member)
	})
}
