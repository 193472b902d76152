package consensus

import "time"

// injectRandomFault injects a random fault and schedules the next one.
func (s *simulation) injectRandomFault() {
	if s.now >= faultsUntil {
		return
	}
	member := s.members[testMembers[s.random.IntN(len(testMembers))]]
	switch s.random.IntN(9) {
	case 0:
		s.crash(member, s.between(50*time.Millisecond, 10*time.Second))
	case 1:
		s.stats.pauses++
		member.pausedUntil = s.now + s.between(100*time.Millisecond, 6*time.Second)
	case 2, 3:
		s.partition(member)
	case 4:
		s.network.lossProbability = 0.3 * s.random.Float64()
		s.network.duplicateProbability = 0.2 * s.random.Float64()
		s.network.maxDelay = s.between(5*time.Millisecond, 400*time.Millisecond)
	case 5:
		s.crashLeader()
	case 6:
		s.campaignTogether()
	default:
		clear(s.network.blocked)
	}
	s.after(s.between(200*time.Millisecond, 3*time.Second), s.injectRandomFault)
}

// campaignTogether blocks all messages until the members have no leader, then makes two of them campaign in the same term.
func (s *simulation) campaignTogether() {
	for _, from := range testMembers {
		for _, to := range testMembers {
			s.network.blocked[[2]uint64{from, to}] = true
		}
	}
	s.after(2*electionTicks*DefaultTickInterval, func() {
		if !s.inFaultPhase() {
			return
		}
		clear(s.network.blocked)
		s.network.maxDelay = 400 * time.Millisecond
		for range 2 {
			if member := s.members[testMembers[s.random.IntN(len(testMembers))]]; member.up && s.now >= member.pausedUntil {
				must(member.node.raw.Campaign())
				s.startSave(member)
			}
		}
	})
}

// partition partitions a member from some of the others, in one or both directions.
func (s *simulation) partition(member *simulatedMember) {
	s.stats.partitions++
	out, in := s.chance(0.7), s.chance(0.7)
	for _, other := range testMembers {
		if other == member.id || s.chance(0.25) {
			continue
		}
		s.network.blocked[[2]uint64{member.id, other}] = out
		s.network.blocked[[2]uint64{other, member.id}] = in
	}
}

// crashLeader crashes the first member that is leader, if any.
func (s *simulation) crashLeader() {
	for _, id := range testMembers {
		if member := s.members[id]; member.up && member.node.leaderState.leaderTerm != 0 {
			s.crash(member, s.between(50*time.Millisecond, 10*time.Second))
			return
		}
	}
}

// heal ends all faults and restarts the crashed members. With faultPartitionNeverHeals it then
// blocks all messages to member 1.
func (s *simulation) heal() {
	s.network = network{blocked: make(map[[2]uint64]bool), maxDelay: 30 * time.Millisecond}
	for _, id := range testMembers {
		member := s.members[id]
		member.pausedUntil = min(member.pausedUntil, s.now)
		if !member.up {
			must(member.disk.Reopen())
			s.start(member)
		}
	}
	if s.fault == faultPartitionNeverHeals {
		for _, id := range testMembers[1:] {
			s.network.blocked[[2]uint64{id, 1}] = true
		}
	}
}
