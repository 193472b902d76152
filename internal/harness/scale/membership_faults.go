package scale

import "time"

func faultExperiment() Experiment {
	return Experiment{
		Name:         "faults",
		Provenance:   virtualProvenance("a rack, a zone and single machines die at once and come back"),
		SmallPoints:  axis(axisBrokers, []float64{20, 30, 40}),
		LargePoints:  axis(axisBrokers, membershipSizes),
		MeasurePoint: measureFaults,
	}
}

// measureFaults kills the brokers of a rack, restarts them, and then kills the brokers of a zone.
func measureFaults(sizes Sizes, seed uint64) ([]Reading, error) {
	brokers := int(sizes.Of(axisBrokers))
	network, _, err := newSettledNetwork(brokers, seed)
	if err != nil {
		return nil, err
	}
	rack := network.kill(func(node *virtualNode) bool { return node.number >= seedCount }, min(TargetRackSize, brokers/minRacks))
	rackLost, err := network.afterFault()
	if err != nil {
		return nil, err
	}
	for _, number := range rack {
		network.start(number)
	}
	rackRestoreTime, err := network.runUntilConverged()
	if err != nil {
		return nil, err
	}
	network.kill(func(node *virtualNode) bool { return node.zone == TargetZones-1 }, brokers)
	zoneLost, err := network.afterFault()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"rack lost: one view", "s", rackLost.convergenceTime},
		{"rack lost: bytes sent", "B/s a broker", rackLost.sentBytes},
		{"rack back: one view", "s", max(rackRestoreTime, 0.001)},
		{"zone lost: one view", "s", zoneLost.convergenceTime},
		{"zone lost: bytes sent", "B/s a broker", zoneLost.sentBytes},
		{"zone lost: bytes sent by the busiest", "B/s", zoneLost.maxSentBytes},
	}, nil
}

// afterFault returns the traffic in the faultDuration after a fault, and runs until the running nodes have converged.
func (n *virtualNetwork) afterFault() (faultTraffic, error) {
	from := n.now
	t, err := n.recordFaultTraffic(faultDuration)
	if err != nil || t.convergenceTime != 0 {
		return t, err
	}
	if _, err := n.runUntilConverged(); err != nil {
		return t, err
	}
	t.convergenceTime = (n.now - from).Seconds()
	return t, nil
}

// faultTraffic is the traffic after a fault.
type faultTraffic struct {
	traffic
	convergenceTime float64 // seconds from the fault until all running nodes converged; 0 if they have not yet
}

// recordFaultTraffic runs for a period and returns its traffic. It checks at each convergencePollInterval whether all
// running nodes have converged.
func (n *virtualNetwork) recordFaultTraffic(period time.Duration) (faultTraffic, error) {
	var total faultTraffic
	from, intervals := n.now, 0.0
	for n.now-from < period {
		t, err := n.recordTraffic(convergencePollInterval)
		if err != nil {
			return total, err
		}
		total.sentBytes += t.sentBytes
		total.maxSentBytes = max(total.maxSentBytes, t.maxSentBytes)
		intervals++
		if total.convergenceTime == 0 && n.converged(nil) {
			total.convergenceTime = (n.now - from).Seconds()
		}
	}
	total.sentBytes /= intervals
	return total, nil
}

func partitionExperiment() Experiment {
	return Experiment{
		Name:         "cut",
		Provenance:   virtualProvenance("one region of three cut off, 40 brokers"),
		SmallPoints:  axis(axisPartition, []float64{5, 10, 30}),
		LargePoints:  axis(axisPartition, []float64{60, 300, 540, 900, SecondsPerHour}),
		MeasurePoint: measurePartition,
	}
}

// measurePartition partitions one region from the others for a time and then heals the partition. The seeds are in three
// zones, and so in all regions.
func measurePartition(sizes Sizes, seed uint64) ([]Reading, error) {
	network := newNetwork(partitionBrokers, seed)
	if _, err := network.runUntilConverged(); err != nil {
		return nil, err
	}
	isolated := func(node *virtualNode) bool { return node.region == TargetRegions-1 }
	network.isLost = func(from, to *virtualNode) bool { return isolated(from) != isolated(to) }
	partitionTraffic, err := network.recordTraffic(time.Duration(sizes.Of(axisPartition) * float64(time.Second)))
	if err != nil {
		return nil, err
	}
	minority := summarizeViews(network.runningNodes(isolated))
	majority := summarizeViews(network.runningNodes(func(node *virtualNode) bool { return !isolated(node) }))
	network.isLost = func(_, _ *virtualNode) bool { return false }
	healTime, err := network.runUntilConverged()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"brokers of the region", "brokers", minority.nodes},
		{"fenced in the region", "share", minority.fenced / minority.nodes},
		{"fenced elsewhere", "share", majority.fenced / majority.nodes},
		{"known in the region", "brokers a view", minority.known / minority.nodes},
		{"bytes sent", "B/s a broker", partitionTraffic.sentBytes},
		{"bytes sent by the busiest", "B/s", partitionTraffic.maxSentBytes},
		{"one view after the heal", "s", max(healTime, 0.001)},
	}, nil
}

// viewSummary summarizes the membership views of some nodes.
type viewSummary struct {
	nodes  float64 // number of nodes
	fenced float64 // number of fenced nodes
	known  float64 // number of members known to a node, summed over the nodes
}

func summarizeViews(nodes []*virtualNode) (s viewSummary) {
	for _, node := range nodes {
		size := node.FleetSize()
		s.nodes++
		s.known += float64(size.Known)
		if size.Fenced {
			s.fenced++
		}
	}
	return s
}
