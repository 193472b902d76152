package scale

import (
	"time"

	"mothrouter/internal/cluster/membership"
)

const (
	steadyDuration   = 20 * time.Second  // over which ordinary traffic is counted
	agreeTimeout     = 180 * time.Second // virtual time; a fleet that does not agree by then is told with it
	faultDuration    = 10 * time.Second  // over which the traffic after a fault is counted
	restartsDuration = 60 * time.Second
	restartDowntime  = time.Second // a process that is restarted is down for it
	cutBrokers       = 40
	maxRackDivisor   = 4 // a rack is TargetRack machines, and never more than one in so many of the fleet
)

// membershipSizes end at 490: internal/cluster/membership holds membership.MaxMembers instances at most, those just restarted too.
var membershipSizes = []float64{40, 100, 200, 300, membership.MaxMembers - 10}

func virtualProvenance(what string) Provenance {
	return Provenance{Hollow: "internal/cluster/membership: brokers without clients",
		Virtual: "network (1, 3 and 50 ms at most in a zone, in a region and between regions) and clock; " + what}
}

func membershipExperiment() Experiment {
	return Experiment{
		Name:       "membership",
		Provenance: virtualProvenance("processor time includes the virtual network's"),
		Small:      axis(axisBrokers, []float64{10, 20, 30}),
		Large:      axis(axisBrokers, membershipSizes),
		Play:       playMembership,
	}
}

// playMembership starts a fleet at once, lets it agree, and counts what it then costs.
func playMembership(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	before := memoryInUse()
	w := newNetwork(brokers, seed)
	began, err := w.runUntilAgreed()
	if err != nil {
		return nil, err
	}
	if err := w.run(w.now + faultDuration); err != nil {
		return nil, err
	}
	meter := StartMeter()
	t, err := w.recordTraffic(steadyDuration)
	if err != nil {
		return nil, err
	}
	used := meter.Stop()
	seconds := steadyDuration.Seconds() * float64(brokers)
	held := memoryInUse() - before
	readings := []Reading{
		{"one view after a start at once", "s", max(began, 0.001)},
		{"bytes sent", "B/s a broker", t.sentBytes},
		{"bytes sent by the busiest", "B/s", t.maxSentBytes},
		{"datagrams sent", "1/s a broker", t.sentDatagrams},
		{"bytes received", "B/s a broker", t.receivedBytes},
		{"processor", "µs a broker and second", used.Processor.Seconds() * 1e6 / seconds},
		{"objects", "objects a broker and second", float64(used.Objects) / seconds},
		{"memory", "bytes a broker", max(held/float64(brokers), 1)},
	}
	_ = w.nodes[0].FleetSize() // the network has to live until its memory was read
	return readings, nil
}

func faultExperiment() Experiment {
	return Experiment{
		Name:       "faults",
		Provenance: virtualProvenance("a rack, a zone and single machines die at once and come back"),
		Small:      axis(axisBrokers, []float64{20, 30, 40}),
		Large:      axis(axisBrokers, membershipSizes),
		Play:       playFaults,
	}
}

// playFaults loses a rack, has it back, and loses a zone. The fleet is started over a second before.
func playFaults(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	w := newNetwork(brokers, seed)
	if _, err := w.runUntilAgreed(); err != nil {
		return nil, err
	}
	if err := w.run(w.now + faultDuration); err != nil {
		return nil, err
	}
	rack := w.kill(func(x *node) bool { return x.number >= seedsOfFleet }, min(TargetRack, brokers/maxRackDivisor))
	rackKnown, rackTraffic, err := w.afterFault()
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
	zoneKnown, zoneTraffic, err := w.afterFault()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"rack lost: one view", "s", rackKnown},
		{"rack lost: bytes sent", "B/s a broker", rackTraffic.sentBytes},
		{"rack back: one view", "s", max(rackBack, 0.001)},
		{"zone lost: one view", "s", zoneKnown},
		{"zone lost: bytes sent", "B/s a broker", zoneTraffic.sentBytes},
		{"zone lost: bytes sent by the busiest", "B/s", zoneTraffic.maxSentBytes},
	}, nil
}

// afterFault returns how long the living take to agree, and the traffic of the time right after the fault.
func (w *virtualNetwork) afterFault() (float64, traffic, error) {
	from := w.now
	t, err := w.recordFaultTraffic(faultDuration)
	if err != nil {
		return 0, t.traffic, err
	}
	known := t.agreedAfter
	if known == 0 {
		if _, err := w.runUntilAgreed(); err != nil {
			return 0, t.traffic, err
		}
		known = (w.now - from).Seconds()
	}
	return known, t.traffic, nil
}

// faultTraffic is traffic, and when all agreed, in seconds from its beginning; 0: they did not.
type faultTraffic struct {
	traffic
	agreedAfter float64
}

// recordFaultTraffic counts the traffic of a stretch and looks meanwhile whether all agree.
func (w *virtualNetwork) recordFaultTraffic(stretch time.Duration) (faultTraffic, error) {
	var o faultTraffic
	from, parts := w.now, 0.0
	for w.now-from < stretch {
		t, err := w.recordTraffic(agreementPollInterval)
		if err != nil {
			return o, err
		}
		o.sentBytes += t.sentBytes
		o.maxSentBytes = max(o.maxSentBytes, t.maxSentBytes)
		parts++
		if o.agreedAfter == 0 && w.allAgree(nil) {
			o.agreedAfter = (w.now - from).Seconds()
		}
	}
	o.sentBytes /= parts
	return o, nil
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

// playCut cuts a region off and heals it. The seeds stand in three zones and so in all regions.
func playCut(at Sizes, seed uint64) ([]Reading, error) {
	w := newNetwork(cutBrokers, seed)
	if _, err := w.runUntilAgreed(); err != nil {
		return nil, err
	}
	alone := func(x *node) bool { return x.region == TargetRegions-1 }
	w.cut = func(from, to *node) bool { return alone(from) != alone(to) }
	t, err := w.recordTraffic(time.Duration(at.Of(axisCut) * float64(time.Second)))
	if err != nil {
		return nil, err
	}
	fenced, known, minority := 0.0, 0.0, 0.0
	for _, x := range w.alive(alone) {
		minority++
		if x.FleetSize().Fenced {
			fenced++
		}
		known += float64(x.FleetSize().Known)
	}
	others, fencedOthers := 0.0, 0.0
	for _, x := range w.alive(func(x *node) bool { return !alone(x) }) {
		others++
		if x.FleetSize().Fenced {
			fencedOthers++
		}
	}
	w.cut = func(_, _ *node) bool { return false }
	healed, err := w.runUntilAgreed()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"brokers of the region", "brokers", minority},
		{"fenced in the region", "share", fenced / minority},
		{"fenced elsewhere", "share", fencedOthers / others},
		{"known in the region", "brokers a view", known / minority},
		{"bytes sent", "B/s a broker", t.sentBytes},
		{"bytes sent by the busiest", "B/s", t.maxSentBytes},
		{"one view after the heal", "s", max(healed, 0.001)},
	}, nil
}

func restartExperiment() Experiment {
	const brokers = 200
	return Experiment{
		Name:       "restarts",
		Provenance: virtualProvenance("one broker after the other is killed and started a second later"),
		Small:      axis(axisInterval, []float64{20, 10, 5}, Size{axisBrokers, 20}),
		Large:      axis(axisInterval, []float64{30, 10, 6, 3, 1}, Size{axisBrokers, brokers}),
		Play:       playRestarts,
	}
}

// playRestarts restarts a broker each so many seconds.
func playRestarts(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	interval := time.Duration(at.Of(axisInterval) * float64(time.Second))
	w := newNetwork(brokers, seed)
	if _, err := w.runUntilAgreed(); err != nil {
		return nil, err
	}
	if err := w.run(w.now + faultDuration); err != nil {
		return nil, err
	}
	sent, most, parts := 0.0, 0.0, 0.0
	end, next := w.now+restartsDuration, seedsOfFleet
	for w.now < end {
		i := next % brokers
		next++
		w.nodes[i].dead = true
		stretches := []time.Duration{min(restartDowntime, interval/2)}
		stretches = append(stretches, interval-stretches[0])
		for turn, stretch := range stretches {
			t, err := w.recordTraffic(stretch)
			if err != nil {
				return nil, err
			}
			sent += t.sentBytes * stretch.Seconds()
			most, parts = max(most, t.maxSentBytes), parts+stretch.Seconds()
			if turn == 0 {
				w.start(i)
			}
		}
	}
	settled, err := w.runUntilAgreed()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"bytes sent", "B/s a broker", sent / parts},
		{"bytes sent by the busiest", "B/s", most},
		{"one view after the last", "s", max(settled, 0.001)},
	}, nil
}

func returnExperiment() Experiment {
	return Experiment{
		Name:       "return",
		Provenance: virtualProvenance("one broker is killed and started a second later at its address"),
		Small:      axis(axisBrokers, []float64{10, 20, 30}),
		Large:      axis(axisBrokers, membershipSizes),
		Play:       playReturn,
	}
}

// playReturn has one broker come back and counts what it sends meanwhile: until its former instance is forgotten, all
// others go on to ping that one, at the same address.
func playReturn(at Sizes, seed uint64) ([]Reading, error) {
	w := newNetwork(int(at.Of(axisBrokers)), seed)
	if _, err := w.runUntilAgreed(); err != nil {
		return nil, err
	}
	if err := w.run(w.now + faultDuration); err != nil {
		return nil, err
	}
	w.nodes[seedsOfFleet].dead = true
	if err := w.run(w.now + restartDowntime); err != nil {
		return nil, err
	}
	w.start(seedsOfFleet)
	most, count := 0.0, 0.0
	for range int(2 * faultDuration / time.Second) {
		bytes, sent := w.nodes[seedsOfFleet].bytesSent, w.nodes[seedsOfFleet].sentCount
		if err := w.run(w.now + time.Second); err != nil {
			return nil, err
		}
		most = max(most, float64(w.nodes[seedsOfFleet].bytesSent-bytes))
		count = max(count, float64(w.nodes[seedsOfFleet].sentCount-sent))
	}
	return []Reading{
		{"bytes it sends in the busiest second", "B/s", most},
		{"datagrams it sends in the busiest second", "1/s", count},
	}, nil
}
