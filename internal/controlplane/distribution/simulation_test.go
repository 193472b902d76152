package distribution_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// The simulation plays brokers and four control machines in virtual time, with streams like TCP's between them: in
// order, held up by a cut until it heals or an end gives up, and blocked when nobody reads.
const (
	regions = 3
	zones   = 10
	hubs    = 4

	streamWindow     = 4 // updates that a hub may have on its way on one stream
	retransmit       = 200 * time.Millisecond
	connectRetry     = time.Second      // between two tries of TCP to connect
	keepaliveGivesUp = 15 * time.Second // a hub ends a stream whose peer it cannot reach for so long
	confirmEvery     = 250 * time.Millisecond
	changesEvery     = 3200 * time.Millisecond // 2,700 a day are one in 32 s; ten times as many are one in 3.2 s
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// regionOfZone: three zones in the first region and the second, four in the third.
func regionOfZone(zone int) int { return min(zone/3, regions-1) }

// zoneOfHub: the voters are hubs 0 to 2, one in each region; the spare stands in the first region.
var zoneOfHub = [hubs]int{0, 3, 6, 1}

type eventAt struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []eventAt

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)   { *q = append(*q, v.(eventAt)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = eventAt{}
	*q = old[:len(old)-1]
	return last
}

// plant is a fault of the system under test, for the checkers to find.
type plant string

const (
	plantNone         plant = ""
	plantGoBack       plant = "a broker applies an earlier revision once more"
	plantTwice        plant = "a broker applies a revision twice"
	plantHalf         plant = "a broker applies half a document"
	plantDeafBroker   plant = "hubs never send revisions to some brokers"
	plantReplay       plant = "a hub that was cut off passes every missed revision on"
	plantStorm        plant = "followers believe that they are alone"
	plantFlapping     plant = "hubs without a quorum end their streams every few seconds"
	plantBoastfulHub  plant = "hubs say that a quorum has just confirmed them"
	plantUnbooked     plant = "some brokers never report what is in force"
	plantSlowBackHome plant = "a hub that was cut off takes the newest revision 12 s late"
)

type simOptions struct {
	seed    uint64
	brokers int
	callers int // as the followers are told
	noise   float64
	plant   plant
}

type simulation struct {
	simOptions
	rng    *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  int
	steps  int
	trace  uint64
	hubs   [hubs]*simHub
	fleet  []*simBroker
	log    []*configpb.Revision // revision n is log[n-1]
	at     []time.Duration      // when each was published
	cut    [regions]bool        // from the other regions
	halves map[[2]int]direction // one-sided cuts of a broker and a hub
	check  *checkers
}

type direction int

const (
	toHub direction = 1 + iota
	toBroker
)

func newSimulation(opt simOptions) *simulation {
	if opt.callers == 0 {
		opt.callers = opt.brokers
	}
	s := &simulation{
		simOptions: opt,
		rng:        rand.New(rand.NewPCG(opt.seed, 0x3c6ef372fe94f82b)),
		halves:     map[[2]int]direction{},
	}
	s.check = newCheckers(s)
	for i := range s.hubs {
		s.hubs[i] = &simHub{sim: s, index: i, zone: zoneOfHub[i]}
		s.hubs[i].start()
	}
	for i := range opt.brokers {
		b := &simBroker{sim: s, index: i, zone: i % zones}
		s.fleet = append(s.fleet, b)
		b.start()
	}
	s.check.faultsChanged()
	s.confirm()
	return s
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(wait time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, eventAt{s.now + max(wait, 0), s.order, run})
}

func (s *simulation) runTo(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(eventAt)
		s.now = e.at
		s.steps++
		e.run()
	}
	s.now = end
}

// note mixes what happened into the trace, by which two runs are compared.
func (s *simulation) note(what string, numbers ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, s.trace, s.now, what, numbers)
	s.trace = h.Sum64()
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

// joined tells whether two zones' regions have a path.
func (s *simulation) joined(a, b int) bool {
	ra, rb := regionOfZone(a), regionOfZone(b)
	return ra == rb || !s.cut[ra] && !s.cut[rb]
}

// open tells whether a message gets from a broker to a hub, or back.
func (s *simulation) open(b *simBroker, h *simHub, way direction) bool {
	return s.joined(b.zone, h.zone) && s.halves[[2]int{b.index, h.index}] != way
}

func (s *simulation) latency(a, b int) time.Duration {
	if regionOfZone(a) == regionOfZone(b) {
		return s.between(500*time.Microsecond, 3*time.Millisecond)
	}
	return s.between(20*time.Millisecond, 60*time.Millisecond)
}

// quorum tells whether a hub reaches two of the three voters.
func (s *simulation) quorum(h *simHub) bool {
	if !h.up {
		return false
	}
	reached := 0
	for _, voter := range s.hubs[:3] {
		if voter.up && s.joined(h.zone, voter.zone) {
			reached++
		}
	}
	return reached >= 2
}

// publish commits a revision, if there is a quorum.
func (s *simulation) publish() {
	ok := false
	for _, h := range s.hubs {
		ok = ok || s.quorum(h)
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
	s.at = append(s.at, s.now)
	s.check.published(number)
	for _, h := range s.hubs {
		if s.quorum(h) {
			s.after(s.latency(h.zone, zoneOfHub[0]), h.catchUp)
		}
	}
}

// publishEvery publishes at fixed intervals until a time.
func (s *simulation) publishEvery(every, end time.Duration) {
	s.after(every, func() {
		if s.now < end {
			s.publish()
			s.publishEvery(every, end)
		}
	})
}

// confirm has hubs with a quorum read the log's newest revision, as a leader confirms a read.
func (s *simulation) confirm() {
	for _, h := range s.hubs {
		if s.quorum(h) {
			h.catchUp()
			h.hub.SetConfirmed(s.time())
		} else if h.up && s.plant == plantBoastfulHub {
			h.hub.SetConfirmed(s.time())
		}
	}
	s.after(confirmEvery, s.confirm)
}

// simHub is a control machine.
type simHub struct {
	sim     *simulation
	index   int
	zone    int
	hub     *distribution.Hub
	up      bool
	lost    bool // the machine is: nobody answers
	streams []*simStream
	calls   []time.Duration // when brokers called
	newest  uint64
	behind  time.Duration // since when it has missed many revisions, and could have them; 0: it has not
}

func (h *simHub) start() {
	h.up, h.lost = true, false
	h.hub = distribution.NewHub()
	h.streams, h.newest = nil, 0
	h.sim.note("hub starts", h.index)
}

// stop ends the process. Peers hear of it unless the whole machine is lost.
func (h *simHub) stop(machineLost bool) {
	h.up, h.lost = false, machineLost
	h.sim.note("hub stops", h.index)
	for _, st := range h.streams {
		st.hubEnded(!machineLost)
	}
	h.streams = nil
}

// catchUp takes the log's newest revision, which the state machine has applied.
func (h *simHub) catchUp() {
	if !h.up || !h.sim.quorum(h) || len(h.sim.log) == 0 {
		return
	}
	if h.sim.plant == plantReplay && h.replay() {
		return
	}
	if h.sim.plant == plantSlowBackHome && h.slow() {
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

// replay is the planted fault of plantReplay: where many revisions were missed, each is passed on.
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

// slow is the planted fault of plantSlowBackHome, and tells whether the hub is late now.
func (h *simHub) slow() bool {
	if uint64(len(h.sim.log)) < h.newest+10 {
		h.behind = 0
		return false
	}
	if h.behind == 0 {
		h.behind = h.sim.now
	}
	return h.sim.now-h.behind < 12*time.Second
}

// accept takes a call of a broker.
func (h *simHub) accept(st *simStream) {
	h.calls = append(h.calls, h.sim.now)
	id, err := h.hub.OpenSession(h.sim.time())
	if err != nil {
		st.endToBroker()
		return
	}
	st.session = id
	h.streams = append(h.streams, st)
	st.pump()
}

// simBroker is a broker.
type simBroker struct {
	sim      *simulation
	index    int
	zone     int
	follower *distribution.Follower
	instance int
	up       bool
	paused   bool
	stream   *simStream
	tickAt   time.Duration // of the event that is planned; 0: none
	held     []func()      // what happened while it was paused
	opened   int
}

func (b *simBroker) name() string { return fmt.Sprintf("broker-%04d", b.index) }

func (b *simBroker) start() {
	b.instance++
	b.up, b.paused, b.held, b.stream, b.tickAt = true, false, nil, nil, 0
	var control []distribution.Machine
	for _, h := range b.sim.hubs {
		control = append(control, distribution.Machine{
			Address: fmt.Sprint(h.index),
			Zone:    fmt.Sprint("z", h.zone),
			Region:  fmt.Sprint("r", regionOfZone(h.zone)),
		})
	}
	callers := b.sim.callers
	if b.sim.plant == plantStorm {
		callers = 1
	}
	follower, err := distribution.NewFollower(b.sim.time(), distribution.FollowerOptions{
		Name:      b.name(),
		StartedAt: b.sim.time(),
		Zone:      fmt.Sprint("z", b.zone),
		Region:    fmt.Sprint("r", regionOfZone(b.zone)),
		Machines:  control,
		FleetSize: callers,
		Seed:      b.sim.seed<<32 + uint64(b.index)<<12 + uint64(b.instance),
	})
	if err != nil {
		panic(err)
	}
	b.follower = follower
	b.sim.check.started(b)
	b.drive()
}

// stop ends the process, and hubs hear of it unless the whole machine is lost.
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
		held := b.held
		b.held = nil
		b.sim.check.faultsChanged()
		for _, run := range held {
			run()
		}
		b.drive()
	})
}

// whenAwake runs something in the process that is up now, unless it ends before.
func (b *simBroker) whenAwake(run func()) {
	instance := b.instance
	do := func() {
		if b.up && b.instance == instance {
			run()
		}
	}
	if b.paused {
		b.held = append(b.held, do)
		return
	}
	do()
}

// drive is the driver's loop: it does what the follower has ready, and plans the next look at the time.
func (b *simBroker) drive() {
	ready := b.follower.Ready(b.sim.time())
	if ready.Close != 0 && b.stream != nil && b.stream.id == ready.Close {
		b.stream.brokerEnded(true)
		b.stream = nil
	}
	if ready.Open != nil {
		b.opened++
		b.stream = newStream(b, *ready.Open)
		b.stream.connect()
	}
	if ready.Report != nil && b.stream != nil {
		b.stream.report(ready.Report)
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
			b.drive()
		})
	})
}

func (b *simBroker) apply(revision *configpb.Revision) {
	b.sim.after(b.sim.between(time.Millisecond, 50*time.Millisecond), func() {
		b.whenAwake(func() {
			number := revision.GetNumber()
			if refuses(b.index, number) {
				b.sim.check.refused(b, number)
				b.follower.RevisionRejected(b.sim.time(), number, "settings.port", "needs a restart")
				b.drive()
				return
			}
			b.sim.note("applied", b.index, number)
			b.sim.check.applied(b, revision)
			b.plantedApply(revision)
			b.follower.RevisionApplied(b.sim.time(), number)
			b.drive()
		})
	})
}

// refuses tells whether a broker refuses a revision.
func refuses(broker int, number uint64) bool { return number%9 == 4 && broker%4 == 1 }

// plantedApply plays the planted faults of a broker's driver.
func (b *simBroker) plantedApply(revision *configpb.Revision) {
	number := revision.GetNumber()
	if number%7 != 0 || b.index%5 != 0 {
		return
	}
	switch b.sim.plant {
	case plantGoBack:
		b.sim.check.applied(b, b.sim.log[number-2])
	case plantTwice:
		b.sim.check.applied(b, revision)
	case plantHalf:
		half := proto.CloneOf(revision)
		half.Document = half.Document[:len(half.Document)/2]
		half.Number++
		b.sim.check.applied(b, half)
	}
}

func runSimulation(t testing.TB, opt simOptions, play func(*simulation)) *simulation {
	s := newSimulation(opt)
	play(s)
	s.check.finish()
	require.NotZero(t, s.steps)
	return s
}
