package decision

// The module: every decision. Its interface (settings, events, actions) is in api.go. Each part drops
// unsuitable replicas and draws one in proportion to weight = fitness x factors; docs/design.md tells why.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"mothrouter/internal/cells"
	"mothrouter/internal/failures"
	"mothrouter/internal/lazyheap"
	"mothrouter/internal/recent"
	"mothrouter/internal/retrybudget"
	"mothrouter/internal/servicetime"
	"mothrouter/internal/slowstart"
)

const edgeSlack = 1e-6 // windows count by the microsecond; keep a whole one clear of their edges

// Policy decides for one broker. It is not safe for concurrent use.
type Policy struct {
	set     Settings
	rng     *rand.Rand
	now     float64
	out     []Action
	servers []*server
	byID    map[string]*server // looked up, never iterated
	cells   cells.Index[*server]
	going   []*server            // gone, with attempts out there
	cold    []*server            // within their warm-up
	failed  failures.Shares      // of attempts, by server
	cut     float64              // averaged share of attempts cut off: refused connections and resets
	parts   map[RequestID]*part  // looked up, never iterated
	queries map[int64]*query     // looked up, never iterated
	byQuery map[RequestID]*query // looked up, never iterated
	open    []*query

	probeAt, rebuildAt float64 // next round of probes, next rebuild
	watchAt            float64 // when to ask for the list again; +Inf: subscribed or not needed
	watchFails, turn   int
	breakers           map[uint64]float64 // by fingerprint, queries that broke their servers: until when
	wake, armed        float64            // earliest wish of this batch, earliest timer out

	latency                []recent.Ring           // latest latencies by class
	cautiousUntil          []float64               // by class: until then one part goes ahead
	waits                  []float64               // by class: the longest that a client waits for one try
	leftAges               recent.Ring             // ages of the latest queries whose clients left
	leaving                float64                 // averaged share of queries whose clients leave
	budget                 retrybudget.Budget      // of further attempts
	updatedAt              float64                 // when updateFleet was last called
	meanFitness            float64                 // what an unreported server counts as
	fleetBad               float64                 // median share of failed attempts, 0 if negligible
	news                   *lazyheap.Heap[*server] // those that may be probed; the first has the oldest news
	numbered               int                     // servers numbered so far
	serviceTime            servicetime.Fleet       // of a part
	warm                   float64                 // warm servers, a third of all at least
	worthAsked, partsAsked float64                 // of all queries so far, and the parts that they needed
	windows                slowstart.WindowUsage   // of cold servers
	peak                   slowstart.PeakRate      // of answers of a warm server
}

// New returns the decisions of one broker. Equal settings, seeds and events give equal actions.
func New(s Settings, seed uint64) *Policy {
	n, p := len(s.Classes), &Policy{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		armed: math.Inf(1), meanFitness: 1, byID: map[string]*server{}, breakers: map[uint64]float64{},
		parts: map[RequestID]*part{}, queries: map[int64]*query{}, byQuery: map[RequestID]*query{}}
	p.cells = cells.New(s.ReplicaSets, s.ReplicationFactor, number)
	p.failed = failures.New(failureHalfLife, zoneStep, negligible)
	p.news = lazyheap.New(func(s *server) float64 { return s.newsAt }, number)
	p.latency, p.cautiousUntil, p.waits = make([]recent.Ring, n), make([]float64, n), make([]float64, n)
	p.budget.Settings = s.RetryBudget
	if !s.PollEndpoints {
		p.watchAt = math.Inf(1)
	}
	if !s.RetryAfterSupported {
		p.set.MaxRetryAfter = 0 // clients would not hear it
	}
	return p
}

// Handle takes the events of one moment in their order and returns what to do, in order.
func (p *Policy) Handle(now float64, events []Event) []Action {
	p.now, p.failed.Now, p.out, p.wake = now, now, nil, math.Inf(1)
	p.updateFleet()
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
				p.leaving += leaveStep * (1 - p.leaving)
				p.finish(q, nil)
			}
		case HealthChecked:
			p.onProbed(e)
		case PeerObservation:
			p.onHeard(e)
		case RestoredState:
			p.serviceTime.Mean = cmp.Or(p.serviceTime.Mean, e.ServiceTime)
			p.peak.Value = math.Max(p.peak.Value, e.PeakThroughput)
		case FleetResized:
			p.set.Brokers = e.Brokers
		case ClassesChanged: // open queries keep their class; waits were for the old deadlines
			p.set.Classes, p.waits = e.Classes, make([]float64, len(p.waits))
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
	p.open = slices.DeleteFunc(p.open, func(q *query) bool { return q.ended })
	if p.wake < p.armed {
		p.armed = p.wake
		p.out = append(p.out, SetTimer{Token: 1, At: math.Max(p.wake, now)})
	}
	return p.out
}

func (p *Policy) do(a Action) { p.out = append(p.out, a) }

func (p *Policy) wakeAt(t float64) { p.wake = math.Min(p.wake, t) }
