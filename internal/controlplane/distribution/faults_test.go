package distribution_test

import (
	"time"
)

// playFaults has a fault happen every few seconds until a time.
func (s *simulation) playFaults(end time.Duration) {
	s.after(s.between(2*time.Second, 20*time.Second), func() {
		if s.now >= end {
			return
		}
		s.fault()
		s.check.faultsChanged()
		s.check.honest()
		s.playFaults(end)
	})
}

// fault plays one fault. Each heals by itself.
func (s *simulation) fault() {
	last := s.between(time.Second, 30*time.Second)
	kind := s.rng.IntN(10)
	s.note("fault", kind, last)
	switch kind {
	case 0, 1:
		s.resetStreams()
	case 2:
		s.silenceStreams()
	case 3:
		s.pauseBrokers(last)
	case 4:
		s.restartBrokers(last)
	case 5:
		s.stopHub(s.rng.IntN(hubs), false, last)
	case 6:
		s.stopHub(s.rng.IntN(hubs), true, last)
	case 7:
		s.cutHalf(last)
	case 8:
		s.cutRegion(s.rng.IntN(regions), last)
	case 9:
		if s.chance(0.5) {
			s.loseBrokers(func(b *simBroker) bool { return b.index%20 == 3 }, last) // a rack
		} else {
			s.loseZone(s.rng.IntN(zones), last)
		}
	}
}

// heal ends a fault after a while.
func (s *simulation) heal(wait time.Duration, run func()) {
	s.after(wait, func() {
		run()
		s.check.faultsChanged()
	})
}

func (s *simulation) resetStreams() {
	for _, b := range s.fleet {
		if b.up && b.stream != nil && !b.stream.hubGone && b.stream.session != 0 && s.chance(0.2) {
			b.stream.close()
		}
	}
}

func (s *simulation) silenceStreams() {
	for _, b := range s.fleet {
		if b.stream != nil && s.chance(0.2) {
			b.stream.silenced = true
		}
	}
}

func (s *simulation) pauseBrokers(last time.Duration) {
	for _, b := range s.fleet {
		if s.chance(0.1) {
			b.pause(last)
		}
	}
}

func (s *simulation) restartBrokers(last time.Duration) {
	for _, b := range s.fleet {
		if s.chance(0.1) {
			s.loseBroker(b, s.chance(0.5), last)
		}
	}
}

func (s *simulation) loseBroker(b *simBroker, machineLost bool, last time.Duration) {
	if !b.up {
		return
	}
	b.stop(machineLost)
	s.heal(last, b.start)
}

func (s *simulation) loseBrokers(which func(*simBroker) bool, last time.Duration) {
	for _, b := range s.fleet {
		if which(b) {
			s.loseBroker(b, true, last)
		}
	}
}

func (s *simulation) stopHub(i int, machineLost bool, last time.Duration) {
	h := s.hubs[i]
	if !h.up {
		return
	}
	h.stop(machineLost)
	s.heal(last, h.start)
}

func (s *simulation) loseZone(zone int, last time.Duration) {
	s.loseBrokers(func(b *simBroker) bool { return b.zone == zone }, last)
	for i, h := range s.hubs {
		if h.zone == zone {
			s.stopHub(i, true, last)
		}
	}
}

// cutHalf cuts one way between some brokers and a hub.
func (s *simulation) cutHalf(last time.Duration) {
	hub := s.rng.IntN(hubs)
	way := toHub
	if s.chance(0.5) {
		way = toBroker
	}
	var pairs [][2]int
	for _, b := range s.fleet {
		pair := [2]int{b.index, hub}
		if s.halves[pair] == 0 && s.chance(0.3) {
			s.halves[pair] = way
			pairs = append(pairs, pair)
		}
	}
	s.heal(last, func() {
		for _, pair := range pairs {
			delete(s.halves, pair)
		}
	})
}

func (s *simulation) cutRegion(region int, last time.Duration) {
	if s.cut[region] {
		return
	}
	s.cut[region] = true
	s.heal(last, func() { s.cut[region] = false })
}
