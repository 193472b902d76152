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

const differentialBatches = 800 // per scenario

var differentialScenarios = flag.Int("days", 8,
	"number of random scenarios in which Policy is compared with the reference implementation")

// randomScenario generates random events for one broker: its settings, endpoint updates, queries and faults. It also generates
// the outcomes of the attempts that the Policy sends, so that two implementations get the same events as long as their actions
// are equal.
type randomScenario struct {
	random       *rand.Rand
	settings     Settings
	servers      []Server
	faults       map[string]fault
	now          float64
	timerAt      float64 // time of the earliest pending timer
	queries      int64   // number of queries so far
	queryIDs     []RequestID
	attempts     map[RequestID]int // attempts sent so far, by part
	pending      []pendingEvent
	replacements int // number of servers replaced by new ones
}

// pendingEvent is an event to be passed to the Policy at a later time.
type pendingEvent struct {
	at    float64
	event Event
}

// fault describes how a server fails.
type fault struct {
	status   Status
	ratio    float64 // fraction of attempts that end with status
	slowdown float64 // factor on the latency
}

func newRandomScenario(seed uint64) *randomScenario {
	random := rand.New(rand.NewPCG(seed, 11))
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	coinFlip := func() bool { return random.IntN(2) == 0 }
	sc := &randomScenario{random: random, now: 100 + 1e6*float64(random.IntN(2)), timerAt: math.Inf(1), faults: map[string]fault{},
		attempts: map[RequestID]int{}}
	sc.settings = Settings{
		Brokers: pick(1, 3, 590), Zone: random.IntN(3), ReplicaSets: pick(1, 4, 30, 120), ReplicationFactor: pick(1, 2, 3),
		MaxPartsPerCall: pick(1, 8), ReportMode: ReportMode(random.IntN(3)), PollEndpoints: coinFlip(), PollInterval: 6,
		WeightByWork: coinFlip(), Tick: 0.005, MaxAttempts: pick(0, 2, 4), CancelAllowed: coinFlip(),
		HealthChecksAllowed: coinFlip(), HedgingAllowed: coinFlip(), RetryAfterSupported: coinFlip(), MaxRetryAfter: 0.5,
		SlowStart: slowstart.Settings{InitialFraction: []float64{0.2, 0.5, 1, 1.5}[random.IntN(4)], Duration: float64(pick(0, 3, 17)),
			OverloadFactor: 2.5, OverloadWindow: float64(pick(0, 1, 2))},
		RetryBudget:   retrybudget.Settings{Enabled: coinFlip(), Min: 3, Ratio: 0.2, Window: float64(pick(1, 5))},
		CrossZoneCost: float64(random.IntN(2)),
	}
	for range 1 + random.IntN(3) {
		class := Class{LatencyObjective: 0.05 + random.Float64(), ObjectivePerWork: random.Float64(),
			Idempotency: Idempotency(random.IntN(3)), IdempotencyWindow: 0.3, CompletenessThreshold: 1, MinCompleteness: 1,
			PriorityWeight: float64(random.IntN(3)), LateValue: float64(random.IntN(2)) / 2}
		class.Deadline = class.LatencyObjective * (1 + 2*random.Float64())
		if coinFlip() {
			class.CompletenessThreshold, class.MinCompleteness = 0.9, 0.6
		}
		if random.IntN(3) == 0 {
			class.SecondPhaseFanout = 3
		}
		sc.settings.Classes = append(sc.settings.Classes, class)
	}
	zones := pick(1, 3, 10)
	for i := range pick(3, 20, 120, 250) {
		sc.servers = append(sc.servers, Server{ID: fmt.Sprint("s", i), Zone: random.IntN(zones), ReplicaSet: i % sc.settings.ReplicaSets})
		if random.IntN(4) == 0 {
			sc.servers[i].StartedAt = sc.now - 20*random.Float64()
		}
	}
	return sc
}

// nextEvents advances the time and returns the events of the next batch.
func (sc *randomScenario) nextEvents() []Event {
	switch sc.random.IntN(300) {
	case 0:
		sc.now += 20 * sc.random.Float64()
	case 1, 2, 3:
		sc.now += sc.random.Float64()
	default:
		sc.now += 0.006 * sc.random.Float64()
	}
	var events []Event
	if sc.timerAt <= sc.now {
		sc.timerAt = math.Inf(1)
		events = append(events, TimerFired{Token: 1})
	}
	remainingEvents := sc.pending[:0]
	for _, e := range sc.pending {
		if e.at <= sc.now {
			events = append(events, e.event)
		} else {
			remainingEvents = append(remainingEvents, e)
		}
	}
	sc.pending = remainingEvents
	if sc.random.IntN(3) == 0 {
		events = append(events, sc.query()...)
	}
	if sc.random.IntN(40) == 0 {
		sc.changeFaults()
	}
	if sc.random.IntN(25) == 0 {
		events = append(events, sc.otherEvent())
	}
	sc.random.Shuffle(len(events), func(i, j int) {
		_, part := events[j].(Part) // queries and parts keep their order
		if _, other := events[i].(Part); !part && !other {
			_, query := events[i].(Query)
			if _, other := events[j].(Query); !query && !other {
				events[i], events[j] = events[j], events[i]
			}
		}
	})
	return events
}

func (sc *randomScenario) query() []Event {
	sc.queries++
	id := RequestID(sc.queries * 10_000)
	class := sc.random.IntN(len(sc.settings.Classes))
	parts := 1 + sc.random.IntN([]int{3, 12, 60}[sc.random.IntN(3)])
	q := Query{ID: id, Number: sc.queries, Class: class, Parts: parts, Work: sc.random.Float64(),
		Deadline: sc.now + sc.settings.Classes[class].Deadline*(0.5+sc.random.Float64()/2)}
	if sc.random.IntN(30) == 0 {
		q.Class = 9 // an unknown class
	}
	if sc.random.IntN(3) == 0 {
		q.ReceivedAt = sc.now - 0.002
	}
	sc.queryIDs = append(sc.queryIDs, id)
	events := []Event{q}
	return append(events, sc.parts(sc.queries, id, parts)...)
}

func (sc *randomScenario) parts(number int64, id RequestID, n int) []Event {
	var events []Event
	for i := range n {
		events = append(events, Part{ID: id + 1 + RequestID(i), QueryNumber: number, Shard: sc.random.IntN(200),
			Weight: 1 / float64(n)})
	}
	return events
}

// changeFaults injects a fault in one server, one zone or, with a low failure ratio, all servers, or clears all faults.
func (sc *randomScenario) changeFaults() {
	f := fault{status: Status(sc.random.IntN(int(NotSent) + 1)), ratio: []float64{0, 0.002, 0.1, 0.5, 1}[sc.random.IntN(5)],
		slowdown: []float64{1, 1, 5}[sc.random.IntN(3)]}
	zone := sc.servers[sc.random.IntN(len(sc.servers))].Zone
	scope := sc.random.IntN(4) // 0: one server, 1: a zone, 2: clear all faults, 3: all servers
	serverID := sc.servers[sc.random.IntN(len(sc.servers))].ID
	if scope == 3 {
		f.ratio = min(f.ratio, 0.02)
	}
	for _, s := range sc.servers {
		if scope == 0 && s.ID == serverID || scope == 1 && s.Zone == zone || scope == 3 {
			sc.faults[s.ID] = f
		} else if scope == 2 {
			delete(sc.faults, s.ID)
		}
	}
}

// otherEvent returns a random event other than queries, parts and outcomes, such as an endpoint update.
func (sc *randomScenario) otherEvent() Event {
	random := sc.random
	s := &sc.servers[random.IntN(len(sc.servers))]
	switch random.IntN(8) {
	case 0, 1:
		var list []Server
		for range 1 + random.IntN(4) {
			sc.changeServer()
			list = append(list, sc.servers[random.IntN(len(sc.servers))])
		}
		list = append(list, list[0])
		return EndpointUpdate{Mode: DeltaUpdate, Servers: list}
	case 2:
		sc.changeServer()
		update := EndpointUpdate{Mode: []UpdateMode{FullUpdate, CachedUpdate, FailedUpdate, FailedUpdate}[random.IntN(4)]}
		if update.Mode == FullUpdate || update.Mode == CachedUpdate {
			for _, i := range random.Perm(len(sc.servers)) {
				if random.IntN(10) > 0 || len(sc.servers) < 4 {
					update.Servers = append(update.Servers, sc.servers[i])
				}
			}
		}
		return update
	case 3:
		return PeerObservation{Server: s.ID, At: sc.now - random.Float64(), FailureRatio: float64(random.IntN(2)), Weight: random.Float64(),
			ServiceTime: 0.05 * float64(random.IntN(2)), LoadReport: sc.loadReport()}
	case 4:
		return SlowStartLease{Server: s.ID, Parts: random.IntN(5), ExpiresAt: sc.now + random.Float64()}
	case 5:
		return FleetResized{Brokers: 1 + random.IntN(600)}
	case 6:
		if len(sc.queryIDs) > 0 {
			return ClientDisconnected{ID: sc.queryIDs[random.IntN(len(sc.queryIDs))]}
		}
	}
	return RestoredState{ServiceTime: 0.02, PeakThroughput: 10 * random.Float64()}
}

// changeServer changes a random server: its state, start time, replica set and zone, or its ID, as if it was replaced.
func (sc *randomScenario) changeServer() {
	s := &sc.servers[sc.random.IntN(len(sc.servers))]
	switch sc.random.IntN(8) {
	case 0, 1:
		s.State = Draining
	case 2:
		s.State = Removed
	case 3:
		s.StartedAt, s.State = sc.now-sc.random.Float64(), Ready
	case 4:
		s.ReplicaSet, s.Zone = sc.random.IntN(sc.settings.ReplicaSets+2)-1, sc.random.IntN(6)-1
	case 5:
		sc.replacements++
		s.ID, s.State, s.StartedAt = fmt.Sprint("new", sc.replacements), Ready, sc.now
	default:
		s.State = Ready
	}
}

func (sc *randomScenario) loadReport() LoadReport {
	if sc.settings.ReportMode == ReportNone || sc.random.IntN(4) == 0 {
		return NoLoadReport
	}
	return LoadReport{InFlight: 5 * sc.random.Float64(), QueueLength: 9*sc.random.Float64() - 1, Utilization: sc.random.Float64(), Latency: 0.01,
		Rate: 10}
}

// perform schedules the events that result from the actions of a Policy.
func (sc *randomScenario) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			sc.answer(a)
		case SetTimer:
			sc.timerAt = min(sc.timerAt, a.At)
		case CheckHealth:
			sc.pending = append(sc.pending, pendingEvent{sc.now + 0.02*sc.random.Float64(),
				HealthChecked{Server: a.Server, Status: sc.outcome(a.Server), LoadReport: sc.loadReport()}})
		case Respond:
			if sc.random.IntN(2) == 0 { // parts of a second phase
				for _, e := range sc.parts(int64(a.ID)/10_000, a.ID+500, 3) {
					sc.pending = append(sc.pending, pendingEvent{sc.now, e})
				}
			}
		}
	}
}

// outcome returns the status of an attempt or a health check, given the fault of its server.
func (sc *randomScenario) outcome(server string) Status {
	if f := sc.faults[server]; sc.random.Float64() < f.ratio {
		return f.status
	}
	return OK
}

// answer schedules the outcome of an attempt.
func (sc *randomScenario) answer(s Send) {
	n := sc.attempts[s.ID]
	sc.attempts[s.ID]++
	latency := 0.002 + 0.03*sc.random.ExpFloat64()*max(sc.faults[s.Server].slowdown, 1)
	status := sc.outcome(s.Server)
	if s.Timeout > 0 && latency > s.Timeout {
		latency, status = s.Timeout, TimedOut
	}
	sc.pending = append(sc.pending, pendingEvent{sc.now + latency, AttemptFinished{ID: s.ID, Attempt: n, Server: s.Server, Status: status,
		Latency: latency, PartConcluded: status == OK || sc.random.IntN(20) == 0, LoadReport: sc.loadReport()}})
}

// equalFleetStats reports whether the fleet statistics of a Policy and the reference implementation are equal. Policy reports a
// negligible median failure ratio as 0.
func equalFleetStats(got, want *serverstats.Fleet) bool {
	sameMedian := got.MedianFailureRatio == want.MedianFailureRatio ||
		max(got.MedianFailureRatio, math.Abs(want.MedianFailureRatio)) < negligibleFailureRatio
	return sameMedian && got.DisconnectRatio == want.DisconnectRatio &&
		got.PeakRate.Value == want.PeakRate.Value &&
		got.SlowStartWindows.Fraction() == want.SlowStartWindows.Fraction() &&
		got.ServiceTime.Mean == want.ServiceTime.Mean && got.ServiceTime.HalfLife == want.ServiceTime.HalfLife
}

// The actions of a Policy must equal those of the reference implementation (the plain form), with times at full precision.
func TestDecisionsEqualThePlainForm(t *testing.T) {
	counts := map[string]int{} // of actions by type, and of batches with a median above 0
	for seed := range uint64(*differentialScenarios) {
		sc := newRandomScenario(seed)
		policy, reference := New(sc.settings, seed), newReference(sc.settings, seed)
		first := []Event{EndpointUpdate{Mode: FullUpdate, Servers: sc.servers}}
		for batch := range differentialBatches {
			events := first
			if batch > 0 {
				events = sc.nextEvents()
			}
			got, want := policy.Handle(sc.now, events), reference.Handle(sc.now, events)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("scenario %d, batch %d at %v s: actions\n%v, want\n%v, for events\n%v",
					seed, batch, sc.now, got, want, events)
			}
			if !equalFleetStats(&policy.fleet, &reference.fleet) {
				t.Fatalf("scenario %d, batch %d at %v s: fleet statistics\n%+v, want\n%+v",
					seed, batch, sc.now, policy.fleet, reference.fleet)
			}
			for _, a := range got {
				counts[fmt.Sprintf("%T", a)]++
			}
			if reference.fleet.MedianFailureRatio > 0 {
				counts["median above 0"]++
			}
			sc.perform(got)
		}
	}
	for _, kind := range []string{"Send", "Respond", "Reject", "Fail", "Cancel", "SetTimer", "CheckHealth", "WatchEndpoints"} {
		if counts["decision."+kind] < 3 {
			t.Errorf("%d actions of type %s in all scenarios, want at least 3: %v", counts["decision."+kind], kind, counts)
		}
	}
	if counts["median above 0"] < 1000 {
		t.Errorf("the median failure ratio is above 0 in %d batches, want at least 1000", counts["median above 0"])
	}
	t.Log(counts)
}
