package distribution_test

import (
	"time"
)

// injectFaults injects a random fault every 2 to 20 s until the given time.
func (s *simulation) injectFaults(end time.Duration) {
	s.after(s.uniform(2*time.Second, 20*time.Second), func() {
		if s.now >= end {
			return
		}
		s.injectFault()
		s.checks.faultsChanged()
		s.checks.checkStaleness()
		s.injectFaults(end)
	})
}

// injectFault injects one random fault, which heals after 1 to 30 s.
func (s *simulation) injectFault() {
	duration := s.uniform(time.Second, 30*time.Second)
	kind := s.rng.IntN(10)
	s.record("fault", kind, duration)
	switch kind {
	case 0, 1:
		s.resetStreams()
	case 2:
		s.stallStreams()
	case 3:
		s.pauseBrokers(duration)
	case 4:
		s.restartBrokers(duration)
	case 5:
		s.stopHub(s.rng.IntN(hubs), false, duration)
	case 6:
		s.stopHub(s.rng.IntN(hubs), true, duration)
	case 7:
		s.blockOneWay(duration)
	case 8:
		s.partitionRegion(s.rng.IntN(regions), duration)
	case 9:
		if s.chance(0.5) {
			s.stopBrokers(func(b *simBroker) bool { return b.index%20 == 3 }, duration) // the brokers of one rack
		} else {
			s.stopZone(s.rng.IntN(zones), duration)
		}
	}
}

// healAfter ends a fault after its duration by calling undo.
func (s *simulation) healAfter(duration time.Duration, undo func()) {
	s.after(duration, func() {
		undo()
		s.checks.faultsChanged()
	})
}

func (s *simulation) resetStreams() {
	for _, b := range s.fleet {
		if b.up && b.stream != nil && !b.stream.hubClosed && b.stream.session != 0 && s.chance(0.2) {
			b.stream.close()
		}
	}
}

func (s *simulation) stallStreams() {
	for _, b := range s.fleet {
		if b.stream != nil && s.chance(0.2) {
			b.stream.stalled = true
		}
	}
}

func (s *simulation) pauseBrokers(duration time.Duration) {
	for _, b := range s.fleet {
		if s.chance(0.1) {
			b.pause(duration)
		}
	}
}

func (s *simulation) restartBrokers(duration time.Duration) {
	for _, b := range s.fleet {
		if s.chance(0.1) {
			s.stopBroker(b, s.chance(0.5), duration)
		}
	}
}

func (s *simulation) stopBroker(b *simBroker, hostLost bool, duration time.Duration) {
	if !b.up {
		return
	}
	b.stop(hostLost)
	s.healAfter(duration, b.start)
}

func (s *simulation) stopBrokers(selected func(*simBroker) bool, duration time.Duration) {
	for _, b := range s.fleet {
		if selected(b) {
			s.stopBroker(b, true, duration)
		}
	}
}

func (s *simulation) stopHub(i int, hostLost bool, duration time.Duration) {
	h := s.hubs[i]
	if !h.up {
		return
	}
	h.stop(hostLost)
	s.healAfter(duration, h.start)
}

func (s *simulation) stopZone(zone int, duration time.Duration) {
	s.stopBrokers(func(b *simBroker) bool { return b.zone == zone }, duration)
	for i, h := range s.hubs {
		if h.zone == zone {
			s.stopHub(i, true, duration)
		}
	}
}

// blockOneWay blocks messages in one direction between a random part of the brokers and one hub.
func (s *simulation) blockOneWay(duration time.Duration) {
	hub := s.rng.IntN(hubs)
	dir := toHub
	if s.chance(0.5) {
		dir = toBroker
	}
	var pairs [][2]int
	for _, b := range s.fleet {
		pair := [2]int{b.index, hub}
		if s.blocked[pair] == 0 && s.chance(0.3) {
			s.blocked[pair] = dir
			pairs = append(pairs, pair)
		}
	}
	s.healAfter(duration, func() {
		for _, pair := range pairs {
			delete(s.blocked, pair)
		}
	})
}

func (s *simulation) partitionRegion(region int, duration time.Duration) {
	if s.partitioned[region] {
		return
	}
	s.partitioned[region] = true
	s.healAfter(duration, func() { s.partitioned[region] = false })
}
