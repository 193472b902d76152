package decision

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"mothrouter/internal/estimate/retrybudget"
	"mothrouter/internal/estimate/serverstats"
	"mothrouter/internal/estimate/slowstart"
)

const differentialBatches = 800 // of a day

var differentialDays = flag.Int("days", 8, "random days on which the module is compared with its plain form")

// randomDay is a random course of events for one broker: its settings, its servers and what befalls them. Its servers answer
// what the module sends, so that both forms meet the same world as long as their actions are equal.
type randomDay struct {
	random   *rand.Rand
	settings Settings
	servers  []Server
	faults   map[string]fault
	now      float64
	timerAt  float64 // the earliest timer out
	queries  int64
	requests []RequestID
	attempts map[RequestID]int
	pending  []pendingEvent
	restarts int
}

type pendingEvent struct {
	at    float64
	event Event
}

// fault is how a server fails.
type fault struct {
	status Status
	ratio  float64 // of its attempts
	slow   float64 // times its usual latency
}

func newRandomDay(seed uint64) *randomDay {
	r := rand.New(rand.NewPCG(seed, 11))
	pick := func(values ...int) int { return values[r.IntN(len(values))] }
	maybe := func() bool { return r.IntN(2) == 0 }
	d := &randomDay{random: r, now: 100 + 1e6*float64(r.IntN(2)), timerAt: math.Inf(1), faults: map[string]fault{},
		attempts: map[RequestID]int{}}
	d.settings = Settings{
		Brokers: pick(1, 3, 590), Zone: r.IntN(3), ReplicaSets: pick(1, 4, 30, 120), ReplicationFactor: pick(1, 2, 3), MaxPartsPerCall: pick(1, 8),
		ReportMode: ReportMode(r.IntN(3)), PollEndpoints: maybe(), PollInterval: 6, WeightByWork: maybe(), Tick: 0.005,
		MaxAttempts: pick(0, 2, 4), CancelAllowed: maybe(), HealthChecksAllowed: maybe(), HedgingAllowed: maybe(), RetryAfterSupported: maybe(),
		MaxRetryAfter: 0.5,
		SlowStart: slowstart.Settings{InitialFraction: []float64{0.2, 0.5, 1, 1.5}[r.IntN(4)], Duration: float64(pick(0, 3, 17)),
			OverloadFactor: 2.5, OverloadWindow: float64(pick(0, 1, 2))},
		RetryBudget:   retrybudget.Settings{Enabled: maybe(), Min: 3, Ratio: 0.2, Window: float64(pick(1, 5))},
		CrossZoneCost: float64(r.IntN(2)),
	}
	for range 1 + r.IntN(3) {
		c := Class{LatencyObjective: 0.05 + r.Float64(), ObjectivePerWork: r.Float64(), Idempotency: Idempotency(r.IntN(3)), IdempotencyWindow: 0.3, CompletenessThreshold: 1,
			MinCompleteness: 1, PriorityWeight: float64(r.IntN(3)), LateValue: float64(r.IntN(2)) / 2}
		c.Deadline = c.LatencyObjective * (1 + 2*r.Float64())
		if maybe() {
			c.CompletenessThreshold, c.MinCompleteness = 0.9, 0.6
		}
		if r.IntN(3) == 0 {
			c.SecondPhaseFanout = 3
		}
		d.settings.Classes = append(d.settings.Classes, c)
	}
	zones := pick(1, 3, 10)
	for i := range pick(3, 20, 120, 250) {
		d.servers = append(d.servers, Server{ID: fmt.Sprint("s", i), Zone: r.IntN(zones), ReplicaSet: i % d.settings.ReplicaSets})
		if r.IntN(4) == 0 {
			d.servers[i].Started = d.now - 20*r.Float64()
		}
	}
	return d
}

// nextEvents lets time pass and returns the events of the next batch.
func (d *randomDay) nextEvents() []Event {
	switch d.random.IntN(300) {
	case 0:
		d.now += 20 * d.random.Float64()
	case 1, 2, 3:
		d.now += d.random.Float64()
	default:
		d.now += 0.006 * d.random.Float64()
	}
	var events []Event
	if d.timerAt <= d.now {
		d.timerAt = math.Inf(1)
		events = append(events, TimerFired{Token: 1})
	}
	later := d.pending[:0]
	for _, e := range d.pending {
		if e.at <= d.now {
			events = append(events, e.event)
		} else {
			later = append(later, e)
		}
	}
	d.pending = later
	if d.random.IntN(3) == 0 {
		events = append(events, d.query()...)
	}
	if d.random.IntN(40) == 0 {
		d.changeFaults()
	}
	if d.random.IntN(25) == 0 {
		events = append(events, d.otherEvent())
	}
	d.random.Shuffle(len(events), func(i, j int) {
		_, part := events[j].(Part) // parts stay behind their query
		if _, other := events[i].(Part); !part && !other {
			_, query := events[i].(Query)
			if _, other := events[j].(Query); !query && !other {
				events[i], events[j] = events[j], events[i]
			}
		}
	})
	return events
}

func (d *randomDay) query() []Event {
	d.queries++
	id := RequestID(d.queries * 10_000)
	class := d.random.IntN(len(d.settings.Classes))
	parts := 1 + d.random.IntN([]int{3, 12, 60}[d.random.IntN(3)])
	q := Query{ID: id, Number: d.queries, Class: class, Parts: parts, Work: d.random.Float64(),
		Deadline: d.now + d.settings.Classes[class].Deadline*(0.5+d.random.Float64()/2)}
	if d.random.IntN(30) == 0 {
		q.Class = 9 // unknown
	}
	if d.random.IntN(3) == 0 {
		q.ReceivedAt = d.now - 0.002
	}
	d.requests = append(d.requests, id)
	events := []Event{q}
	return append(events, d.parts(d.queries, id, parts)...)
}

func (d *randomDay) parts(number int64, id RequestID, n int) []Event {
	var events []Event
	for i := range n {
		events = append(events, Part{ID: id + 1 + RequestID(i), QueryNumber: number, Shard: d.random.IntN(200),
			Weight: 1 / float64(n)})
	}
	return events
}

// changeFaults lets servers fail or recover: one, a zone, or all a little.
func (d *randomDay) changeFaults() {
	f := fault{status: Status(d.random.IntN(int(NotSent) + 1)), ratio: []float64{0, 0.002, 0.1, 0.5, 1}[d.random.IntN(5)],
		slow: []float64{1, 1, 5}[d.random.IntN(3)]}
	zone, kind := d.servers[d.random.IntN(len(d.servers))].Zone, d.random.IntN(4)
	one := d.servers[d.random.IntN(len(d.servers))].ID
	if kind == 3 {
		f.ratio = min(f.ratio, 0.02)
	}
	for _, s := range d.servers {
		if kind == 0 && s.ID == one || kind == 1 && s.Zone == zone || kind == 3 {
			d.faults[s.ID] = f
		} else if kind == 2 {
			delete(d.faults, s.ID)
		}
	}
}

// otherEvent is an event that no part brings.
func (d *randomDay) otherEvent() Event {
	r := d.random
	s := &d.servers[r.IntN(len(d.servers))]
	switch r.IntN(8) {
	case 0, 1:
		var list []Server
		for range 1 + r.IntN(4) {
			d.changeServer()
			list = append(list, d.servers[r.IntN(len(d.servers))])
		}
		list = append(list, list[0])
		return EndpointUpdate{Mode: DeltaUpdate, Servers: list}
	case 2:
		d.changeServer()
		list := EndpointUpdate{Mode: []UpdateMode{FullUpdate, CachedUpdate, FailedUpdate, FailedUpdate}[r.IntN(4)]}
		if list.Mode == FullUpdate || list.Mode == CachedUpdate {
			for _, i := range r.Perm(len(d.servers)) {
				if r.IntN(10) > 0 || len(d.servers) < 4 {
					list.Servers = append(list.Servers, d.servers[i])
				}
			}
		}
		return list
	case 3:
		return PeerObservation{Server: s.ID, At: d.now - r.Float64(), FailureRatio: float64(r.IntN(2)), Weight: r.Float64(),
			ServiceTime: 0.05 * float64(r.IntN(2)), LoadReport: d.loadReport()}
	case 4:
		return SlowStartLease{Server: s.ID, Parts: r.IntN(5), ExpiresAt: d.now + r.Float64()}
	case 5:
		return FleetResized{Brokers: 1 + r.IntN(600)}
	case 6:
		if len(d.requests) > 0 {
			return ClientDisconnected{ID: d.requests[r.IntN(len(d.requests))]}
		}
	}
	return RestoredState{ServiceTime: 0.02, PeakThroughput: 10 * r.Float64()}
}

// changeServer changes an entry of the server list: its state, start, place, or its machine.
func (d *randomDay) changeServer() {
	s := &d.servers[d.random.IntN(len(d.servers))]
	switch d.random.IntN(8) {
	case 0, 1:
		s.State = Draining
	case 2:
		s.State = Removed
	case 3:
		s.Started, s.State = d.now-d.random.Float64(), Ready
	case 4:
		s.ReplicaSet, s.Zone = d.random.IntN(d.settings.ReplicaSets+2)-1, d.random.IntN(6)-1
	case 5:
		d.restarts++
		s.ID, s.State, s.Started = fmt.Sprint("new", d.restarts), Ready, d.now
	default:
		s.State = Ready
	}
}

func (d *randomDay) loadReport() LoadReport {
	if d.settings.ReportMode == ReportNone || d.random.IntN(4) == 0 {
		return NoLoadReport
	}
	return LoadReport{InFlight: 5 * d.random.Float64(), QueueLength: 9*d.random.Float64() - 1, Utilization: d.random.Float64(), Latency: 0.01,
		Rate: 10}
}

// perform lets the world answer what the module did.
func (d *randomDay) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			d.answer(a)
		case SetTimer:
			d.timerAt = min(d.timerAt, a.At)
		case CheckHealth:
			d.pending = append(d.pending, pendingEvent{d.now + 0.02*d.random.Float64(),
				HealthChecked{Server: a.Server, Status: d.outcome(a.Server), LoadReport: d.loadReport()}})
		case Respond:
			if d.random.IntN(2) == 0 { // the parts of a second step
				for _, e := range d.parts(int64(a.ID)/10_000, a.ID+500, 3) {
					d.pending = append(d.pending, pendingEvent{d.now, e})
				}
			}
		}
	}
}

func (d *randomDay) outcome(server string) Status {
	if f := d.faults[server]; d.random.Float64() < f.ratio {
		return f.status
	}
	return OK
}

func (d *randomDay) answer(s Send) {
	n := d.attempts[s.ID]
	d.attempts[s.ID]++
	latency := 0.002 + 0.03*d.random.ExpFloat64()*max(d.faults[s.Server].slow, 1)
	status := d.outcome(s.Server)
	if s.Timeout > 0 && latency > s.Timeout {
		latency, status = s.Timeout, TimedOut
	}
	d.pending = append(d.pending, pendingEvent{d.now + latency, AttemptFinished{ID: s.ID, Attempt: n, Server: s.Server, Status: status,
		Latency: latency, PartConcluded: status == OK || d.random.IntN(20) == 0, LoadReport: d.loadReport()}})
}

// sameFigures reports whether two forms compare servers with the same figures, where Policy takes a negligible median
// for 0.
func sameFigures(got, want *serverstats.Fleet) bool {
	sameMedian := got.MedianFailureRatio == want.MedianFailureRatio ||
		max(got.MedianFailureRatio, math.Abs(want.MedianFailureRatio)) < negligibleFailureRatio
	return sameMedian && got.DisconnectRatio == want.DisconnectRatio &&
		got.PeakRate.Value == want.PeakRate.Value &&
		got.SlowStartWindows.Fraction() == want.SlowStartWindows.Fraction() &&
		got.ServiceTime.Mean == want.ServiceTime.Mean && got.ServiceTime.HalfLife == want.ServiceTime.HalfLife
}

// The module decides, to the bit of every time, as the form that walks over all servers.
func TestDecisionsEqualThePlainForm(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(*differentialDays) {
		d := newRandomDay(seed)
		policy, plain := New(d.settings, seed), newPlain(d.settings, seed)
		first := []Event{EndpointUpdate{Mode: FullUpdate, Servers: d.servers}}
		for batch := range differentialBatches {
			events := first
			if batch > 0 {
				events = d.nextEvents()
			}
			got, want := policy.Handle(d.now, events), plain.Handle(d.now, events)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("day %d, batch %d at %v:\n got %v\nwant %v\nof %v", seed, batch, d.now, got, want, events)
			}
			if !sameFigures(&policy.fleet, &plain.fleet) {
				t.Fatalf("day %d, batch %d at %v: the fleet's figures differ:\n got %+v\nwant %+v",
					seed, batch, d.now, policy.fleet, plain.fleet)
			}
			for _, a := range got {
				kinds[fmt.Sprintf("%T", a)]++
			}
			if plain.fleet.MedianFailureRatio > 0 {
				kinds["median above 0"]++
			}
			d.perform(got)
		}
	}
	for _, kind := range []string{"Send", "Respond", "Reject", "Fail", "Cancel", "SetTimer", "CheckHealth", "WatchEndpoints"} {
		if kinds["decision."+kind] < 3 {
			t.Errorf("the days hold %d actions %s, too few to tell anything: %v", kinds["decision."+kind], kind, kinds)
		}
	}
	if kinds["median above 0"] < 1000 {
		t.Errorf("the fleet's median is above 0 in %d batches only", kinds["median above 0"])
	}
	t.Log(kinds)
}
