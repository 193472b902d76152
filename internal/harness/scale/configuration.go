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
	followersWithin = 25 * time.Second // all follow, or have a revision in force
	quietCounted    = 3 * time.Second  // without changes
	// changesCounted are published changeApart apart, ten times the target's rate: a day has 86,400 s and 2,700
	// changes, which are 32 s apart.
	changesCounted = 4
	changeApart    = 3200 * time.Millisecond
	// smallFaster is by how much less time small fleets are given, for CI.
	smallFaster = 16
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

// distributed is a run of the distribution: hubs and their followers.
type distributed struct {
	hubs      []*child
	followers *child
	count     float64 // of followers
	bytes     int     // of a document
	newest    uint64
}

func playConfiguration(at Sizes, seed uint64) ([]Reading, error) {
	d := &distributed{count: at.Of(axisBrokers), bytes: int(at.Of(axisDocument)) * bytesPerKB}
	defer d.stop()
	if err := d.startChildren(int(at.Of(axisControl))); err != nil {
		return nil, err
	}
	readings, err := d.startAtOnce(seed)
	if err != nil {
		return nil, err
	}
	quiet, apart := quietCounted, changeApart
	if d.count < brokerSizes[0] {
		quiet, apart = quiet/smallFaster, apart/smallFaster
	}
	counted, err := d.ordinary(quiet, apart)
	if err != nil {
		return nil, err
	}
	readings = append(readings, counted...)
	if len(d.hubs) < ControlMachines {
		return readings, nil // none can be lost
	}
	lost, err := d.loseHub()
	return append(readings, lost...), err
}

func (d *distributed) startChildren(hubs int) error {
	for range hubs {
		hub, err := startChild(roleHub, 0)
		if err != nil {
			return err
		}
		d.hubs = append(d.hubs, hub)
	}
	followers, err := startChild(roleFollowers, int(d.count))
	d.followers = followers
	return err
}

// stop ends all children.
func (d *distributed) stop() {
	if d.followers != nil {
		d.followers.stop()
	}
	for _, hub := range d.hubs {
		hub.stop()
	}
}

// askHubs asks all hubs the same, one after the other.
func (d *distributed) askHubs(command hubCommand) ([]hubAnswer, error) {
	answers := make([]hubAnswer, len(d.hubs))
	for i, hub := range d.hubs {
		if err := hub.request(command, &answers[i]); err != nil {
			return nil, err
		}
	}
	return answers, nil
}

func (d *distributed) askFollowers(command followersCommand) (answer followersAnswer, err error) {
	err = d.followers.request(command, &answer)
	return answer, err
}

// publish has all hubs know the next revision, and returns when the first of them was told, in Unix nanoseconds.
func (d *distributed) publish() (int64, error) {
	d.newest++
	answers, err := d.askHubs(hubCommand{Publish: d.newest, Bytes: d.bytes})
	if err != nil {
		return 0, err
	}
	return answers[0].At, nil
}

// startAtOnce starts all followers together and measures until all have a revision in force.
func (d *distributed) startAtOnce(seed uint64) ([]Reading, error) {
	if _, err := d.publish(); err != nil {
		return nil, err
	}
	empty, err := d.askFollowers(followersCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	machines := make([]distribution.Machine, len(d.hubs))
	for i, hub := range d.hubs {
		machines[i] = distribution.Machine{Address: hub.lines[0], Region: regionName(i)}
	}
	started, err := d.askFollowers(followersCommand{Start: machines, Bytes: d.bytes, Seed: seed})
	if err != nil {
		return nil, err
	}
	hubs, err := d.askHubs(hubCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	full, err := d.askFollowers(followersCommand{Memory: true})
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"start at once: all follow", "s", seconds(started.Done - started.At)},
		{"start at once: connections of one hub", "connections in its busiest second",
			maxOf(hubs, func(h hubAnswer) float64 { return float64(h.Peak) })},
		{"start at once: processor", "µs a broker", micros(started.Processor-empty.Processor) / d.count},
		{"memory", "bytes a broker", max((full.Memory-empty.Memory)/d.count, 1)},
		{"memory of the busiest hub", "bytes", maxOf(hubs, func(h hubAnswer) float64 { return h.Memory })},
		{"streams of the busiest hub", "streams", maxOf(hubs, func(h hubAnswer) float64 { return float64(h.Streams) })},
	}, nil
}

// mark is what all had used at a time.
type mark struct {
	at        time.Time
	hubs      []hubAnswer
	followers followersAnswer
}

func (d *distributed) mark() (m mark, err error) {
	if m.hubs, err = d.askHubs(hubCommand{}); err != nil {
		return m, err
	}
	m.followers, err = d.askFollowers(followersCommand{})
	m.at = time.Now()
	return m, err
}

// ordinary counts a stretch without changes and one with them.
func (d *distributed) ordinary(quiet, apart time.Duration) ([]Reading, error) {
	before, err := d.mark()
	if err != nil {
		return nil, err
	}
	time.Sleep(quiet)
	between, err := d.mark()
	if err != nil {
		return nil, err
	}
	came, applied, err := d.changes(apart)
	if err != nil {
		return nil, err
	}
	after, err := d.mark()
	if err != nil {
		return nil, err
	}
	readings := []Reading{
		{"read at 99 in 100", "s", came[len(came)*99/100]},
		{"read at all", "s", came[len(came)-1]},
		{"in force at 99 in 100", "s", applied[len(applied)*99/100]},
		{"in force at all", "s", applied[len(applied)-1]},
		{"processor for a change", "µs a broker", d.processorOfChange(before, between, after)},
	}
	readings = append(readings, d.usage("without changes: ", before, between)...)
	return append(readings, d.usage("", between, after)...), nil
}

// processorOfChange is what the stretch with changes took beyond the one without, a change and a broker.
func (d *distributed) processorOfChange(before, between, after mark) float64 {
	quiet := micros(between.followers.Processor-before.followers.Processor) / between.at.Sub(before.at).Seconds()
	used := micros(after.followers.Processor - between.followers.Processor)
	return max(used-quiet*after.at.Sub(between.at).Seconds(), 1) / d.count / changesCounted
}

// changes publishes revisions and returns the times, in seconds and ascending, from when the first hub was told of one
// until a follower had read it, and until it was in force there.
func (d *distributed) changes(apart time.Duration) (came, applied []float64, err error) {
	for range changesCounted {
		next := time.Now().Add(apart)
		told, err := d.publish()
		if err != nil {
			return nil, nil, err
		}
		time.Sleep(time.Until(next) - apart/10) // the looks at all followers fall into the last tenth
		in, err := d.askFollowers(followersCommand{InForce: d.newest})
		if err != nil {
			return nil, nil, err
		}
		for i := range in.Applied {
			came = append(came, seconds(in.Came[i]-told))
			applied = append(applied, seconds(in.Applied[i]-told))
		}
		time.Sleep(time.Until(next))
	}
	slices.Sort(came)
	slices.Sort(applied)
	return came, applied, nil
}

// usage is what a stretch took.
func (d *distributed) usage(label string, from, to mark) []Reading {
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
		{label + "processor", "µs a broker and second", used / d.count},
		{label + "bytes in", "bytes a broker and second", out / d.count}, // what the hubs send
		{label + "bytes out", "bytes a broker and second", in / d.count},
		{label + "processor of a hub", "µs a second", processor / float64(len(to.hubs))},
		{label + "processor of the busiest hub", "µs a second", mostProcessor},
		{label + "bytes out of the busiest hub", "bytes a second", mostOut},
		{label + "bytes in of the busiest hub", "bytes a second", mostIn},
	}
}

// lostHub is the one that is lost: the only one of its region, so that its brokers have to go to other regions.
const lostHub = 1

// loseHub stops a hub without a word, as a machine without power does: its connections stay as they are, and its
// address takes new ones that are never served.
func (d *distributed) loseHub() ([]Reading, error) {
	lost := d.hubs[lostHub]
	if _, err := d.askHubs(hubCommand{}); err != nil { // the peaks count from here
		return nil, err
	}
	d.hubs = slices.Delete(d.hubs, lostHub, lostHub+1)
	defer lost.stop()
	if err := lost.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	defer lost.cmd.Process.Kill()
	again, err := d.askFollowers(followersCommand{Lost: lost.lines[0]})
	if err != nil {
		return nil, err
	}
	hubs, err := d.askHubs(hubCommand{})
	if err != nil {
		return nil, err
	}
	return []Reading{
		{"hub lost: all follow again", "s", seconds(again.Done - again.At)},
		{"hub lost: connections of one hub", "connections in its busiest second",
			maxOf(hubs, func(h hubAnswer) float64 { return float64(h.Peak) })},
	}, nil
}

func seconds(nanoseconds int64) float64 { return time.Duration(nanoseconds).Seconds() }

func micros(d time.Duration) float64 { return d.Seconds() * 1e6 }

func maxOf(hubs []hubAnswer, value func(hubAnswer) float64) float64 {
	most := 0.0
	for _, hub := range hubs {
		most = max(most, value(hub))
	}
	return most
}
