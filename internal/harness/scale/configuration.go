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
	followersTimeout = 25 * time.Second // all follow, or have a revision in force
	quietDuration    = 3 * time.Second  // without changes
	// countedChanges are published changeApart apart, ten times the target's rate: a day has 86,400 s and 2,700
	// changes, which are 32 s apart.
	countedChanges  = 4
	publishInterval = 3200 * time.Millisecond
	// smallSpeedup is by how much less time small fleets are given, for CI.
	smallSpeedup = 16
)

// configurationProvenance tells what is what.
var configurationProvenance = Provenance{
	Real: "internal/controlplane/confighub and internal/controlplane/configfollower (gRPC) with distribution's Hub and Follower over loopback, each " +
		"document checked whole by internal/config; bytes are counted on the hubs' connections",
	Hollow: "followers without a core to configure, all in one process; each hub in a process of its own, fed by the " +
		"experiment as if by the log: the replicated log is not in this run",
}

// smallConfiguration is what CI plays.
func smallConfiguration() []Sizes {
	return axis(axisBrokers, []float64{10}, Size{axisControl, 1}, Size{axisDocument, 4})
}

func configurationExperiment() Experiment {
	return Experiment{
		Name: "configuration", Provenance: configurationProvenance, Play: playConfiguration, Small: smallConfiguration(),
		Large: axis(axisBrokers, brokerSizes, Size{axisControl, ControlMachines}, Size{axisDocument, 16}),
	}
}

// regionName is the region of a broker or a control machine: they lie in the target's regions in turn.
func regionName(i int) string { return fmt.Sprint("region-", i%TargetRegions) }

// distributionRun is a run of the distribution: hubs and their followers.
type distributionRun struct {
	hubs          []*child
	followers     *child
	followerCount float64 // of followers
	documentBytes int     // of a document
	newest        uint64
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
		return readings, nil // none can be lost
	}
	lost, err := d.measureHubLoss()
	return append(readings, lost...), err
}

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

// requestHubs asks all hubs the same, one after the other.
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

// publish has all hubs know the next revision, and returns when the first of them was told, in Unix nanoseconds.
func (d *distributionRun) publish() (int64, error) {
	d.newest++
	answers, err := d.requestHubs(hubCommand{Publish: d.newest, Bytes: d.documentBytes})
	if err != nil {
		return 0, err
	}
	return answers[0].PublishedAt, nil
}

// startAtOnce starts all followers together and measures until all have a revision in force.
func (d *distributionRun) startAtOnce(seed uint64) ([]Reading, error) {
	if _, err := d.publish(); err != nil {
		return nil, err
	}
	empty, err := d.requestFollowers(followersCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	machines := make([]distribution.Machine, len(d.hubs))
	for i, hub := range d.hubs {
		machines[i] = distribution.Machine{Address: hub.startLines[0], Region: regionName(i)}
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

// usageSnapshot is what all had used at a time.
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

// measureTraffic counts a stretch without changes and one with them.
func (d *distributionRun) measureTraffic(quiet, apart time.Duration) ([]Reading, error) {
	before, err := d.takeSnapshot()
	if err != nil {
		return nil, err
	}
	time.Sleep(quiet)
	between, err := d.takeSnapshot()
	if err != nil {
		return nil, err
	}
	came, applied, err := d.publishChanges(apart)
	if err != nil {
		return nil, err
	}
	after, err := d.takeSnapshot()
	if err != nil {
		return nil, err
	}
	readings := []Reading{
		{"read at 99 in 100", "s", came[len(came)*99/100]},
		{"read at all", "s", came[len(came)-1]},
		{"in force at 99 in 100", "s", applied[len(applied)*99/100]},
		{"in force at all", "s", applied[len(applied)-1]},
		{"processor for a change", "µs a broker", d.processorPerChange(before, between, after)},
	}
	readings = append(readings, d.usageReadings("without changes: ", before, between)...)
	return append(readings, d.usageReadings("", between, after)...), nil
}

// processorPerChange is what the stretch with changes took beyond the one without, a change and a broker.
func (d *distributionRun) processorPerChange(before, between, after usageSnapshot) float64 {
	quiet := micros(between.followers.Processor-before.followers.Processor) / between.at.Sub(before.at).Seconds()
	used := micros(after.followers.Processor - between.followers.Processor)
	return max(used-quiet*after.at.Sub(between.at).Seconds(), 1) / d.followerCount / countedChanges
}

// publishChanges publishes revisions and returns the times, in seconds and ascending, from when the first hub was told of one
// until a follower had read it, and until it was in force there.
func (d *distributionRun) publishChanges(apart time.Duration) (came, applied []float64, err error) {
	for range countedChanges {
		next := time.Now().Add(apart)
		told, err := d.publish()
		if err != nil {
			return nil, nil, err
		}
		time.Sleep(time.Until(next) - apart/10) // the looks at all followers fall into the last tenth
		in, err := d.requestFollowers(followersCommand{InForce: d.newest})
		if err != nil {
			return nil, nil, err
		}
		for i := range in.AppliedAt {
			came = append(came, seconds(in.ReceivedAt[i]-told))
			applied = append(applied, seconds(in.AppliedAt[i]-told))
		}
		time.Sleep(time.Until(next))
	}
	slices.Sort(came)
	slices.Sort(applied)
	return came, applied, nil
}

// usageReadings is what a stretch took.
func (d *distributionRun) usageReadings(label string, from, to usageSnapshot) []Reading {
	wall := to.at.Sub(from.at).Seconds()
	var in, out, processor, mostOut, mostIn, mostProcessor float64
	for i := range to.hubs {
		hubIn := float64(to.hubs[i].In-from.hubs[i].In) / wall
		hubOut := float64(to.hubs[i].Out-from.hubs[i].Out) / wall
		hubProcessor := micros(to.hubs[i].Processor-from.hubs[i].Processor) / wall
		in, out, processor = in+hubIn, out+hubOut, processor+hubProcessor
		mostIn, mostOut, mostProcessor = max(mostIn, hubIn), max(mostOut, hubOut), max(mostProcessor, hubProcessor)
	}
	used := micros(to.followers.Processor-from.followers.Processor) / wall
	return []Reading{
		{label + "processor", "µs a broker and second", used / d.followerCount},
		{label + "bytes in", "bytes a broker and second", out / d.followerCount}, // what the hubs send
		{label + "bytes out", "bytes a broker and second", in / d.followerCount},
		{label + "processor of a hub", "µs a second", processor / float64(len(to.hubs))},
		{label + "processor of the busiest hub", "µs a second", mostProcessor},
		{label + "bytes out of the busiest hub", "bytes a second", mostOut},
		{label + "bytes in of the busiest hub", "bytes a second", mostIn},
	}
}

// lostHubIndex is the one that is lost: the only one of its region, so that its brokers have to go to other regions.
const lostHubIndex = 1

// measureHubLoss stops a hub without a word, as a machine without power does: its connections stay as they are, and its
// address takes new ones that are never served.
func (d *distributionRun) measureHubLoss() ([]Reading, error) {
	lost := d.hubs[lostHubIndex]
	if _, err := d.requestHubs(hubCommand{}); err != nil { // the peaks count from here
		return nil, err
	}
	d.hubs = slices.Delete(d.hubs, lostHubIndex, lostHubIndex+1)
	defer lost.stop()
	if err := lost.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	defer lost.cmd.Process.Kill()
	again, err := d.requestFollowers(followersCommand{Lost: lost.startLines[0]})
	if err != nil {
		return nil, err
	}
	hubs, err := d.requestHubs(hubCommand{})
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"hub lost: all follow again", "s", seconds(again.DoneAt - again.StartedAt)},
		{"hub lost: connections of one hub", "connections in its busiest second",
			maxOfHubs(hubs, func(h hubAnswer) float64 { return float64(h.MaxAcceptsPerSecond) })},
	}, nil
}

func seconds(nanoseconds int64) float64 { return time.Duration(nanoseconds).Seconds() }

func micros(d time.Duration) float64 { return d.Seconds() * 1e6 }

func maxOfHubs(hubs []hubAnswer, value func(hubAnswer) float64) float64 {
	most := 0.0
	for _, hub := range hubs {
		most = max(most, value(hub))
	}
	return most
}
