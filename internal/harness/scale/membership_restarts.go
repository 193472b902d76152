package scale

import "time"

func rollingRestartExperiment() Experiment {
	const brokers = 200
	return Experiment{
		Name:         "restarts",
		Provenance:   virtualProvenance("one broker after the other is killed and started a second later"),
		SmallPoints:  axis(axisRestartInterval, []float64{20, 10, 5}, Size{axisBrokers, 20}),
		LargePoints:  axis(axisRestartInterval, []float64{30, 10, 6, 3, 1}, Size{axisBrokers, brokers}),
		MeasurePoint: measureRollingRestart,
	}
}

// measureRollingRestart restarts one broker after another at an interval.
func measureRollingRestart(sizes Sizes, seed uint64) ([]Reading, error) {
	brokers := int(sizes.Of(axisBrokers))
	interval := time.Duration(sizes.Of(axisRestartInterval) * float64(time.Second))
	network, _, err := newSettledNetwork(brokers, seed)
	if err != nil {
		return nil, err
	}
	var total trafficTotal
	downtime := min(restartDowntime, interval/2)
	endsAt, nextNumber := network.now+restartsDuration, seedCount
	for network.now < endsAt {
		number := nextNumber % brokers
		nextNumber++
		network.nodes[number].killed = true
		if err := total.record(network, downtime); err != nil {
			return nil, err
		}
		network.start(number)
		if err := total.record(network, interval-downtime); err != nil {
			return nil, err
		}
	}
	convergenceTime, err := network.runUntilConverged()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"bytes sent", "B/s a broker", total.sentBytes / total.seconds},
		{"bytes sent by the busiest", "B/s", total.maxSentBytes},
		{"one view after the last", "s", max(convergenceTime, 0.001)},
	}, nil
}

// trafficTotal accumulates the traffic of several periods.
type trafficTotal struct {
	sentBytes    float64 // mean over the nodes, summed over the periods
	maxSentBytes float64 // per second, the largest value of any node in any period
	seconds      float64 // total length of the periods
}

// record runs the network for a period and adds its traffic.
func (total *trafficTotal) record(network *virtualNetwork, period time.Duration) error {
	t, err := network.recordTraffic(period)
	if err != nil {
		return err
	}
	total.sentBytes += t.sentBytes * period.Seconds()
	total.maxSentBytes = max(total.maxSentBytes, t.maxSentBytes)
	total.seconds += period.Seconds()
	return nil
}

func singleRestartExperiment() Experiment {
	return Experiment{
		Name:         "return",
		Provenance:   virtualProvenance("one broker is killed and started a second later at its address"),
		SmallPoints:  axis(axisBrokers, []float64{10, 20, 30}),
		LargePoints:  axis(axisBrokers, membershipSizes),
		MeasurePoint: measureSingleRestart,
	}
}

// measureSingleRestart restarts one broker and measures its outgoing traffic. Until its previous instance is forgotten, all
// other brokers keep pinging that instance at the same address.
func measureSingleRestart(sizes Sizes, seed uint64) ([]Reading, error) {
	network, _, err := newSettledNetwork(int(sizes.Of(axisBrokers)), seed)
	if err != nil {
		return nil, err
	}
	network.nodes[seedCount].killed = true
	if err := network.run(network.now + restartDowntime); err != nil {
		return nil, err
	}
	network.start(seedCount)
	restarted := network.nodes[seedCount]
	maxBytes, maxDatagrams := 0, 0
	for range int(2 * faultDuration / time.Second) {
		before := restarted.counters
		if err := network.run(network.now + time.Second); err != nil {
			return nil, err
		}
		maxBytes = max(maxBytes, restarted.counters.sentBytes-before.sentBytes)
		maxDatagrams = max(maxDatagrams, restarted.counters.sentDatagrams-before.sentDatagrams)
	}
	return []Reading{
		{"bytes it sends in the busiest second", "B/s", float64(maxBytes)},
		{"datagrams it sends in the busiest second", "1/s", float64(maxDatagrams)},
	}, nil
}
