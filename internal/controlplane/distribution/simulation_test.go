package distribution_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
	"mothrouter/internal/controlplane/simulationtest"
)

// The simulation runs brokers and four control machines in virtual time. Its streams behave like TCP connections: in
// order, delayed by a network partition until it heals or one end closes, and blocked while the receiver does not read.
const (
	regions = 3
	zones   = 10
	hubs    = 4

	streamWindow      = 4 // updates in flight on one stream
	retransmitDelay   = 200 * time.Millisecond
	connectRetryDelay = time.Second      // between two connection attempts of TCP
	keepaliveTimeout  = 15 * time.Second // a hub closes a stream whose peer is unreachable for longer
	confirmInterval   = 250 * time.Millisecond
	publishInterval   = 3200 * time.Millisecond // ten times 2,700 a day
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// regionOfZone returns a zone's region: the first and the second have three zones, the third has four.
func regionOfZone(zone int) int { return min(zone/3, regions-1) }

// zoneOfHub is each hub's zone. Hubs 0 to 2 are the voters, one in each region; hub 3 is the spare, in the first one.
var zoneOfHub = [hubs]int{0, 3, 6, 1}

// plantedFault is a fault of the system under test that a checker has to find.
type plantedFault string

const (
	plantNone              plantedFault = ""
	plantRegression        plantedFault = "a broker applies an earlier revision again"
	plantDuplicate         plantedFault = "a broker applies a revision twice"
	plantTruncation        plantedFault = "a broker applies a truncated document"
	plantWithheldRevisions plantedFault = "hubs never send revisions to some brokers"
	plantReplay            plantedFault = "a hub sends every revision that it missed during a partition"
	plantConnectStorm      plantedFault = "followers assume a fleet of one"
	plantFlapping          plantedFault = "hubs without a quorum close their streams every few seconds"
	plantFalseConfirmation plantedFault = "hubs without a quorum claim a confirmation"
	plantMissingReports    plantedFault = "some brokers never report the revision in force"
	plantSlowCatchUp       plantedFault = "a hub applies the newest revision 12 s late after a partition"
)

type simOptions struct {
	seed       uint64
	brokers    int
	fleetSize  int // as configured at the followers; 0: brokers
	noiseRatio float64
	plant      plantedFault
}

type simulation struct {
	simOptions
	rng         *rand.Rand
	now         time.Duration
	queue       simulationtest.EventQueue
	events      int
	trace       uint64
	hubs        [hubs]*simHub
	fleet       []*simBroker
	log         []*configpb.Revision // revision n is at index n-1
	publishedAt []time.Duration      // by index of log
	partitioned [regions]bool        // regions partitioned from the others
	blocked     map[[2]int]direction // directions blocked, by broker and hub
	checks      *checkers
}

type direction int

const (
	toHub direction = 1 + iota
	toBroker
)

func newSimulation(opt simOptions) *simulation {
	if opt.fleetSize == 0 {
		opt.fleetSize = opt.brokers
	}
	s := &simulation{
		simOptions: opt,
		rng:        rand.New(rand.NewPCG(opt.seed, 0x3c6ef372fe94f82b)),
		blocked:    map[[2]int]direction{},
	}
	s.checks = newCheckers(s)
	for i := range s.hubs {
		s.hubs[i] = &simHub{sim: s, index: i, zone: zoneOfHub[i]}
		s.hubs[i].start()
	}
	for i := range opt.brokers {
		b := &simBroker{sim: s, index: i, zone: i % zones}
		s.fleet = append(s.fleet, b)
		b.start()
	}
	s.checks.faultsChanged()
	s.confirm()
	return s
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(wait time.Duration, run func()) {
	s.queue.Schedule(s.now+max(wait, 0), run)
}

func (s *simulation) runUntil(end time.Duration) {
	for at, ok := s.queue.NextAt(); ok && at <= end; at, ok = s.queue.NextAt() {
		next := s.queue.Pop()
		s.now = next.At
		s.events++
		next.Run()
	}
	s.now = end
}

// record adds an event to the trace, a hash by which two runs are compared.
func (s *simulation) record(what string, numbers ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, s.trace, s.now, what, numbers)
	s.trace = h.Sum64()
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) uniform(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

// connected reports whether two zones are in one region, or in regions that no partition separates.
func (s *simulation) connected(a, b int) bool {
	ra, rb := regionOfZone(a), regionOfZone(b)
	return ra == rb || !s.partitioned[ra] && !s.partitioned[rb]
}

// reachable reports whether messages pass between a broker and a hub in a direction.
func (s *simulation) reachable(b *simBroker, h *simHub, way direction) bool {
	return s.connected(b.zone, h.zone) && s.blocked[[2]int{b.index, h.index}] != way
}

func (s *simulation) latency(a, b int) time.Duration {
	if regionOfZone(a) == regionOfZone(b) {
		return s.uniform(500*time.Microsecond, 3*time.Millisecond)
	}
	return s.uniform(20*time.Millisecond, 60*time.Millisecond)
}

// hasQuorum reports whether a hub reaches two of the three voters.
func (s *simulation) hasQuorum(h *simHub) bool {
	if !h.up {
		return false
	}
	reached := 0
	for _, voter := range s.hubs[:3] {
		if voter.up && s.connected(h.zone, voter.zone) {
			reached++
		}
	}
	return reached >= 2
}

// publish commits a revision if some hub has a quorum.
func (s *simulation) publish() {
	ok := false
	for _, h := range s.hubs {
		ok = ok || s.hasQuorum(h)
	}
	if !ok {
		return
	}
	number := uint64(len(s.log) + 1)
	document := fmt.Appendf(nil, `{"number":%d,"salt":%d}`, number, s.rng.Uint64())
	s.log = append(s.log, &configpb.Revision{
		Number:          number,
		Checksum:        configpb.Checksum(document),
		Document:        document,
		PublishedUnixMs: s.time().UnixMilli(),
	})
	s.publishedAt = append(s.publishedAt, s.now)
	s.checks.revisionPublished(number)
	for _, h := range s.hubs {
		if s.hasQuorum(h) {
			s.after(s.latency(h.zone, zoneOfHub[0]), h.catchUp)
		}
	}
}

// publishPeriodically publishes at fixed intervals until a time.
func (s *simulation) publishPeriodically(every, end time.Duration) {
	s.after(every, func() {
		if s.now < end {
			s.publish()
			s.publishPeriodically(every, end)
		}
	})
}

// confirm has hubs with a quorum catch up and records their confirmation, like a linearizable read.
func (s *simulation) confirm() {
	for _, h := range s.hubs {
		if s.hasQuorum(h) {
			h.catchUp()
			h.hub.SetConfirmed(s.time())
		} else if h.up && s.plant == plantFalseConfirmation {
			h.hub.SetConfirmed(s.time())
		}
	}
	s.after(confirmInterval, s.confirm)
}

// simHub is a control machine: a Hub and its driver.
type simHub struct {
	sim          *simulation
	index        int
	zone         int
	hub          *distribution.Hub
	up           bool
	machineLost  bool // with the machine, so that connections get no answer
	streams      []*simStream
	connectedAt  []time.Duration // of the brokers' connections
	newest       uint64
	laggingSince time.Duration // since when it delays catching up, by plantSlowCatchUp; 0: it does not
}

func (h *simHub) start() {
	h.up, h.machineLost = true, false
	h.hub = distribution.NewHub()
	h.streams, h.newest = nil, 0
	h.sim.record("hub starts", h.index)
}

// stop ends the process. Its streams end, unless the machine is lost.
func (h *simHub) stop(machineLost bool) {
	h.up, h.machineLost = false, machineLost
	h.sim.record("hub stops", h.index)
	for _, st := range h.streams {
		st.hubEnded(!machineLost)
	}
	h.streams = nil
}

// catchUp sets the hub's newest revision to the log's, if it has a quorum.
func (h *simHub) catchUp() {
	if !h.up || !h.sim.hasQuorum(h) || len(h.sim.log) == 0 {
		return
	}
	if h.sim.plant == plantReplay && h.replay() {
		return
	}
	if h.sim.plant == plantSlowCatchUp && h.delayCatchUp() {
		return
	}
	newest := h.sim.log[len(h.sim.log)-1]
	h.newest = newest.GetNumber()
	if err := h.hub.SetNewest(h.sim.time(), newest); err != nil {
		panic(err)
	}
	h.pumpAll()
}

func (h *simHub) pumpAll() {
	for _, st := range h.streams {
		st.pump()
	}
}

// replay is plantReplay: it sets each of the missed revisions in turn. It reports whether there are ten or more.
func (h *simHub) replay() bool {
	have, newest := h.newest, uint64(len(h.sim.log))
	if have == 0 || newest < have+10 {
		return false
	}
	for i, revision := range h.sim.log[have:newest] {
		h.sim.after(time.Duration(i)*10*time.Millisecond, func() {
			if h.hub.SetNewest(h.sim.time(), revision) == nil {
				h.newest = revision.GetNumber()
				h.pumpAll()
			}
		})
	}
	return true
}

// delayCatchUp is plantSlowCatchUp: it reports whether the hub delays catching up now.
func (h *simHub) delayCatchUp() bool {
	if uint64(len(h.sim.log)) < h.newest+10 {
		h.laggingSince = 0
		return false
	}
	if h.laggingSince == 0 {
		h.laggingSince = h.sim.now
	}
	return h.sim.now-h.laggingSince < 12*time.Second
}

// accept opens a session for a broker's stream.
func (h *simHub) accept(st *simStream) {
	h.connectedAt = append(h.connectedAt, h.sim.now)
	id, err := h.hub.OpenSession(h.sim.time())
	if err != nil {
		st.notifyBroker()
		return
	}
	st.session = id
	h.streams = append(h.streams, st)
	st.pump()
}

// simBroker is a broker: a Follower and its driver.
type simBroker struct {
	sim           *simulation
	index         int
	zone          int
	follower      *distribution.Follower
	instance      int
	up            bool
	paused        bool
	stream        *simStream
	tickAt        time.Duration // of the scheduled tick; 0: none
	deferred      []func()      // events during a pause
	streamsOpened int
}

func (b *simBroker) name() string { return fmt.Sprintf("broker-%04d", b.index) }

func (b *simBroker) start() {
	b.instance++
	b.up, b.paused, b.deferred, b.stream, b.tickAt = true, false, nil, nil, 0
	var control []distribution.ControlMachine
	for _, h := range b.sim.hubs {
		control = append(control, distribution.ControlMachine{
			Address: fmt.Sprint(h.index),
			Zone:    fmt.Sprint("z", h.zone),
			Region:  fmt.Sprint("r", regionOfZone(h.zone)),
		})
	}
	callers := b.sim.fleetSize
	if b.sim.plant == plantConnectStorm {
		callers = 1
	}
	follower, err := distribution.NewFollower(b.sim.time(), distribution.FollowerOptions{
		Name:            b.name(),
		StartedAt:       b.sim.time(),
		Zone:            fmt.Sprint("z", b.zone),
		Region:          fmt.Sprint("r", regionOfZone(b.zone)),
		ControlMachines: control,
		FleetSize:       callers,
		Seed:            b.sim.seed<<32 + uint64(b.index)<<12 + uint64(b.instance),
	})
	if err != nil {
		panic(err)
	}
	b.follower = follower
	b.sim.checks.brokerStarted(b)
	b.step()
}

// stop ends the process. Its stream ends, unless the machine is lost.
func (b *simBroker) stop(machineLost bool) {
	if !b.up {
		return
	}
	b.up = false
	if b.stream != nil {
		b.stream.brokerEnded(!machineLost)
		b.stream = nil
	}
}

func (b *simBroker) pause(wait time.Duration) {
	if !b.up || b.paused {
		return
	}
	b.paused = true
	instance := b.instance
	b.sim.after(wait, func() {
		if b.instance != instance || !b.up {
			return
		}
		b.paused = false
		deferred := b.deferred
		b.deferred = nil
		b.sim.checks.faultsChanged()
		for _, run := range deferred {
			run()
		}
		b.step()
	})
}

// whenAwake runs an event in the present process: after a pause if it is paused, never once it has ended.
func (b *simBroker) whenAwake(run func()) {
	instance := b.instance
	do := func() {
		if b.up && b.instance == instance {
			run()
		}
	}
	if b.paused {
		b.deferred = append(b.deferred, do)
		return
	}
	do()
}

// step is one turn of the driver's loop: it does what the follower has ready, and schedules the next tick.
func (b *simBroker) step() {
	ready := b.follower.Ready(b.sim.time())
	if ready.Close != 0 && b.stream != nil && b.stream.id == ready.Close {
		b.stream.brokerEnded(true)
		b.stream = nil
	}
	if ready.Open != nil {
		b.streamsOpened++
		b.stream = newStream(b, *ready.Open)
		b.stream.connect()
	}
	if ready.Report != nil && b.stream != nil {
		b.stream.queueReport(ready.Report)
	}
	if ready.Apply != nil {
		b.apply(ready.Apply)
	}
	wake := b.follower.NextTick().Sub(epoch)
	if b.tickAt > b.sim.now && b.tickAt <= wake {
		return
	}
	b.tickAt = max(wake, b.sim.now)
	at, instance := b.tickAt, b.instance
	b.sim.after(at-b.sim.now, func() {
		if b.instance != instance || b.tickAt != at {
			return
		}
		b.tickAt = 0
		b.whenAwake(func() {
			if !b.sim.time().Before(b.follower.NextTick()) {
				b.follower.Tick(b.sim.time())
			}
			b.step()
		})
	})
}

func (b *simBroker) apply(revision *configpb.Revision) {
	b.sim.after(b.sim.uniform(time.Millisecond, 50*time.Millisecond), func() {
		b.whenAwake(func() {
			number := revision.GetNumber()
			if rejects(b.index, number) {
				b.sim.checks.revisionRejected(b, number)
				b.follower.RevisionRejected(b.sim.time(), number, "settings.port", "needs a restart")
				b.step()
				return
			}
			b.sim.record("applied", b.index, number)
			b.sim.checks.revisionApplied(b, revision)
			b.playPlantedFault(revision)
			b.follower.RevisionApplied(b.sim.time(), number)
			b.step()
		})
	})
}

// rejects reports whether a broker rejects a revision.
func rejects(broker int, number uint64) bool { return number%9 == 4 && broker%4 == 1 }

// playPlantedFault applies revisions wrongly, by the planted faults of a broker's driver.
func (b *simBroker) playPlantedFault(revision *configpb.Revision) {
	number := revision.GetNumber()
	if number%7 != 0 || b.index%5 != 0 {
		return
	}
	switch b.sim.plant {
	case plantRegression:
		b.sim.checks.revisionApplied(b, b.sim.log[number-2])
	case plantDuplicate:
		b.sim.checks.revisionApplied(b, revision)
	case plantTruncation:
		truncated := proto.CloneOf(revision)
		truncated.Document = truncated.Document[:len(truncated.Document)/2]
		truncated.Number++
		b.sim.checks.revisionApplied(b, truncated)
	}
}

func runSimulation(t testing.TB, opt simOptions, play func(*simulation)) *simulation {
	s := newSimulation(opt)
	play(s)
	s.checks.finish()
	require.NotZero(t, s.events)
	return s
}
