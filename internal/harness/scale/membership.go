package scale

import (
	"time"

	"mothrouter/internal/cluster/membership"
)

const (
	steadyDuration     = 20 * time.Second  // measured period without faults
	convergenceTimeout = 180 * time.Second // virtual time; the result for a fleet that does not converge
	faultDuration      = 10 * time.Second  // measured period after a fault, and the fault-free time before it
	restartsDuration   = 60 * time.Second  // period in which brokers are restarted
	restartDowntime    = time.Second       // between the end of an instance and the start of the next
	partitionBrokers   = 40
	minRacks           = 4 // a rack has at most 1/minRacks of the brokers, and at most TargetRackSize brokers
)

// membershipSizes end at 490 because a membership view holds at most membership.MaxMembers instances, including the
// previous instances of recently restarted brokers.
var membershipSizes = []float64{40, 100, 200, 300, membership.MaxMembers - 10}

// newSettledNetwork returns a network whose brokers have converged to one view and then run for another faultDuration. It
// also returns how many seconds they took to converge.
func newSettledNetwork(brokers int, seed uint64) (network *virtualNetwork, convergenceTime float64, err error) {
	network = newNetwork(brokers, seed)
	convergenceTime, err = network.runUntilConverged()
	if err != nil {
		return nil, 0, err
	}
	return network, convergenceTime, network.run(network.now + faultDuration)
}

// virtualProvenance returns the provenance of an experiment on the virtual network, with details of that experiment.
func virtualProvenance(details string) Provenance {
	return Provenance{Simulated: "internal/cluster/membership: brokers without clients",
		Virtual: "network (1, 3 and 50 ms at most in a zone, in a region and between regions) and clock; " + details}
}

func membershipExperiment() Experiment {
	return Experiment{
		Name:         "membership",
		Provenance:   virtualProvenance("processor time includes the virtual network's"),
		SmallPoints:  axis(axisBrokers, []float64{10, 20, 30}),
		LargePoints:  axis(axisBrokers, membershipSizes),
		MeasurePoint: measureMembership,
	}
}

// measureMembership starts all brokers of a fleet at the same time, waits until they converge to one view, and measures
// their cost without faults.
func measureMembership(sizes Sizes, seed uint64) ([]Reading, error) {
	brokers := int(sizes.Of(axisBrokers))
	before := memoryInUse()
	network, convergenceTime, err := newSettledNetwork(brokers, seed)
	if err != nil {
		return nil, err
	}
	meter := StartMeter()
	steadyTraffic, err := network.recordTraffic(steadyDuration)
	if err != nil {
		return nil, err
	}
	used := meter.Stop()
	brokerSeconds := steadyDuration.Seconds() * float64(brokers)
	memoryGrowth := memoryInUse() - before
	readings := []Reading{
		{"one view after a start at once", "s", max(convergenceTime, 0.001)},
		{"bytes sent", "B/s a broker", steadyTraffic.sentBytes},
		{"bytes sent by the busiest", "B/s", steadyTraffic.maxSentBytes},
		{"datagrams sent", "1/s a broker", steadyTraffic.sentDatagrams},
		{"bytes received", "B/s a broker", steadyTraffic.receivedBytes},
		{"processor", "µs a broker and second", used.CPUTime.Seconds() * 1e6 / brokerSeconds},
		{"objects", "objects a broker and second", float64(used.Allocations) / brokerSeconds},
		{"memory", "bytes a broker", max(memoryGrowth/float64(brokers), 1)},
	}
	_ = network.nodes[0].FleetSize() // keeps the network reachable until its memory is measured
	return readings, nil
}
