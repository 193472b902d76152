package scale

import (
	"time"

	"mothrouter/internal/cluster/membership"
)

const (
	steadyDuration   = 20 * time.Second  // in which the traffic without faults is measured
	agreeTimeout     = 180 * time.Second // virtual time; what is reported for a fleet that does not agree
	faultDuration    = 10 * time.Second  // in which the traffic after a fault is measured, and before which none happens
	restartsDuration = 60 * time.Second  // in which brokers are restarted
	restartDowntime  = time.Second       // between the end of a process and the start of the next
	cutBrokers       = 40
	maxRackDivisor   = 4 // a rack is at most this fraction of the fleet, and TargetRack machines
)

// membershipSizes end at 490: the membership has membership.MaxMembers instances at most, those that were restarted a
// short time ago included.
var membershipSizes = []float64{40, 100, 200, 300, membership.MaxMembers - 10}

// newSettledNetwork returns a network whose brokers have agreed and then run for faultDuration more, and how many
// seconds they took to agree.
func newSettledNetwork(brokers int, seed uint64) (w *virtualNetwork, agreedAfter float64, err error) {
	w = newNetwork(brokers, seed)
	agreedAfter, err = w.runUntilAgreed()
	if err != nil {
		return nil, 0, err
	}
	return w, agreedAfter, w.run(w.now + faultDuration)
}

// virtualProvenance returns the provenance of an experiment on the virtual network.
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

// playMembership starts a fleet at once, waits until it agrees, and measures its cost without faults.
func playMembership(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	before := memoryInUse()
	w, agreedAfter, err := newSettledNetwork(brokers, seed)
	if err != nil {
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
		{"one view after a start at once", "s", max(agreedAfter, 0.001)},
		{"bytes sent", "B/s a broker", t.sentBytes},
		{"bytes sent by the busiest", "B/s", t.maxSentBytes},
		{"datagrams sent", "1/s a broker", t.sentDatagrams},
		{"bytes received", "B/s a broker", t.receivedBytes},
		{"processor", "µs a broker and second", used.Processor.Seconds() * 1e6 / seconds},
		{"objects", "objects a broker and second", float64(used.Objects) / seconds},
		{"memory", "bytes a broker", max(held/float64(brokers), 1)},
	}
	_ = w.nodes[0].FleetSize() // keeps the network reachable until its memory was measured
	return readings, nil
}
