package scale

import "time"

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

// playRestarts restarts one broker after the other at an interval.
func playRestarts(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	interval := time.Duration(at.Of(axisInterval) * float64(time.Second))
	w, _, err := newSettledNetwork(brokers, seed)
	if err != nil {
		return nil, err
	}
	var total trafficTotal
	downtime := min(restartDowntime, interval/2)
	end, next := w.now+restartsDuration, seedsOfFleet
	for w.now < end {
		i := next % brokers
		next++
		w.nodes[i].dead = true
		if err := total.record(w, downtime); err != nil {
			return nil, err
		}
		w.start(i)
		if err := total.record(w, interval-downtime); err != nil {
			return nil, err
		}
	}
	agreedAfter, err := w.runUntilAgreed()
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"bytes sent", "B/s a broker", total.sentBytes / total.seconds},
		{"bytes sent by the busiest", "B/s", total.maxSentBytes},
		{"one view after the last", "s", max(agreedAfter, 0.001)},
	}, nil
}

// trafficTotal sums up the traffic of several periods.
type trafficTotal struct {
	sentBytes    float64 // per node
	maxSentBytes float64 // per second, of the busiest node in any period
	seconds      float64
}

// record runs for a period and adds its traffic.
func (total *trafficTotal) record(w *virtualNetwork, period time.Duration) error {
	t, err := w.recordTraffic(period)
	if err != nil {
		return err
	}
	total.sentBytes += t.sentBytes * period.Seconds()
	total.maxSentBytes = max(total.maxSentBytes, t.maxSentBytes)
	total.seconds += period.Seconds()
	return nil
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

// playReturn restarts one broker and measures what it sends: until its previous instance is forgotten, all others go on
// to ping that one at the same address.
func playReturn(at Sizes, seed uint64) ([]Reading, error) {
	w, _, err := newSettledNetwork(int(at.Of(axisBrokers)), seed)
	if err != nil {
		return nil, err
	}
	w.nodes[seedsOfFleet].dead = true
	if err := w.run(w.now + restartDowntime); err != nil {
		return nil, err
	}
	w.start(seedsOfFleet)
	restarted := w.nodes[seedsOfFleet]
	maxBytes, maxDatagrams := 0, 0
	for range int(2 * faultDuration / time.Second) {
		before := restarted.counters
		if err := w.run(w.now + time.Second); err != nil {
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
