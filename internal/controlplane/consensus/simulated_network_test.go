package consensus

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// network is the state of the virtual network.
type network struct {
	cut    map[[2]uint64]bool // links by sender and receiver
	loss   float64            // probability per message
	double float64            // probability that a message is sent twice
	delay  time.Duration      // maximum, drawn per message, so that messages are reordered
}

// send sends a message over the network.
func (s *simulation) send(message *raftpb.Message) {
	data, err := EncodeMessage(message)
	must(err)
	from, to := message.GetFrom(), message.GetTo()
	s.transmit(from, to, func() { s.deliver(to, data) })
}

// transmit runs arrive after the delay of the link between two members; id 0 stands for the clients.
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

// deliver steps a member with an encoded message, after its pause if it is paused.
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
