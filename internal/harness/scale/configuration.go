package scale

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"mothrouter/internal/controlplane/distribution"
)

// Names of axes of the configuration experiment.
const (
	axisControl  = "control_machines"
	axisDocument = "document_kb"
)

const (
	followersTimeout = 25 * time.Second // for all followers to connect, or to have a revision in force
	quietDuration    = 3 * time.Second  // length of the measured period without changes
	measuredChanges  = 4                // revisions published in the measured period with changes
	// publishInterval is a tenth of the target's mean interval: 2,700 changes in the 86,400 s of a day are 32 s apart.
	publishInterval = 3200 * time.Millisecond
	smallSpeedup    = 16 // divides quietDuration and publishInterval for the small fleets of CI
)

// configurationProvenance is the provenance of the configuration experiment.
var configurationProvenance = Provenance{
	Real: "internal/controlplane/confighub and internal/controlplane/configfollower (gRPC) with distribution's Hub and " +
		"Follower over loopback, each document checked completely by internal/config; bytes are counted on the hubs' " +
		"connections",
	Simulated: "followers without a core to configure, all in one process; each hub in a process of its own, fed by the " +
		"experiment as if by the log: the replicated log is not in this run",
}

// smallConfiguration returns the only point of the configuration experiment that CI measures.
func smallConfiguration() []Sizes {
	return axis(axisBrokers, []float64{10}, Size{axisControl, 1}, Size{axisDocument, 4})
}

func configurationExperiment() Experiment {
	return Experiment{
		Name:         "configuration",
		Provenance:   configurationProvenance,
		SmallPoints:  smallConfiguration(),
		LargePoints:  axis(axisBrokers, brokerSizes, Size{axisControl, ControlMachines}, Size{axisDocument, 16}),
		MeasurePoint: measureConfiguration,
	}
}

// regionName returns the region of the broker or control machine with the given index. Brokers and control machines are
// assigned round-robin to the target's regions.
func regionName(i int) string { return fmt.Sprint("region-", i%TargetRegions) }

// distributionRun is a run of the configuration experiment, with a child process for each hub and one for all followers.
type distributionRun struct {
	hubs          []*child
	followers     *child
	followerCount float64
	documentBytes int    // size of each document
	newest        uint64 // number of the newest revision
}

func measureConfiguration(sizes Sizes, seed uint64) ([]Reading, error) {
	d := &distributionRun{followerCount: sizes.Of(axisBrokers), documentBytes: int(sizes.Of(axisDocument)) * bytesPerKB}
	defer d.stop()
	if err := d.startChildren(int(sizes.Of(axisControl))); err != nil {
		return nil, err
	}
	readings, err := d.startAllFollowers(seed)
	if err != nil {
		return nil, err
	}
	quietPeriod, interval := quietDuration, publishInterval
	if d.followerCount < brokerSizes[0] {
		quietPeriod, interval = quietPeriod/smallSpeedup, interval/smallSpeedup
	}
	trafficReadings, err := d.measureTraffic(quietPeriod, interval)
	if err != nil {
		return nil, err
	}
	readings = append(readings, trafficReadings...)
	if len(d.hubs) < ControlMachines {
		return readings, nil // too few hubs for the loss of one
	}
	lost, err := d.measureHubLoss()
	return append(readings, lost...), err
}

// startChildren starts the processes of the hubs and of the followers. The followers start with followersCommand.Start.
func (d *distributionRun) startChildren(hubs int) error {
	for range hubs {
		hub, err := startChild(roleHub, 0)
		if err != nil {
			return err
		}
		d.hubs = append(d.hubs, hub)
	}
	followers, err := startChild(roleFollowers, int(d.followerCount))
	d.followers = followers
	return err
}

// stop ends all children.
func (d *distributionRun) stop() {
	if d.followers != nil {
		d.followers.stop()
	}
	for _, hub := range d.hubs {
		hub.stop()
	}
}

// requestHubs sends the same command to all hubs, one after the other.
func (d *distributionRun) requestHubs(command hubCommand) ([]hubResponse, error) {
	responses := make([]hubResponse, len(d.hubs))
	for i, hub := range d.hubs {
		if err := hub.request(command, &responses[i]); err != nil {
			return nil, err
		}
	}
	return responses, nil
}

func (d *distributionRun) requestFollowers(command followersCommand) (response followersResponse, err error) {
	err = d.followers.request(command, &response)
	return response, err
}

// publish publishes the next revision at all hubs, one after the other, and returns the time in Unix nanoseconds at which
// the first hub published it.
func (d *distributionRun) publish() (int64, error) {
	d.newest++
	responses, err := d.requestHubs(hubCommand{Publish: d.newest, Bytes: d.documentBytes})
	if err != nil {
		return 0, err
	}
	return responses[0].PublishedAt, nil
}

// startAllFollowers starts all followers at the same time and measures until all of them have a revision in force.
func (d *distributionRun) startAllFollowers(seed uint64) ([]Reading, error) {
	if _, err := d.publish(); err != nil {
		return nil, err
	}
	before, err := d.requestFollowers(followersCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	machines := make([]distribution.ControlMachine, len(d.hubs))
	for i, hub := range d.hubs {
		machines[i] = distribution.ControlMachine{Address: hub.startLines[0], Region: regionName(i)}
	}
	startResponse, err := d.requestFollowers(followersCommand{Start: machines, Bytes: d.documentBytes, Seed: seed})
	if err != nil {
		return nil, err
	}
	hubs, err := d.requestHubs(hubCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	after, err := d.requestFollowers(followersCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"start at once: all follow", "s", seconds(startResponse.DoneAt - startResponse.StartedAt)},
		{"start at once: connections of one hub", "connections in its busiest second",
			maxOfHubs(hubs, func(h hubResponse) float64 { return float64(h.MaxAcceptsPerSecond) })},
		{"start at once: processor", "µs a broker", micros(startResponse.CPUTime-before.CPUTime) / d.followerCount},
		{"memory", "bytes a broker", max((after.Memory-before.Memory)/d.followerCount, 1)},
		{"memory of the busiest hub", "bytes", maxOfHubs(hubs, func(h hubResponse) float64 { return h.Memory })},
		{"streams of the busiest hub", "streams", maxOfHubs(hubs, func(h hubResponse) float64 { return float64(h.Streams) })},
	}, nil
}

// usageSnapshot holds the resource usage of all children from their start until takenAt.
type usageSnapshot struct {
	takenAt   time.Time
	hubs      []hubResponse
	followers followersResponse
}

func (d *distributionRun) takeSnapshot() (s usageSnapshot, err error) {
	if s.hubs, err = d.requestHubs(hubCommand{}); err != nil {
		return s, err
	}
	s.followers, err = d.requestFollowers(followersCommand{})
	s.takenAt = time.Now()
	return s, err
}

// measureTraffic measures a period without changes and then one with changes.
func (d *distributionRun) measureTraffic(quietPeriod, interval time.Duration) ([]Reading, error) {
	before, err := d.takeSnapshot()
	if err != nil {
		return nil, err
	}
	time.Sleep(quietPeriod)
	between, err := d.takeSnapshot()
	if err != nil {
		return nil, err
	}
	delays, err := d.publishChanges(interval)
	if err != nil {
		return nil, err
	}
	after, err := d.takeSnapshot()
	if err != nil {
		return nil, err
	}
	readings := []Reading{
		{"read at 99 in 100", "s", percentile99(delays.received)},
		{"read at all", "s", slices.Max(delays.received)},
		{"in force at 99 in 100", "s", percentile99(delays.applied)},
		{"in force at all", "s", slices.Max(delays.applied)},
		{"processor for a change", "µs a broker", d.cpuTimePerChange(before, between, after)},
	}
	readings = append(readings, d.usageReadings("without changes: ", before, between)...)
	return append(readings, d.usageReadings("", between, after)...), nil
}

// cpuTimePerChange returns how much more CPU time the followers use with changes than without, in µs per change and
// broker.
func (d *distributionRun) cpuTimePerChange(before, between, after usageSnapshot) float64 {
	quietRate := micros(between.followers.CPUTime-before.followers.CPUTime) / between.takenAt.Sub(before.takenAt).Seconds()
	used := micros(after.followers.CPUTime - between.followers.CPUTime)
	return max(used-quietRate*after.takenAt.Sub(between.takenAt).Seconds(), 1) / d.followerCount / measuredChanges
}

// propagationDelays are the times in seconds, in ascending order, from the publication of a revision at the first hub.
type propagationDelays struct {
	received []float64 // until a follower read the revision
	applied  []float64 // until the revision was in force at a follower
}

// publishChanges publishes measuredChanges revisions at an interval and returns their propagation delays to all followers.
func (d *distributionRun) publishChanges(interval time.Duration) (delays propagationDelays, err error) {
	for range measuredChanges {
		nextAt := time.Now().Add(interval)
		publishedAt, err := d.publish()
		if err != nil {
			return delays, err
		}
		time.Sleep(time.Until(nextAt) - interval/10) // polls the followers only in the last tenth of the interval
		response, err := d.requestFollowers(followersCommand{InForce: d.newest})
		if err != nil {
			return delays, err
		}
		for i := range response.AppliedAt {
			delays.received = append(delays.received, seconds(response.ReceivedAt[i]-publishedAt))
			delays.applied = append(delays.applied, seconds(response.AppliedAt[i]-publishedAt))
		}
		time.Sleep(time.Until(nextAt))
	}
	slices.Sort(delays.received)
	slices.Sort(delays.applied)
	return delays, nil
}

// percentile99 returns the 99th percentile of values in ascending order.
func percentile99(values []float64) float64 { return values[len(values)*99/100] }

// usageReadings returns the resource usage of the children between two snapshots. The prefix is prepended to the name of
// each reading.
func (d *distributionRun) usageReadings(prefix string, from, to usageSnapshot) []Reading {
	wall := to.takenAt.Sub(from.takenAt).Seconds()
	var in, out, cpuTime, maxIn, maxOut, maxCPUTime float64
	for i := range to.hubs {
		hubIn := float64(to.hubs[i].BytesIn-from.hubs[i].BytesIn) / wall
		hubOut := float64(to.hubs[i].BytesOut-from.hubs[i].BytesOut) / wall
		hubCPUTime := micros(to.hubs[i].CPUTime-from.hubs[i].CPUTime) / wall
		in, out, cpuTime = in+hubIn, out+hubOut, cpuTime+hubCPUTime
		maxIn, maxOut, maxCPUTime = max(maxIn, hubIn), max(maxOut, hubOut), max(maxCPUTime, hubCPUTime)
	}
	used := micros(to.followers.CPUTime-from.followers.CPUTime) / wall
	return []Reading{
		{prefix + "processor", "µs a broker and second", used / d.followerCount},
		{prefix + "bytes in", "bytes a broker and second", out / d.followerCount}, // the bytes that the hubs send
		{prefix + "bytes out", "bytes a broker and second", in / d.followerCount},
		{prefix + "processor of a hub", "µs a second", cpuTime / float64(len(to.hubs))},
		{prefix + "processor of the busiest hub", "µs a second", maxCPUTime},
		{prefix + "bytes out of the busiest hub", "bytes a second", maxOut},
		{prefix + "bytes in of the busiest hub", "bytes a second", maxIn},
	}
}

// lostHubIndex is the index of the hub that is lost. It is the only hub in its region, so its followers have to connect to
// other regions.
const lostHubIndex = 1

// measureHubLoss stops a hub's process with SIGSTOP, as if its machine hung: its connections stay open, and its address
// accepts new connections that are never served.
func (d *distributionRun) measureHubLoss() ([]Reading, error) {
	lost := d.hubs[lostHubIndex]
	if _, err := d.requestHubs(hubCommand{}); err != nil { // resets MaxAcceptsPerSecond
		return nil, err
	}
	d.hubs = slices.Delete(d.hubs, lostHubIndex, lostHubIndex+1)
	defer lost.stop()
	if err := lost.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	defer lost.cmd.Process.Kill()
	reconnected, err := d.requestFollowers(followersCommand{Lost: lost.startLines[0]})
	if err != nil {
		return nil, err
	}
	hubs, err := d.requestHubs(hubCommand{})
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"hub lost: all follow again", "s", seconds(reconnected.DoneAt - reconnected.StartedAt)},
		{"hub lost: connections of one hub", "connections in its busiest second",
			maxOfHubs(hubs, func(h hubResponse) float64 { return float64(h.MaxAcceptsPerSecond) })},
	}, nil
}

func seconds(nanoseconds int64) float64 { return time.Duration(nanoseconds).Seconds() }

func micros(d time.Duration) float64 { return d.Seconds() * 1e6 }

func maxOfHubs(hubs []hubResponse, value func(hubResponse) float64) float64 {
	largest := 0.0
	for _, hub := range hubs {
		largest = max(largest, value(hub))
	}
	return largest
}
