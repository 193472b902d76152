package consensus

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// network is the state of the simulated network.
type network struct {
	blocked              map[[2]uint64]bool // links by sender and receiver that drop all messages
	lossProbability      float64            // per message
	duplicateProbability float64            // per message
	maxDelay             time.Duration      // the delay is random for each message, so that messages are reordered
}

// send encodes a message and sends it over the network.
func (s *simulation) send(message *raftpb.Message) {
	data, err := EncodeMessage(message)
	must(err)
	from, to := message.GetFrom(), message.GetTo()
	s.transmit(from, to, func() { s.deliver(to, data) })
}

// transmit runs receive after the network delay, unless the message is lost, and twice if it is duplicated. The id 0 stands
// for the clients.
func (s *simulation) transmit(from, to uint64, receive func()) {
	copies := 1
	if s.chance(s.network.duplicateProbability) {
		copies = 2
	}
	for range copies {
		if s.network.blocked[[2]uint64{from, to}] || s.chance(s.network.lossProbability) {
			continue
		}
		s.after(s.between(time.Millisecond, s.network.maxDelay), receive)
	}
}

// deliver passes an encoded message to a member. If the member is paused, it does so after the pause.
func (s *simulation) deliver(to uint64, data []byte) {
	member := s.members[to]
	if !member.up {
		return
	}
	if s.now < member.pausedUntil {
		s.at(member.pausedUntil, func() { s.deliver(to, data) })
		return
	}
	message, err := DecodeMessage(data)
	must(err)
	if err := member.node.Step(message); err != nil {
		s.checker.addViolation(noMemberFailure, "member %d: rejected a message: %v", to, err)
	}
	if message.GetFrom() == member.node.Leader() {
		member.leaderContactAt = s.now
	}
	s.startSave(member)
	s.checkMember(member)
}
