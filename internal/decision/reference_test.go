package decision

// refPolicy is the module as it was when each batch walked all servers: the plain form of what the module now keeps
// up to date. The differential tests hold every action of the two equal. Constants are the module's own. Whoever
// changes a decision on purpose changes it here too.

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"mothrouter/internal/collections/recent"
)

// Constants of estimates that have left the module, as they were.
const (
	disconnectThreshold = 0.1
	missedWaitRatio     = 0.95
	sumSlack            = 1e-6
	memoryLeast         = 1.0
	memoryMost          = 15.0
	newsMost            = 0.9
	newsSpan            = 2.0
	paceFades           = 10.0
	paceSpan            = 2.0
	rateSpan            = 5.0
	peakSpan            = 60.0
	aggression          = 1.02
	disconnectWeight    = 0.05
	failureHalfLife     = 5.0
	failureWeight       = 0.25
	minFitness          = 0.01
	minQueueCeiling     = 8.0
	negligibleRatio     = 1e-33
	queueCeilingRatio   = 10.0
	zoneWeight          = 0.05
	abandonedLifetime   = 3.0
	minFanoutForCanary  = 32
	coldMargin          = 0.8
)

// refServer is what this broker knows of one server.
type refServer struct {
	Server
	load            LoadReport
	heardAt         float64 // when load came; 0: never
	answeredAt      float64 // its latest success
	passed          float64 // when the latest part was sent that it answered
	busySince       float64 // when the first part was sent after its latest success
	ghosts          []refGhost
	badShare, badAt float64 // share of failed attempts and when it was so
	fitness         float64 // 0: unreported at the last rebuild
	cut             float64 // 1: its latest outcome was a refused or broken connection
	newsAt          float64 // its latest outcome, or when it was probed to learn whether it is well
	own             int     // this broker's attempts out there
	pace, paceAt    float64 // latency over crowd of its latest parts, and when it was so

	sends           []float64       // times of sends within FallTime, for the cold cap
	coldSince       float64         // start of the warm-up; -Inf: warm
	luck, luckUntil float64         // how the present window's room is rounded
	allowance       *SlowStartLease // of a budget shared with other brokers; nil: there is none

	turn int     // the draw's turn that key belongs to
	key  float64 // exponential variate / weight in that turn
}

type refMark struct{ share, at float64 }

type refAttempt struct {
	srv          *refServer
	sentAt       float64
	live, mayRun bool
	dropped      bool    // its Cancel is on the way
	crowd        float64 // this broker's parts at the server then, this one included
}

type refPart struct {
	Part
	q        *refQuery
	attempts []refAttempt
	live     int
	in       bool // its answer has come
	over     bool // its step or query has ended
	dropped  bool // cannot be sent again
}

type refQuery struct {
	Query
	class       *Class
	parts       []*refPart // of the present step
	step        int
	whole       bool // the first step's answer was whole
	arrived     float64
	aim, end    float64 // when its full worth ends, and when all its worth, or the client's patience
	ended, sent bool
	spread      bool   // the parts that went ahead have come back soon enough
	late        bool   // its aim has passed since its client's first try
	resets      int    // attempts whose server broke off
	print       uint64 // hash of its class, shards and weights: a client's repeat has the same
}

// refPolicy decides for one broker. It is not safe for concurrent use.
type refPolicy struct {
	set     Settings
	rng     *rand.Rand
	now     float64
	out     []Action
	servers []*refServer
	byID    map[string]*refServer // looked up, never iterated
	byCell  [][]*refServer
	zones   []refMark               // failed attempts by zone
	cut     float64                 // averaged share of attempts cut off: refused connections and resets
	parts   map[RequestID]*refPart  // looked up, never iterated
	queries map[int64]*refQuery     // looked up, never iterated
	byQuery map[RequestID]*refQuery // looked up, never iterated
	open    []*refQuery

	probeAt, rebuildAt float64 // next round of probes, next rebuild
	watchAt            float64 // when to ask for the list again; +Inf: subscribed or not needed
	watchFails, turn   int
	breakers           map[uint64]float64 // by print, queries that broke their servers: until when
	wake, armed        float64            // earliest wish of this batch, earliest timer out

	latency                []recent.Ring // latest latencies by class
	waryUntil              []float64     // by class: until then one part of a query goes ahead of the others
	waits                  []float64     // by class: the longest that a client waits for one try
	leftAges               recent.Ring   // ages of the latest queries whose clients left
	leaving                float64       // averaged share of queries whose clients leave
	taken, extra           []float64     // times of parts taken and of further attempts, for the budget
	rate, sure, rateAt     float64       // decayed counts of parts answered, and those by warm servers; when
	meanFitness            float64       // what an unreported server counts as
	fleetBad               float64       // the fleet's median share of failed attempts
	warm                   float64       // warm servers, at least a third of all
	memory                 float64       // seconds in which a server's own pace is half forgotten
	worthAsked, partsAsked float64       // of all queries so far, and the parts that they needed
	pace                   float64       // averaged latency of a part over the crowd it met
	drawn, chances         float64       // windows of cold servers: those with a part for one, and all
	peak                   float64       // slowly decaying peak of parts answered a second by a warm server
}

// newReference returns the decisions of one broker. Equal settings, seeds and events give equal actions.
func newReference(s Settings, seed uint64) *refPolicy {
	n, p := len(s.Classes), &refPolicy{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		armed: math.Inf(1), meanFitness: 1, byID: map[string]*refServer{}, breakers: map[uint64]float64{},
		parts: map[RequestID]*refPart{}, queries: map[int64]*refQuery{}, byQuery: map[RequestID]*refQuery{}}
	p.latency, p.waryUntil, p.waits = make([]recent.Ring, n), make([]float64, n), make([]float64, n)
	if !s.PollEndpoints {
		p.watchAt = math.Inf(1)
	}
	if !s.RetryAfterSupported {
		p.set.MaxRetryAfter = 0 // clients would not hear it
	}
	return p
}

// Handle takes the events of one moment in their order and returns what to do, in order.
func (p *refPolicy) Handle(now float64, events []Event) []Action {
	p.now, p.out, p.wake = now, nil, math.Inf(1)
	p.survey()
	for _, e := range events {
		switch e := e.(type) {
		case EndpointUpdate:
			p.onList(e)
		case Query:
			p.onQuery(e)
		case Part:
			p.onPart(e)
		case AttemptFinished:
			p.onEnded(e)
		case ClientDisconnected:
			if q := p.byQuery[e.ID]; q != nil {
				p.leftAges.Add(now - q.arrived)
				p.leaving += disconnectWeight * (1 - p.leaving)
				p.finish(q, nil)
			}
		case HealthChecked:
			p.onProbed(e)
		case PeerObservation:
			p.onHeard(e)
		case RestoredState:
			p.pace, p.peak = cmp.Or(p.pace, e.ServiceTime), math.Max(p.peak, e.PeakThroughput)
		case FleetResized:
			p.set.Brokers = e.Brokers
		case SlowStartLease:
			if s := p.byID[e.Server]; s != nil {
				s.allowance, s.sends = &e, nil
			}
		case TimerFired:
			if p.armed <= now+edgeSlack {
				p.armed = math.Inf(1)
			}
		}
	}
	p.upkeep()
	for _, q := range p.open {
		p.advance(q)
	}
	p.open = slices.DeleteFunc(p.open, func(q *refQuery) bool { return q.ended })
	if p.wake < p.armed {
		p.armed = p.wake
		p.out = append(p.out, SetTimer{Token: 1, At: math.Max(p.wake, now)})
	}
	return p.out
}

func (p *refPolicy) do(a Action)      { p.out = append(p.out, a) }
func (p *refPolicy) wakeAt(t float64) { p.wake = math.Min(p.wake, t) }
func (s *refServer) ready() bool      { return s.State == Ready }
func (p *refPolicy) lead() float64    { return respondLeadTicks * math.Max(p.set.Tick, 0.005) }

// ---- the server list ----

func (p *refPolicy) onList(l EndpointUpdate) {
	if l.Mode == FailedUpdate {
		// Ask again soon, then less often: a directory that is down is not helped by more calls.
		p.watchFails++
		if p.set.PollEndpoints {
			p.watchAt = p.now + math.Min(0.5*math.Pow(2, float64(min(p.watchFails, 5))), p.set.PollInterval/3)
		}
		return
	}
	if l.Mode != CachedUpdate {
		p.watchFails, p.watchAt = 0, math.Inf(1)
	}
	if l.Mode != DeltaUpdate {
		for _, s := range p.servers {
			s.State = Removed
		}
	}
	for _, e := range l.Servers {
		e.Zone = max(e.Zone, 0) // an odd zone is no index
		p.zones = append(p.zones, make([]refMark, max(e.Zone+1-len(p.zones), 0))...)
		s := p.byID[e.ID]
		if s == nil {
			s = &refServer{load: NoLoadReport, coldSince: math.Inf(-1)}
			p.byID[e.ID] = s
			p.servers = append(p.servers, s)
		}
		if e.Started > 0 && e.Started != s.Started {
			// A new process: what was known of the old one is void.
			s.coldSince, s.load, s.heardAt, s.fitness, s.badShare, s.ghosts = e.Started, NoLoadReport, 0, 0, 0, nil
		}
		s.Server = e
	}
	p.byCell = make([][]*refServer, max(p.set.ReplicaSets, 1))
	// Servers that are gone are forgotten once nothing is out there: they would count as a fleet down.
	p.servers = slices.DeleteFunc(p.servers, func(s *refServer) bool {
		if s.State != Removed && s.ReplicaSet >= 0 && s.ReplicaSet < len(p.byCell) {
			p.byCell[s.ReplicaSet] = append(p.byCell[s.ReplicaSet], s)
		}
		if s.State == Removed && s.own == 0 {
			delete(p.byID, s.ID)
		}
		return s.State == Removed && s.own == 0
	})
}

// holders lists the servers that hold a shard, in the order of the list.
func (p *refPolicy) holders(shard int, visit func(*refServer)) {
	n := len(p.byCell)
	for j := 0; n > 0 && j < min(max(p.set.ReplicationFactor, 1), n); j++ {
		for _, s := range p.byCell[(shard+j)%n] {
			visit(s)
		}
	}
}

// ---- fitness ----

func (p *refPolicy) onProbed(e HealthChecked) {
	if s := p.byID[e.Server]; s != nil {
		if e.Status != OK || s.cut > 0 { // an answered probe says nothing of errors and full queues
			p.mark(s, e.Status)
		}
		p.hear(s, e.LoadReport, p.now)
	}
}

// onHeard takes hearsay, unless this broker's own news is as new.
func (p *refPolicy) onHeard(e PeerObservation) {
	s := p.byID[e.Server]
	if s == nil || e.At < s.Started {
		return
	}
	if e.Weight > 0 && e.At > s.badAt {
		s.badShare, s.badAt = p.bad(s)+e.Weight*(e.FailureRatio-p.bad(s)), e.At
	}
	if e.ServiceTime > 0 && e.At > s.paceAt {
		s.pace, s.paceAt = e.ServiceTime, e.At
	}
	p.hear(s, e.LoadReport, cmp.Or(e.LoadReportedAt, e.At))
}

// inquire probes, while attempts are often cut off, the server of which news is oldest, one a part at most.
func (p *refPolicy) inquire() {
	if !p.set.HealthChecksAllowed || p.cut < healthCheckThreshold {
		return
	}
	var oldest *refServer
	for _, s := range p.servers {
		if s.ready() && s.own == 0 && (oldest == nil || s.newsAt < oldest.newsAt) {
			oldest = s
		}
	}
	if oldest != nil {
		oldest.newsAt = p.now
		p.do(CheckHealth{oldest.ID})
	}
}

// mark counts an outcome for or against a server, its zone and the links of this broker.
func (p *refPolicy) mark(s *refServer, status Status) {
	failed, cut := 1.0, 0.0
	switch status {
	case TimedOut, Cancelled, NotSent:
		return
	case OK:
		failed = 0
	case Reset, Unreachable:
		cut = 1
	}
	z := &p.zones[s.Zone]
	s.badShare = p.bad(s) + math.Max(failureWeight, p.newsStep(s.badAt))*(failed-p.bad(s))
	z.share = zoneWeight*failed + (1-zoneWeight)*z.share*math.Exp2(-(p.now-z.at)/failureHalfLife)
	p.cut += zoneWeight * (cut - p.cut)
	s.cut, s.badAt, s.newsAt, z.at = cut, p.now, p.now, p.now
}

func (p *refPolicy) hear(s *refServer, l LoadReport, at float64) {
	if l != NoLoadReport && at >= s.heardAt {
		s.load, s.heardAt = l, at
	}
}

func (p *refPolicy) upkeep() {
	if p.now >= p.watchAt {
		p.do(WatchEndpoints{On: true})
		p.watchAt = p.now + math.Max(p.set.PollInterval/2, 1) // in case no reply comes at all
	}
	if p.now >= p.probeAt {
		p.probeAt, p.rebuildAt = p.now+fitnessInterval, p.now
		if p.set.ReportMode == ReportPull && p.set.HealthChecksAllowed {
			p.rebuildAt = p.now + healthCheckTimeout
			for _, s := range p.servers {
				if s.ready() {
					p.do(CheckHealth{s.ID})
				}
			}
		}
	}
	if p.now >= p.rebuildAt {
		p.rebuild()
		p.rebuildAt = math.Inf(1)
	}
	p.wakeAt(min(p.watchAt, p.probeAt, p.rebuildAt))
}

// queueOf is the reported queue or parts in flight, else this broker's own parts in flight.
func (s *refServer) queueOf() float64 {
	if s.load.QueueLength >= 0 {
		return s.load.QueueLength
	} else if s.load.InFlight >= 0 {
		return s.load.InFlight
	}
	return float64(s.own)
}

func (p *refPolicy) rebuild() {
	sum, n, total := 0.0, 0.0, 0.0
	for _, s := range p.servers {
		if s.ready() && s.heardAt > 0 {
			sum, n = sum+s.queueOf(), n+1
		}
	}
	ceiling := math.Max(minQueueCeiling, queueCeilingRatio*sum/math.Max(n, 1))
	for _, s := range p.servers {
		if s.heardAt > 0 {
			queue := math.Max(0, 1-s.queueOf()/ceiling)
			s.fitness = math.Max(queue*math.Pow(aggression, -100*math.Max(s.load.Utilization, 0)), minFitness)
			if s.ready() {
				total += s.fitness
			}
		}
	}
	if n > 0 {
		p.meanFitness = total / n
	}
}

// ---- the draw ----

func (p *refPolicy) weight(s *refServer) float64 {
	fitness := cmp.Or(s.fitness, p.meanFitness) // an unreported server counts as average
	return fitness * p.nearness(s) * p.warmth(s) * s.leisure(p.now) * p.trust(s, 0) * p.pulse(s) * p.speed(s)
}

// leisure falls with this broker's own parts in flight. What others pile up there is for speed to see.
func (s *refServer) leisure(now float64) float64 {
	return math.Pow(1+float64(s.depth(now)), -concurrencyExponent)
}

// speed falls with how much longer than the fleet's a server's latest parts took, while that is remembered.
func (p *refPolicy) speed(s *refServer) float64 {
	return math.Pow(math.Max(p.paceOf(s)/math.Max(p.pace, 1e-6), minSpeedRatio), -speedExponent)
}

// paceOf is a server's own pace as far as it is remembered, else the fleet's.
func (p *refPolicy) paceOf(s *refServer) float64 {
	return p.pace + (s.pace-p.pace)*math.Exp2(-(p.now-s.paceAt)/p.memory)
}

// newsStep is the weight of one more outcome at a server: the rarer they are, the more each tells.
func (p *refPolicy) newsStep(last float64) float64 {
	return math.Min(newsMost, 1-math.Exp2(-(p.now-last)/newsSpan))
}

// nearness is less than 1 for servers of other zones where crossing has a price.
func (p *refPolicy) nearness(s *refServer) float64 {
	if s.Zone == p.set.Zone || p.set.CrossZoneCost <= 0 {
		return 1
	}
	return remoteFactor
}

// trust falls with the share of attempts that lately failed there: a server that fails fast shows a short
// queue. The draw compares plain shares: a median is itself bad where half of the servers fail. Elsewhere
// what exceeds the usual counts. It could harm if one class alone fails.
func (p *refPolicy) trust(s *refServer, usual float64) float64 {
	excess := p.bad(s) - usual
	return math.Max(math.Pow(1-math.Max(excess, 0), failureExponent), minHealthWeight)
}

// bad is the decayed share of failed attempts at a server. It fades towards its zone's: servers that fail
// together mostly stand together. Cut-off links fade as slowly as paces.
func (p *refPolicy) bad(s *refServer) float64 {
	zone := 0.0
	if z := p.zones[s.Zone]; len(p.zones) > 1 { // but one tells nothing of this server
		zone = z.share * math.Exp2(-(p.now-z.at)/failureHalfLife)
	}
	if s.badShare == zone {
		return zone // mostly so; with hundreds of servers the power costs much
	}
	return zone + (s.badShare-zone)*math.Exp2(-(p.now-s.badAt)/math.Max(failureHalfLife, s.cut*p.memory))
}

// survey takes what all servers are compared with, once a batch.
func (p *refPolicy) survey() {
	var bad []float64
	warm := 0
	for _, s := range p.servers {
		if s.ready() {
			bad = append(bad, p.bad(s))
			warm += int(p.warmth(s)) // which is 1 from then on
		}
	}
	if len(bad) > 0 {
		slices.Sort(bad)
		p.fleetBad = bad[(len(bad)-1)/2]
	}
	dt := p.now - p.rateAt
	p.rateAt, p.warm = p.now, float64(max(warm, len(p.servers)/3, 1))
	fade, cold := math.Exp(-dt/rateSpan), float64(len(bad)-warm)
	p.rate, p.sure, p.drawn = p.rate*fade, p.sure*fade, p.drawn*fade
	p.chances = p.chances*fade + cold*dt/math.Max(p.set.SlowStart.OverloadWindow, 1)
	sure := math.Max(p.sure-math.Sqrt(p.sure), 0) // less its deviation: the highest of few are chance
	p.peak = math.Max(p.peak*math.Exp(-dt/peakSpan), sure/rateSpan/p.warm)
	p.pace *= math.Exp2(-dt / paceFades)
	p.memory = math.Min(memoryLeast+p.warm*rateSpan/math.Max(p.rate, 0.1), memoryMost)
}

// pulse falls while a server that owes answers is silent for longer than usual: it may hang.
func (p *refPolicy) pulse(s *refServer) float64 {
	if s.own == 0 || p.pace == 0 || s.busySince < s.answeredAt {
		return 1
	}
	silence := (p.now - s.busySince) / math.Max(stallPatience*p.pace, minStall)
	return math.Min(1, math.Pow(math.Max(silence, 1), -concurrencyExponent))
}

// warmth is the share of its capacity that a server surely has: less than 1 while it warms up.
func (p *refPolicy) warmth(s *refServer) float64 {
	age := p.now - s.coldSince
	if p.set.SlowStart.Duration <= 0 || age >= p.set.SlowStart.Duration {
		return 1
	}
	return p.set.SlowStart.InitialFraction + (1-p.set.SlowStart.InitialFraction)*math.Max(age, 0)/p.set.SlowStart.Duration
}

// admitsCold tells whether a cold server may get one more part. What warm ones answer bounds what they bear
// from below, and each broker keeps to its own share of that.
func (p *refPolicy) admitsCold(s *refServer) bool {
	w := p.warmth(s)
	if w >= 1 || p.set.SlowStart.OverloadWindow <= 0 {
		return true
	} else if s.allowance != nil {
		return len(s.sends) < s.allowance.Parts && p.now <= s.allowance.ExpiresAt
	}
	s.sends = slices.DeleteFunc(s.sends, func(t float64) bool { return t < p.now-p.set.SlowStart.OverloadWindow })
	// Chance rounds this broker's share, anew in each window: up always would add up over the brokers.
	if p.now >= s.luckUntil {
		s.luck, s.luckUntil, p.drawn = p.rng.Float64(), p.now+p.set.SlowStart.OverloadWindow, p.drawn+1
	}
	room := coldMargin * p.set.SlowStart.OverloadFactor * w * p.set.SlowStart.OverloadWindow * p.peak
	room = math.Max(room, 1/float64(max(p.set.Brokers, 1))) // a broker that has seen no answer yet may try
	// A broker that rarely has a part for a server leaves most windows unused, and takes more of the others.
	room /= math.Min(1, (p.drawn+2)/(p.chances+1))
	return float64(max(len(s.sends), s.own)+1) <= room+s.luck
}

// draw picks a replica for a part, or nil. All draws of one turn share one variate a server, and so meet.
func (p *refPolicy) draw(pt *refPart) *refServer {
	var best *refServer
	for _, again := range []bool{false, true} {
		p.holders(pt.Shard, func(s *refServer) {
			tried, just := pt.tried(s, p.now)
			if !s.ready() || just || tried && !again || !p.admitsCold(s) {
				return
			}
			if s.turn != p.turn {
				s.turn, s.key = p.turn, p.rng.ExpFloat64()/p.weight(s)
			}
			if best == nil || s.key < best.key {
				best = s
			}
		})
		if best != nil || len(pt.attempts) == 0 {
			break
		}
	}
	return best
}

// tried tells of a part's attempts at a server, and whether one is out or just was: it may refuse at once.
func (pt *refPart) tried(s *refServer, now float64) (tried, just bool) {
	for _, a := range pt.attempts {
		tried = tried || a.srv == s
		just = just || a.srv == s && (a.live || now < a.sentAt+slowStartPoll)
	}
	return
}

// ---- queries ----

func (p *refPolicy) onQuery(e Query) {
	p.taken = append(p.forget(p.taken, edgeSlack), p.now)
	if e.Class < 0 || e.Class >= len(p.set.Classes) {
		p.do(Reject{ID: e.ID})
		return
	}
	c := &p.set.Classes[e.Class]
	q := &refQuery{Query: e, class: c, step: 1, arrived: cmp.Or(e.ReceivedAt, p.now), print: uint64(e.Class + 1)}
	lead := p.lead() + p.now - q.arrived // the way out takes as long as the way in: this broker's own work
	q.aim = math.Min(q.arrived+c.LatencyObjective+c.ObjectivePerWork*e.Work, e.Deadline) - lead
	if q.end = q.aim; c.LateValue > 0 {
		q.end = e.Deadline - lead
	}
	// While many clients leave long before their stated deadline, aim at the time that most of them wait.
	patience, usual := p.leftAges.Quantile(0.25), p.latency[e.Class].Quantile(0.95)
	if p.leaving > disconnectThreshold && patience > usual {
		q.aim = math.Min(q.aim, q.arrived+patience-lead)
	}
	// A client that waits for less than others has asked before: what is left is of the time for all tries.
	wait := math.Min(e.Deadline-p.now, c.Deadline)
	p.waits[e.Class] = math.Max(p.waits[e.Class], wait)
	q.late = wait < missedWaitRatio*p.waits[e.Class] && c.Deadline-wait > c.LatencyObjective
	p.queries[e.Number], p.byQuery[e.ID] = q, q
	p.open = append(p.open, q)
}

func (p *refPolicy) onPart(e Part) {
	p.taken = append(p.forget(p.taken, edgeSlack), p.now)
	if q := p.queries[e.QueryNumber]; q != nil && !q.ended {
		pt := &refPart{Part: e, q: q}
		q.parts = append(q.parts, pt)
		q.print = (q.print^uint64(e.Shard+1))*fingerprintPrime ^ math.Float64bits(e.Weight)
		p.parts[e.ID] = pt
		p.inquire()
	}
}

func (p *refPolicy) onEnded(e AttemptFinished) {
	pt := p.parts[e.ID]
	if pt == nil || e.Attempt < 0 || e.Attempt >= len(pt.attempts) || !pt.attempts[e.Attempt].live {
		return
	}
	a := &pt.attempts[e.Attempt]
	a.live, a.mayRun = false, e.Status != Overloaded && e.Status != Unreachable && e.Status != NotSent
	pt.live--
	p.hear(a.srv, e.LoadReport, p.now)
	p.judge(a, pt, e)
	a.srv.own--
	switch {
	case pt.over && pt.live == 0:
		delete(p.parts, e.ID)
	case pt.over:
	case e.Status == OK:
		pt.in = true
		p.cancelLive(pt)
	default:
		pt.dropped = e.PartConcluded
		if e.Status == Reset {
			pt.q.resets++
		}
	}
}

// known tells that a query like this one has broken its servers lately.
func (p *refPolicy) known(q *refQuery) bool {
	maps.DeleteFunc(p.breakers, func(_ uint64, until float64) bool { return p.now > until })
	return p.breakers[q.print] > 0
}

func (p *refPolicy) judge(a *refAttempt, pt *refPart, e AttemptFinished) {
	s := a.srv
	p.mark(s, e.Status)
	if e.Status == TimedOut || e.Status == Cancelled {
		s.ghosts = append(s.ghosts, refGhost{a.sentAt, p.now + abandonedLifetime})
	}
	// A full queue counts as a whole aim. Only sound servers tell how fast the fleet is, not a few that hang.
	took, own := e.Latency/a.crowd, p.paceOf(s)
	if e.Status == OK || e.Status == TimedOut || e.Status == Cancelled && took > own {
		s.pace, s.paceAt = own+p.newsStep(s.paceAt)*(took-own), p.now
	}
	if e.Status == Overloaded {
		took = pt.q.class.LatencyObjective
	}
	if e.Status == OK || e.Status == TimedOut || e.Status == Overloaded {
		p.pace += p.sound(s) * (took - p.pace) / (1 + paceSpan*p.rate/rateSpan)
	}
	if e.Status != OK {
		return
	}
	s.answeredAt, s.passed = p.now, math.Max(s.passed, a.sentAt)
	s.ghosts = slices.DeleteFunc(s.ghosts, func(g refGhost) bool { return g.sentAt <= a.sentAt })
	p.latency[pt.q.Class].Add(e.Latency)
	p.rate++
	p.sure += math.Floor(p.warmth(s)) // what many cold ones answer would pass for what few warm ones bear
}

func (p *refPolicy) cancelLive(pt *refPart) {
	for i := range pt.attempts {
		if a := &pt.attempts[i]; a.live && !a.dropped && p.set.CancelAllowed {
			a.dropped = true
			p.do(Cancel{ID: pt.ID, Attempt: i})
		}
	}
}

// finish ends a query: cancels what is out, gives the final answer if there is one to give, forgets.
func (p *refPolicy) finish(q *refQuery, final Action) {
	q.ended = true
	p.release(q)
	if final != nil {
		p.do(final)
		p.leaving -= disconnectWeight * p.leaving
	}
	delete(p.queries, q.Number)
	delete(p.byQuery, q.ID)
}

func (p *refPolicy) release(q *refQuery) {
	for _, pt := range q.parts {
		pt.over = true
		p.cancelLive(pt)
		if pt.live == 0 {
			delete(p.parts, pt.ID)
		}
	}
}

// giveUp ends a query that will not be answered, at once. It refuses only where a repeat is harmless.
func (p *refPolicy) giveUp(q *refQuery) {
	mayRun := q.step == 2 // its first step has run
	for _, pt := range q.parts {
		mayRun = mayRun || slices.ContainsFunc(pt.attempts, func(a refAttempt) bool { return a.mayRun })
	}
	if mayRun && q.class.Idempotency != Idempotent {
		p.finish(q, Fail{ID: q.ID})
	} else {
		p.finish(q, Reject{ID: q.ID, RetryAfter: p.set.MaxRetryAfter})
	}
}

// advance does what a query needs now: answer, give up, send, send again.
func (p *refPolicy) advance(q *refQuery) {
	if q.ended || len(q.parts) == 0 && q.step == 2 && p.now < q.end {
		p.wakeAt(q.end)
		return
	}
	c := q.class
	in, out, missing, live := 0.0, 0.0, 0, 0
	for _, pt := range q.parts {
		live += pt.live
		if pt.in {
			in += pt.Weight
			continue
		}
		missing++
		if !pt.dropped && (pt.live > 0 || p.maySend(pt)) {
			out += pt.Weight
		}
	}
	whole := in >= c.CompletenessThreshold-sumSlack && q.step == 1 || missing == 0 && q.step == 2
	enough := in >= c.MinCompleteness-sumSlack && c.MinCompleteness < c.CompletenessThreshold || whole
	hopeless := in+out < c.CompletenessThreshold-sumSlack && q.step == 1 || missing > 0 && in+out < 1-sumSlack && q.step == 2
	switch late := p.now >= q.end || p.now >= q.aim && enough; {
	case whole || enough && (hopeless || late):
		if q.step == 1 && c.SecondPhaseFanout > 0 && in > 0 {
			p.release(q)
			p.do(Respond{ID: q.ID, Complete: whole})
			q.whole, q.step, q.parts = whole, 2, nil
			p.wakeAt(q.end)
			return
		}
		p.finish(q, Respond{ID: q.ID, Complete: whole && (q.step == 1 || q.whole)})
	case late || hopeless && in+out < c.MinCompleteness-sumSlack || hopeless && c.MinCompleteness >= c.CompletenessThreshold:
		p.giveUp(q)
	// All its attempts ended, more of them broken off than by chance: it brings down its servers.
	case q.resets > 1 && in+float64(live) == 0 && q.step == 1 &&
		math.Pow(p.cut, float64(q.resets)) < poisonProbability:
		p.waryUntil[q.Class] = p.now + quarantineDuration
		p.breakers[q.print] = q.arrived + c.Deadline
		p.giveUp(q)
	case !q.sent && (p.known(q) || p.doomed(q)):
		p.giveUp(q)
	default:
		q.sent = true
		p.sendParts(q, in)
		p.wakeAt(q.end)
		if p.now < q.aim {
			p.wakeAt(q.aim)
		}
	}
}

// wait is how long one more part of a shard is expected to take: harmonic means of its replicas' paces and
// depths, since the draw avoids slow and deep ones. The share that is silent or cold makes it longer.
func (p *refPolicy) wait(shard int) float64 {
	all, able, idle, share := 0.0, 0.0, 0.0, 0.0
	p.holders(shard, func(s *refServer) {
		if s.ready() && p.admitsCold(s) {
			w, pace := p.sound(s)*p.warmth(s), math.Max(p.paceOf(s), 1e-6)
			all, able = all+1, able+w
			idle, share = idle+w/pace, share+w/pace/float64(1+s.depth(p.now))
		}
	})
	if all == 0 {
		return math.Inf(1)
	}
	alone := able / idle
	return alone + (able/share-alone)*all/able
}

// sound is how far a server does its work, by what this broker sees.
func (p *refPolicy) sound(s *refServer) float64 { return p.trust(s, p.fleetBad) * p.pulse(s) }

// depth counts this broker's parts at a server: those in flight, and those given up that it may still work
// through. Queues go in order, so an answer clears all that was sent before it.
func (s *refServer) depth(now float64) int {
	s.ghosts = slices.DeleteFunc(s.ghosts, func(g refGhost) bool { return now > g.until })
	return s.own + len(s.ghosts)
}

type refGhost struct{ sentAt, until float64 }

// doomed tells at a query's arrival that it would not be done within its aim. The less is seen of each server
// the wider the margin. A few parts are let through, to learn of its end. Where enough other parts make an
// answer, only doomed ones are left out. Late repeats yield. Queries worth more have a wider margin.
func (p *refPolicy) doomed(q *refQuery) bool {
	left, limit := 0.0, (blindDelayRatio+informedDelayRatio/p.memory)*(q.aim-p.now)
	if parts := q.class.CompletenessThreshold * float64(len(q.parts)); !p.set.WeightByWork && q.class.PriorityWeight > 0 {
		p.worthAsked, p.partsAsked = p.worthAsked+q.class.PriorityWeight, p.partsAsked+parts
		merit := q.class.PriorityWeight / parts * p.partsAsked / p.worthAsked
		limit = math.Min(limit*math.Max(math.Sqrt(merit), minWeightFactor), q.aim-p.now)
	}
	if q.late {
		limit *= math.Pow(missedDelayRatio, 1-memoryLeast/p.memory)
	} else if p.wide(q) {
		limit = q.aim - p.now // its parts that go ahead tell more
	}
	for _, pt := range q.parts {
		pt.dropped = p.wait(pt.Shard) > limit && p.rng.Float64() >= trialProbability
		if !pt.dropped {
			left += pt.Weight
		}
	}
	return left < math.Min(q.class.MinCompleteness, q.class.CompletenessThreshold)-sumSlack
}

// maySend tells whether the rules allow one more attempt of a part, now.
func (p *refPolicy) maySend(pt *refPart) bool {
	if pt.in || pt.dropped || p.set.MaxAttempts > 0 && len(pt.attempts) >= p.set.MaxAttempts {
		return false
	}
	for _, a := range pt.attempts {
		keyed := pt.q.class.Idempotency == IdempotentWithKey
		if a.live && !p.set.HedgingAllowed || (a.live || a.mayRun) && (pt.q.class.Idempotency == NonIdempotent ||
			keyed && p.now > a.sentAt+pt.q.class.IdempotencyWindow-edgeSlack) {
			return false
		}
	}
	return true
}

func (p *refPolicy) forget(times []float64, slack float64) []float64 { // those before the budget's window
	return slices.DeleteFunc(times, func(t float64) bool { return t < p.now-p.set.RetryBudget.Window+slack })
}

// budgetLeft tells whether a further attempt fits the budget, counted over the window that ends now.
func (p *refPolicy) budgetLeft() bool {
	p.taken, p.extra = p.forget(p.taken, edgeSlack), p.forget(p.extra, -edgeSlack)
	allowed := float64(p.set.RetryBudget.Min) + p.set.RetryBudget.Ratio*float64(len(p.taken))
	return !p.set.RetryBudget.Enabled || float64(len(p.extra)+1) <= allowed+edgeSlack
}

func (p *refPolicy) sendParts(q *refQuery, in float64) {
	p.turn++
	want, stride := in, p.stride(q, in)
	if stride == 0 {
		p.giveUp(q)
		return
	}
	for i, pt := range q.parts {
		if pt.in || pt.dropped || i%stride > 0 {
			continue
		}
		if want >= q.class.CompletenessThreshold-sumSlack && q.step == 1 {
			return // the parts that are out will make a whole answer
		}
		overdue := pt.live > 0 && p.overdue(pt)
		if overdue && !p.set.HedgingAllowed {
			p.cancelLive(pt) // then another may go
		}
		if pt.live > 0 && (!p.set.HedgingAllowed || !overdue) {
			if q.class.CompletenessThreshold > 1-sumSlack || q.step == 2 || !p.late(pt) {
				want += pt.Weight
			}
			continue
		}
		if !p.maySend(pt) {
			continue
		}
		if pt.live == 0 {
			want += pt.Weight
		}
		if p.set.MaxPartsPerCall <= 1 || len(pt.attempts) > 0 {
			p.turn++ // nothing to share: a draw of its own
		}
		var s *refServer
		if len(pt.attempts) == 0 || p.budgetLeft() {
			s = p.draw(pt)
		}
		if s == nil {
			p.wakeAt(p.now + slowStartPoll)
			continue
		}
		p.send(pt, s)
	}
}

// wide tells of a query that loads much of a fleet of which this broker sees too little to know its state.
func (p *refPolicy) wide(q *refQuery) bool {
	return len(q.parts) >= minFanoutForCanary && p.memory > minBlindHalfLife && q.step == 1
}

// stride tells which parts of a query may go: all (1), each so many-th, or none any more (0). Of a wide query
// a few go ahead, since what was seen of the fleet is old: if they come back late, the rest would not be done
// in time and make others late. Where queries bring down the servers that begin them, one goes ahead a while.
func (p *refPolicy) stride(q *refQuery, in float64) int {
	wary := in == 0 && (q.resets > 0 || p.now < p.waryUntil[q.Class])
	if q.spread || !wary && !p.wide(q) {
		return 1
	}
	until, ahead := q.arrived+canaryTimeFraction*(q.aim-q.arrived), max(len(q.parts)/partsPerCanary, minCanaryParts)
	stride, missing := max(len(q.parts)/ahead, 1), 0
	for i := 0; i < len(q.parts); i += stride {
		if !q.parts[i].in && !q.parts[i].dropped {
			missing++
		}
	}
	switch q.spread = p.wide(q) && p.now < until && float64(missing) <= maxCanaryMissing*float64(ahead); {
	case p.now >= until && p.wide(q):
		return 0
	case p.now >= until || q.spread:
		return 1
	case wary:
		stride = len(q.parts)
	}
	p.wakeAt(until)
	return stride
}

// late tells that a running attempt takes longer than nearly all do: a spare part, if any, goes instead.
func (p *refPolicy) late(pt *refPart) bool {
	high := p.latency[pt.q.Class].Quantile(0.95)
	due := pt.attempts[len(pt.attempts)-1].sentAt + high
	if p.now < due {
		p.wakeAt(due)
	}
	return high > 0 && p.now >= due
}

// overdue tells whether a running attempt should make way for another, or have one beside it where copies may
// be: for longer than patience its server has answered nothing since, or only what was sent later, so that
// this answer is lost. A slow but living server is left alone: its work would go on.
func (p *refPolicy) overdue(pt *refPart) bool {
	a, high := &pt.attempts[len(pt.attempts)-1], p.latency[pt.q.Class].Quantile(0.95)
	stays := pt.q.class.Idempotency != Idempotent || !p.set.CancelAllowed || len(pt.attempts) >= p.set.MaxAttempts
	if high == 0 || pt.live != 1 || !a.live || a.dropped || p.now >= pt.q.aim || !p.set.HedgingAllowed && stays {
		return false
	}
	patience, passed := cancelPatience*high, a.srv.passed > a.sentAt+overtakenPatience*high
	if p.set.HedgingAllowed {
		patience = hedgePatience * high
	}
	due := a.sentAt + patience
	if !passed {
		due = math.Max(due, a.srv.answeredAt+patience)
	}
	if p.now < due {
		p.wakeAt(due)
		return false
	}
	better := passed // in a group that is silent as a whole, more sends would only feed the jam
	p.holders(pt.Shard, func(s *refServer) {
		better = better || s != a.srv && s.ready() && p.sound(s) > minHealthAdvantage*p.sound(a.srv)
	})
	return better && p.now+p.latency[pt.q.Class].Quantile(0.5) < pt.q.aim
}

func (p *refPolicy) send(pt *refPart, s *refServer) {
	if p.set.RetryBudget.Enabled && len(pt.attempts) > 0 {
		p.extra = append(p.extra, p.now)
	}
	a := refAttempt{srv: s, sentAt: p.now, live: true, mayRun: true, crowd: float64(1 + s.depth(p.now))}
	pt.attempts = append(pt.attempts, a)
	pt.live++
	if s.own++; s.own == 1 || s.busySince <= s.answeredAt { // one that answers owes nothing older
		s.busySince = p.now
	}
	if p.warmth(s) < 1 {
		s.sends = append(s.sends, p.now)
	}
	p.do(Send{ID: pt.ID, Server: s.ID, Timeout: pt.q.end - p.now})
}
