package distribution_test

import (
	"time"
)

// injectFaults injects a random fault every 2 to 20 s until end.
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
			s.stopBrokers(func(b *simBroker) bool { return b.index%20 == 3 }, duration) // a rack
		} else {
			s.stopZone(s.rng.IntN(zones), duration)
		}
	}
}

// heal ends a fault after a delay.
func (s *simulation) heal(wait time.Duration, run func()) {
	s.after(wait, func() {
		run()
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

func (s *simulation) stopBroker(b *simBroker, machineLost bool, duration time.Duration) {
	if !b.up {
		return
	}
	b.stop(machineLost)
	s.heal(duration, b.start)
}

func (s *simulation) stopBrokers(which func(*simBroker) bool, duration time.Duration) {
	for _, b := range s.fleet {
		if which(b) {
			s.stopBroker(b, true, duration)
		}
	}
}

func (s *simulation) stopHub(i int, machineLost bool, duration time.Duration) {
	h := s.hubs[i]
	if !h.up {
		return
	}
	h.stop(machineLost)
	s.heal(duration, h.start)
}

func (s *simulation) stopZone(zone int, duration time.Duration) {
	s.stopBrokers(func(b *simBroker) bool { return b.zone == zone }, duration)
	for i, h := range s.hubs {
		if h.zone == zone {
			s.stopHub(i, true, duration)
		}
	}
}

// blockOneWay blocks one direction between some brokers and a hub.
func (s *simulation) blockOneWay(duration time.Duration) {
	hub := s.rng.IntN(hubs)
	way := toHub
	if s.chance(0.5) {
		way = toBroker
	}
	var pairs [][2]int
	for _, b := range s.fleet {
		pair := [2]int{b.index, hub}
		if s.blocked[pair] == 0 && s.chance(0.3) {
			s.blocked[pair] = way
			pairs = append(pairs, pair)
		}
	}
	s.heal(duration, func() {
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
	s.heal(duration, func() { s.partitioned[region] = false })
}
