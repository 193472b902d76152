package scale

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"mothrouter/internal/controlplane/distribution"
)

// Axes of the distribution of configuration.
const (
	axisControl  = "control_machines"
	axisDocument = "document_kb"
)

const (
	followersTimeout = 25 * time.Second // for all followers to connect, or to have a revision in force
	quietDuration    = 3 * time.Second  // measured without changes
	countedChanges   = 4                // measured with changes
	// publishInterval is a tenth of the target's mean interval: 2,700 changes in the 86,400 s of a day are 32 s apart.
	publishInterval = 3200 * time.Millisecond
	smallSpeedup    = 16 // divides quietDuration and publishInterval for the small fleets of CI
)

// configurationProvenance is the provenance of the experiment.
var configurationProvenance = Provenance{
	Real: "internal/controlplane/confighub and internal/controlplane/configfollower (gRPC) with distribution's Hub and " +
		"Follower over loopback, each document checked completely by internal/config; bytes are counted on the hubs' " +
		"connections",
	Hollow: "followers without a core to configure, all in one process; each hub in a process of its own, fed by the " +
		"experiment as if by the log: the replicated log is not in this run",
}

// smallConfiguration returns the point that CI measures.
func smallConfiguration() []Sizes {
	return axis(axisBrokers, []float64{10}, Size{axisControl, 1}, Size{axisDocument, 4})
}

func configurationExperiment() Experiment {
	return Experiment{
		Name: "configuration", Provenance: configurationProvenance, Play: playConfiguration, Small: smallConfiguration(),
		Large: axis(axisBrokers, brokerSizes, Size{axisControl, ControlMachines}, Size{axisDocument, 16}),
	}
}

// regionName returns the region of a broker or a control machine by its index: they are dealt to the target's regions.
func regionName(i int) string { return fmt.Sprint("region-", i%TargetRegions) }

// distributionRun is a run of the experiment, with a child for each hub and one for all followers.
type distributionRun struct {
	hubs          []*child
	followers     *child
	followerCount float64 // of followers
	documentBytes int     // of a document
	newest        uint64  // number of the newest revision
}

func playConfiguration(at Sizes, seed uint64) ([]Reading, error) {
	d := &distributionRun{followerCount: at.Of(axisBrokers), documentBytes: int(at.Of(axisDocument)) * bytesPerKB}
	defer d.stop()
	if err := d.startChildren(int(at.Of(axisControl))); err != nil {
		return nil, err
	}
	readings, err := d.startAtOnce(seed)
	if err != nil {
		return nil, err
	}
	quiet, apart := quietDuration, publishInterval
	if d.followerCount < brokerSizes[0] {
		quiet, apart = quiet/smallSpeedup, apart/smallSpeedup
	}
	counted, err := d.measureTraffic(quiet, apart)
	if err != nil {
		return nil, err
	}
	readings = append(readings, counted...)
	if len(d.hubs) < ControlMachines {
		return readings, nil // too few to lose one
	}
	lost, err := d.measureHubLoss()
	return append(readings, lost...), err
}

// startChildren starts the hubs and the process of the followers, which do not run yet.
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
func (d *distributionRun) requestHubs(command hubCommand) ([]hubAnswer, error) {
	answers := make([]hubAnswer, len(d.hubs))
	for i, hub := range d.hubs {
		if err := hub.request(command, &answers[i]); err != nil {
			return nil, err
		}
	}
	return answers, nil
}

func (d *distributionRun) requestFollowers(command followersCommand) (answer followersAnswer, err error) {
	err = d.followers.request(command, &answer)
	return answer, err
}

// publish publishes the next revision at all hubs and returns when the first of them got it, in Unix nanoseconds.
func (d *distributionRun) publish() (int64, error) {
	d.newest++
	answers, err := d.requestHubs(hubCommand{Publish: d.newest, Bytes: d.documentBytes})
	if err != nil {
		return 0, err
	}
	return answers[0].PublishedAt, nil
}

// startAtOnce starts all followers at once and measures until all have a revision in force.
func (d *distributionRun) startAtOnce(seed uint64) ([]Reading, error) {
	if _, err := d.publish(); err != nil {
		return nil, err
	}
	empty, err := d.requestFollowers(followersCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	machines := make([]distribution.ControlMachine, len(d.hubs))
	for i, hub := range d.hubs {
		machines[i] = distribution.ControlMachine{Address: hub.startLines[0], Region: regionName(i)}
	}
	started, err := d.requestFollowers(followersCommand{Start: machines, Bytes: d.documentBytes, Seed: seed})
	if err != nil {
		return nil, err
	}
	hubs, err := d.requestHubs(hubCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	full, err := d.requestFollowers(followersCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"start at once: all follow", "s", seconds(started.DoneAt - started.StartedAt)},
		{"start at once: connections of one hub", "connections in its busiest second",
			maxOfHubs(hubs, func(h hubAnswer) float64 { return float64(h.MaxAcceptsPerSecond) })},
		{"start at once: processor", "µs a broker", micros(started.Processor-empty.Processor) / d.followerCount},
		{"memory", "bytes a broker", max((full.Memory-empty.Memory)/d.followerCount, 1)},
		{"memory of the busiest hub", "bytes", maxOfHubs(hubs, func(h hubAnswer) float64 { return h.Memory })},
		{"streams of the busiest hub", "streams", maxOfHubs(hubs, func(h hubAnswer) float64 { return float64(h.Streams) })},
	}, nil
}

// usageSnapshot is what all children have used up to a time.
type usageSnapshot struct {
	at        time.Time
	hubs      []hubAnswer
	followers followersAnswer
}

func (d *distributionRun) takeSnapshot() (m usageSnapshot, err error) {
	if m.hubs, err = d.requestHubs(hubCommand{}); err != nil {
		return m, err
	}
	m.followers, err = d.requestFollowers(followersCommand{})
	m.at = time.Now()
	return m, err
}

// measureTraffic measures a period without changes and one with them.
func (d *distributionRun) measureTraffic(quiet, interval time.Duration) ([]Reading, error) {
	before, err := d.takeSnapshot()
	if err != nil {
		return nil, err
	}
	time.Sleep(quiet)
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
		{"processor for a change", "µs a broker", d.processorPerChange(before, between, after)},
	}
	readings = append(readings, d.usageReadings("without changes: ", before, between)...)
	return append(readings, d.usageReadings("", between, after)...), nil
}

// processorPerChange returns the followers' processor time with changes beyond that without, in µs per change and
// broker.
func (d *distributionRun) processorPerChange(before, between, after usageSnapshot) float64 {
	quiet := micros(between.followers.Processor-before.followers.Processor) / between.at.Sub(before.at).Seconds()
	used := micros(after.followers.Processor - between.followers.Processor)
	return max(used-quiet*after.at.Sub(between.at).Seconds(), 1) / d.followerCount / countedChanges
}

// propagationDelays are the times from when the first hub got a revision until a follower had it, in seconds and
// ascending.
type propagationDelays struct {
	received []float64 // read by the follower
	applied  []float64 // in force at the follower
}

// publishChanges publishes revisions at an interval and returns their delays at all followers.
func (d *distributionRun) publishChanges(interval time.Duration) (delays propagationDelays, err error) {
	for range countedChanges {
		next := time.Now().Add(interval)
		publishedAt, err := d.publish()
		if err != nil {
			return delays, err
		}
		time.Sleep(time.Until(next) - interval/10) // so that all followers are polled only in the last tenth
		answer, err := d.requestFollowers(followersCommand{InForce: d.newest})
		if err != nil {
			return delays, err
		}
		for i := range answer.AppliedAt {
			delays.received = append(delays.received, seconds(answer.ReceivedAt[i]-publishedAt))
			delays.applied = append(delays.applied, seconds(answer.AppliedAt[i]-publishedAt))
		}
		time.Sleep(time.Until(next))
	}
	slices.Sort(delays.received)
	slices.Sort(delays.applied)
	return delays, nil
}

// percentile99 returns the 99th percentile of ascending values.
func percentile99(values []float64) float64 { return values[len(values)*99/100] }

// usageReadings returns what the children used between two snapshots. The label is put before each reading's name.
func (d *distributionRun) usageReadings(label string, from, to usageSnapshot) []Reading {
	wall := to.at.Sub(from.at).Seconds()
	var in, out, processor, maxOut, maxIn, maxProcessor float64
	for i := range to.hubs {
		hubIn := float64(to.hubs[i].In-from.hubs[i].In) / wall
		hubOut := float64(to.hubs[i].Out-from.hubs[i].Out) / wall
		hubProcessor := micros(to.hubs[i].Processor-from.hubs[i].Processor) / wall
		in, out, processor = in+hubIn, out+hubOut, processor+hubProcessor
		maxIn, maxOut, maxProcessor = max(maxIn, hubIn), max(maxOut, hubOut), max(maxProcessor, hubProcessor)
	}
	used := micros(to.followers.Processor-from.followers.Processor) / wall
	return []Reading{
		{label + "processor", "µs a broker and second", used / d.followerCount},
		{label + "bytes in", "bytes a broker and second", out / d.followerCount}, // what the hubs send
		{label + "bytes out", "bytes a broker and second", in / d.followerCount},
		{label + "processor of a hub", "µs a second", processor / float64(len(to.hubs))},
		{label + "processor of the busiest hub", "µs a second", maxProcessor},
		{label + "bytes out of the busiest hub", "bytes a second", maxOut},
		{label + "bytes in of the busiest hub", "bytes a second", maxIn},
	}
}

// lostHubIndex is the hub that is lost: the only one of its region, so that its followers connect to other regions.
const lostHubIndex = 1

// measureHubLoss pauses a hub's process, as if its machine hung: its connections stay open, and its address accepts new
// ones that are never served.
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
			maxOfHubs(hubs, func(h hubAnswer) float64 { return float64(h.MaxAcceptsPerSecond) })},
	}, nil
}

func seconds(nanoseconds int64) float64 { return time.Duration(nanoseconds).Seconds() }

func micros(d time.Duration) float64 { return d.Seconds() * 1e6 }

func maxOfHubs(hubs []hubAnswer, value func(hubAnswer) float64) float64 {
	largest := 0.0
	for _, hub := range hubs {
		largest = max(largest, value(hub))
	}
	return largest
}
