package consensus

import "time"

// disturb injects a random fault and schedules the next one.
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

// campaignTogether partitions all members until they have no leader, then lets two campaign in the same term.
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

// cutOff partitions a member from some others, in one direction or both.
func (s *simulation) cutOff(m *simulatedMember) {
	s.stats.partitions++
	out, in := s.chance(0.7), s.chance(0.7)
	for _, other := range testMembers {
		if other == m.id || s.chance(0.25) {
			continue
		}
		s.network.cut[[2]uint64{m.id, other}] = out
		s.network.cut[[2]uint64{other, m.id}] = in
	}
}

// crashLeader crashes the first member that is a leader, if any.
func (s *simulation) crashLeader() {
	for _, id := range testMembers {
		if m := s.members[id]; m.up && m.node.leaderState.leaderTerm != 0 {
			s.crash(m, s.between(50*time.Millisecond, 10*time.Second))
			return
		}
	}
}

// heal ends all faults and restarts the crashed members.
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
