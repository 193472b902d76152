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

// The simulation runs brokers and four control machines in virtual time. Its streams behave like TCP connections: they deliver
// in order, are delayed by a network partition until it heals or one end closes, and block while the receiver does not read.
const (
	regions = 3
	zones   = 10
	hubs    = 4

	streamWindow      = 4 // maximum number of updates in flight on one stream
	retransmitDelay   = 200 * time.Millisecond
	connectRetryDelay = time.Second      // between two TCP connection attempts
	keepaliveTimeout  = 15 * time.Second // a hub closes a stream whose peer has been unreachable for longer
	confirmInterval   = 250 * time.Millisecond
	publishInterval   = 3200 * time.Millisecond // ten times the rate of 2,700 revisions a day
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// regionOfZone returns the region of a zone. The first two regions have three zones, the third has four.
func regionOfZone(zone int) int { return min(zone/3, regions-1) }

// zoneOfHub has the zone of each hub. Hubs 0 to 2 are the voters, one per region; hub 3 is the spare, in the first region.
var zoneOfHub = [hubs]int{0, 3, 6, 1}

// injectedFault is a fault that is injected into the system under test and that a checker has to find.
type injectedFault string

const (
	noFault                injectedFault = ""
	faultRegression        injectedFault = "a broker applies an earlier revision again"
	faultDuplicate         injectedFault = "a broker applies a revision twice"
	faultTruncation        injectedFault = "a broker applies a truncated document"
	faultWithheldRevisions injectedFault = "hubs never send revisions to some brokers"
	faultReplay            injectedFault = "a hub sends every revision that it missed during a partition"
	faultConnectStorm      injectedFault = "followers are configured with a fleet size of one"
	faultFlapping          injectedFault = "hubs without a quorum close their streams every few seconds"
	faultFalseConfirmation injectedFault = "hubs without a quorum claim to be confirmed"
	faultMissingReports    injectedFault = "some brokers never report the revision in force"
	faultSlowCatchUp       injectedFault = "a hub applies the newest revision 12 s late after a partition"
)

type simOptions struct {
	seed       uint64
	brokers    int
	fleetSize  int     // as configured at the followers; 0: brokers
	noiseRatio float64 // fraction of updates that are passed to sendNoise
	injected   injectedFault
}

type simulation struct {
	simOptions
	rng         *rand.Rand
	now         time.Duration
	queue       simulationtest.EventQueue
	events      int    // number of events run
	trace       uint64 // hash of the recorded events, see record
	hubs        [hubs]*simHub
	fleet       []*simBroker
	log         []*configpb.Revision // revision n is at index n-1
	publishedAt []time.Duration      // when each revision of log was published, by the same index
	partitioned [regions]bool        // regions partitioned from the others
	blocked     map[[2]int]direction // blocked directions, by broker and hub
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

// record adds an event to the trace, a hash that identifies a run.
func (s *simulation) record(event string, details ...any) {
	hash := fnv.New64a()
	fmt.Fprint(hash, s.trace, s.now, event, details)
	s.trace = hash.Sum64()
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

// uniform returns a random duration of at least from and below to.
func (s *simulation) uniform(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

// connected reports whether two zones are in the same region, or in regions that no partition separates.
func (s *simulation) connected(zoneA, zoneB int) bool {
	regionA, regionB := regionOfZone(zoneA), regionOfZone(zoneB)
	return regionA == regionB || !s.partitioned[regionA] && !s.partitioned[regionB]
}

// reachable reports whether the network passes messages between a broker and a hub in the given direction.
func (s *simulation) reachable(b *simBroker, h *simHub, dir direction) bool {
	return s.connected(b.zone, h.zone) && s.blocked[[2]int{b.index, h.index}] != dir
}

func (s *simulation) latency(zoneA, zoneB int) time.Duration {
	if regionOfZone(zoneA) == regionOfZone(zoneB) {
		return s.uniform(500*time.Microsecond, 3*time.Millisecond)
	}
	return s.uniform(20*time.Millisecond, 60*time.Millisecond)
}

// hasQuorum reports whether a hub is running and reaches two of the three voters.
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

// publish commits a revision if at least one hub has a quorum.
func (s *simulation) publish() {
	quorum := false
	for _, h := range s.hubs {
		quorum = quorum || s.hasQuorum(h)
	}
	if !quorum {
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

// publishPeriodically publishes a revision at every interval until end.
func (s *simulation) publishPeriodically(interval, end time.Duration) {
	s.after(interval, func() {
		if s.now < end {
			s.publish()
			s.publishPeriodically(interval, end)
		}
	})
}

// confirm lets all hubs with a quorum catch up and records their confirmation, as a linearizable read would.
func (s *simulation) confirm() {
	for _, h := range s.hubs {
		if s.hasQuorum(h) {
			h.catchUp()
			h.hub.SetConfirmed(s.time())
		} else if h.up && s.injected == faultFalseConfirmation {
			h.hub.SetConfirmed(s.time())
		}
	}
	s.after(confirmInterval, s.confirm)
}

// simHub is a simulated control machine: a Hub and its driver.
type simHub struct {
	sim          *simulation
	index        int
	zone         int
	hub          *distribution.Hub
	up           bool
	hostLost     bool // the host has failed as well, so that connection attempts get no answer
	streams      []*simStream
	connectedAt  []time.Duration // times of the brokers' connection attempts that reached the host
	newest       uint64          // number of the newest revision; 0: none
	laggingSince time.Duration   // when faultSlowCatchUp started to delay catching up; 0: no delay
}

func (h *simHub) start() {
	h.up, h.hostLost = true, false
	h.hub = distribution.NewHub()
	h.streams, h.newest = nil, 0
	h.sim.record("hub starts", h.index)
}

// stop ends the process. Its streams end too, unless the host is lost with it: then the brokers are not notified.
func (h *simHub) stop(hostLost bool) {
	h.up, h.hostLost = false, hostLost
	h.sim.record("hub stops", h.index)
	for _, st := range h.streams {
		st.closeHubEnd(!hostLost)
	}
	h.streams = nil
}

// catchUp sets the hub's newest revision to the newest one of the log if the hub has a quorum.
func (h *simHub) catchUp() {
	if !h.up || !h.sim.hasQuorum(h) || len(h.sim.log) == 0 {
		return
	}
	if h.sim.injected == faultReplay && h.replay() {
		return
	}
	if h.sim.injected == faultSlowCatchUp && h.delayCatchUp() {
		return
	}
	newest := h.sim.log[len(h.sim.log)-1]
	h.newest = newest.GetNumber()
	if err := h.hub.SetNewest(h.sim.time(), newest); err != nil {
		panic(err)
	}
	h.sendAll()
}

func (h *simHub) sendAll() {
	for _, st := range h.streams {
		st.sendNext()
	}
}

// replay implements faultReplay: a hub that has missed ten revisions or more sets each of them in turn. It reports whether it
// has scheduled these calls of SetNewest.
func (h *simHub) replay() bool {
	oldNewest, newest := h.newest, uint64(len(h.sim.log))
	if oldNewest == 0 || newest < oldNewest+10 {
		return false
	}
	for i, revision := range h.sim.log[oldNewest:newest] {
		h.sim.after(time.Duration(i)*10*time.Millisecond, func() {
			if h.hub.SetNewest(h.sim.time(), revision) == nil {
				h.newest = revision.GetNumber()
				h.sendAll()
			}
		})
	}
	return true
}

// delayCatchUp implements faultSlowCatchUp: a hub that has missed ten revisions or more delays catching up for 12 s. It reports
// whether the hub is within that delay.
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
	st.sendNext()
}

// simBroker is a simulated broker: a Follower and its driver.
type simBroker struct {
	sim           *simulation
	index         int
	zone          int
	follower      *distribution.Follower
	instance      int
	up            bool
	paused        bool
	stream        *simStream
	tickAt        time.Duration // time of the scheduled tick; 0: none
	deferred      []func()      // events that arrived during the current pause
	streamsOpened int
}

func (b *simBroker) name() string { return fmt.Sprintf("broker-%04d", b.index) }

func (b *simBroker) start() {
	b.instance++
	b.up, b.paused, b.deferred, b.stream, b.tickAt = true, false, nil, nil, 0
	var controlMachines []distribution.ControlMachine
	for _, h := range b.sim.hubs {
		controlMachines = append(controlMachines, distribution.ControlMachine{
			Address: fmt.Sprint(h.index),
			Zone:    fmt.Sprint("z", h.zone),
			Region:  fmt.Sprint("r", regionOfZone(h.zone)),
		})
	}
	fleetSize := b.sim.fleetSize
	if b.sim.injected == faultConnectStorm {
		fleetSize = 1
	}
	follower, err := distribution.NewFollower(b.sim.time(), distribution.FollowerOptions{
		Name:            b.name(),
		StartedAt:       b.sim.time(),
		Zone:            fmt.Sprint("z", b.zone),
		Region:          fmt.Sprint("r", regionOfZone(b.zone)),
		ControlMachines: controlMachines,
		FleetSize:       fleetSize,
		Seed:            b.sim.seed<<32 + uint64(b.index)<<12 + uint64(b.instance),
	})
	if err != nil {
		panic(err)
	}
	b.follower = follower
	b.sim.checks.brokerStarted(b)
	b.step()
}

// stop ends the process. Its stream ends too, unless the host is lost with it: then the hub is not notified.
func (b *simBroker) stop(hostLost bool) {
	if !b.up {
		return
	}
	b.up = false
	if b.stream != nil {
		b.stream.closeBrokerEnd(!hostLost)
		b.stream = nil
	}
}

func (b *simBroker) pause(duration time.Duration) {
	if !b.up || b.paused {
		return
	}
	b.paused = true
	instance := b.instance
	b.sim.after(duration, func() {
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

// runUnlessPaused runs an event of the current process instance now or, if the process is paused, when it resumes. The event
// is dropped if the process has ended by then.
func (b *simBroker) runUnlessPaused(run func()) {
	instance := b.instance
	runIfAlive := func() {
		if b.up && b.instance == instance {
			run()
		}
	}
	if b.paused {
		b.deferred = append(b.deferred, runIfAlive)
		return
	}
	runIfAlive()
}

// step is one iteration of the driver's loop: it does the work that the follower has ready and schedules the next tick.
func (b *simBroker) step() {
	ready := b.follower.Ready(b.sim.time())
	if ready.Close != 0 && b.stream != nil && b.stream.id == ready.Close {
		b.stream.closeBrokerEnd(true)
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
	nextTickAt := b.follower.NextTick().Sub(epoch)
	if b.tickAt > b.sim.now && b.tickAt <= nextTickAt {
		return
	}
	b.tickAt = max(nextTickAt, b.sim.now)
	at, instance := b.tickAt, b.instance
	b.sim.after(at-b.sim.now, func() {
		if b.instance != instance || b.tickAt != at {
			return
		}
		b.tickAt = 0
		b.runUnlessPaused(func() {
			if !b.sim.time().Before(b.follower.NextTick()) {
				b.follower.Tick(b.sim.time())
			}
			b.step()
		})
	})
}

func (b *simBroker) apply(revision *configpb.Revision) {
	b.sim.after(b.sim.uniform(time.Millisecond, 50*time.Millisecond), func() {
		b.runUnlessPaused(func() {
			number := revision.GetNumber()
			if rejects(b.index, number) {
				b.sim.checks.revisionRejected(b, number)
				b.follower.RevisionRejected(b.sim.time(), number, "settings.port", "needs a restart")
				b.step()
				return
			}
			b.sim.record("applied", b.index, number)
			b.sim.checks.revisionApplied(b, revision)
			b.injectApplyFault(revision)
			b.follower.RevisionApplied(b.sim.time(), number)
			b.step()
		})
	})
}

// rejects reports whether a simulated broker rejects a revision.
func rejects(broker int, number uint64) bool { return number%9 == 4 && broker%4 == 1 }

// injectApplyFault applies revisions incorrectly if one of the faults of a broker's driver is injected.
func (b *simBroker) injectApplyFault(revision *configpb.Revision) {
	number := revision.GetNumber()
	if number%7 != 0 || b.index%5 != 0 {
		return
	}
	switch b.sim.injected {
	case faultRegression:
		b.sim.checks.revisionApplied(b, b.sim.log[number-2])
	case faultDuplicate:
		b.sim.checks.revisionApplied(b, revision)
	case faultTruncation:
		truncated := proto.CloneOf(revision)
		truncated.Document = truncated.Document[:len(truncated.Document)/2]
		truncated.Number++
		b.sim.checks.revisionApplied(b, truncated)
	}
}

func runSimulation(t testing.TB, opt simOptions, scenario func(*simulation)) *simulation {
	s := newSimulation(opt)
	scenario(s)
	s.checks.finish()
	require.NotZero(t, s.events)
	return s
}
