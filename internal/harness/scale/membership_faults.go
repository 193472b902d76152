package scale

import "time"

func faultExperiment() Experiment {
	return Experiment{
		Name:       "faults",
		Provenance: virtualProvenance("a rack, a zone and single machines die at once and come back"),
		Small:      axis(axisBrokers, []float64{20, 30, 40}),
		Large:      axis(axisBrokers, membershipSizes),
		Play:       playFaults,
	}
}

// playFaults kills a rack, restarts it, and then kills a zone.
func playFaults(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	w, _, err := newSettledNetwork(brokers, seed)
	if err != nil {
		return nil, err
	}
	rack := w.kill(func(x *node) bool { return x.number >= seedsOfFleet }, min(TargetRack, brokers/maxRackDivisor))
	rackLost, err := w.afterFault()
	if err != nil {
		return nil, err
	}
	for _, i := range rack {
		w.start(i)
	}
	rackBack, err := w.runUntilAgreed()
	if err != nil {
		return nil, err
	}
	w.kill(func(x *node) bool { return x.zone == TargetZones-1 }, brokers)
	zoneLost, err := w.afterFault()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"rack lost: one view", "s", rackLost.agreedAfter},
		{"rack lost: bytes sent", "B/s a broker", rackLost.sentBytes},
		{"rack back: one view", "s", max(rackBack, 0.001)},
		{"zone lost: one view", "s", zoneLost.agreedAfter},
		{"zone lost: bytes sent", "B/s a broker", zoneLost.sentBytes},
		{"zone lost: bytes sent by the busiest", "B/s", zoneLost.maxSentBytes},
	}, nil
}

// afterFault returns the traffic right after a fault, and runs until the running nodes agree.
func (w *virtualNetwork) afterFault() (faultTraffic, error) {
	from := w.now
	t, err := w.recordFaultTraffic(faultDuration)
	if err != nil || t.agreedAfter != 0 {
		return t, err
	}
	if _, err := w.runUntilAgreed(); err != nil {
		return t, err
	}
	t.agreedAfter = (w.now - from).Seconds()
	return t, nil
}

// faultTraffic is the traffic after a fault.
type faultTraffic struct {
	traffic
	agreedAfter float64 // seconds from the fault until all running nodes agreed; 0: not yet
}

// recordFaultTraffic runs for a period, returns its traffic and checks meanwhile whether all running nodes agree.
func (w *virtualNetwork) recordFaultTraffic(period time.Duration) (faultTraffic, error) {
	var f faultTraffic
	from, intervals := w.now, 0.0
	for w.now-from < period {
		t, err := w.recordTraffic(agreementPollInterval)
		if err != nil {
			return f, err
		}
		f.sentBytes += t.sentBytes
		f.maxSentBytes = max(f.maxSentBytes, t.maxSentBytes)
		intervals++
		if f.agreedAfter == 0 && w.allAgree(nil) {
			f.agreedAfter = (w.now - from).Seconds()
		}
	}
	f.sentBytes /= intervals
	return f, nil
}

func cutExperiment() Experiment {
	return Experiment{
		Name:       "cut",
		Provenance: virtualProvenance("one region of three cut off, 40 brokers"),
		Small:      axis(axisCut, []float64{5, 10, 30}),
		Large:      axis(axisCut, []float64{60, 300, 540, 900, HourS}),
		Play:       playCut,
	}
}

// playCut cuts a region off and connects it again. The seeds are in three zones and so in all regions.
func playCut(at Sizes, seed uint64) ([]Reading, error) {
	w := newNetwork(cutBrokers, seed)
	if _, err := w.runUntilAgreed(); err != nil {
		return nil, err
	}
	cutOff := func(x *node) bool { return x.region == TargetRegions-1 }
	w.cut = func(from, to *node) bool { return cutOff(from) != cutOff(to) }
	t, err := w.recordTraffic(time.Duration(at.Of(axisCut) * float64(time.Second)))
	if err != nil {
		return nil, err
	}
	minority := summarize(w.alive(cutOff))
	majority := summarize(w.alive(func(x *node) bool { return !cutOff(x) }))
	w.cut = func(_, _ *node) bool { return false }
	healed, err := w.runUntilAgreed()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"brokers of the region", "brokers", minority.nodes},
		{"fenced in the region", "share", minority.fenced / minority.nodes},
		{"fenced elsewhere", "share", majority.fenced / majority.nodes},
		{"known in the region", "brokers a view", minority.known / minority.nodes},
		{"bytes sent", "B/s a broker", t.sentBytes},
		{"bytes sent by the busiest", "B/s", t.maxSentBytes},
		{"one view after the heal", "s", max(healed, 0.001)},
	}, nil
}

// summary counts the nodes of a set.
type summary struct {
	nodes  float64
	fenced float64
	known  float64 // sum over the nodes of the members that each knows
}

func summarize(nodes []*node) (s summary) {
	for _, x := range nodes {
		size := x.FleetSize()
		s.nodes++
		s.known += float64(size.Known)
		if size.Fenced {
			s.fenced++
		}
	}
	return s
}
