package decision_test

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/slowstart"
)

// CI simulates one seed; more take longer.
var slowStartSeeds = flag.Int("cold", 1, "seeds of each fleet in slow start")

const (
	restartAt         = 12.0 // seconds until the first server restarts
	restartSpan       = 7.0  // seconds within which further servers restart
	simulatedDuration = restartAt + 8.5
)

// slowStartScenario is a fleet of brokers and servers on virtual time. At restartAt a server starts anew, and every
// broker receives the list that says so.
type slowStartScenario struct {
	brokers, servers int
	load             float64 // fraction of the servers' capacity
	burst            float64 // traffic from restartAt on, as a multiple of that before
	killed           float64 // fraction of the brokers that restart at restartAt with nothing but the list
	alone            bool    // no other server holds the shards of the one that restarts
	replaced         float64 // fraction of the servers that restart within restartSpan; 0: one does
	rolling          bool    // a tenth of the brokers after the other restarts: for a second two processes serve
	capacity         float64 // parts a second that a server takes; 0: 50
}

func (c slowStartScenario) settings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{{
			LatencyObjective: 1.5, Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 1,
		}},
		Brokers: c.brokers, ReplicaSets: c.servers, ReplicationFactor: 2, MaxPartsPerCall: 1, MaxAttempts: 4,
		Tick: 0.001, CancelAllowed: true, RetryAfterSupported: true, MaxRetryAfter: 0.5,
		ReportMode: decision.ReportPiggyback,
		SlowStart: slowstart.Settings{
			InitialFraction: 0.2, Duration: 17, OverloadFactor: 2.5, OverloadWindow: 1.5,
		},
	}
}

// pendingOutcome is the outcome of an attempt on its way to a broker.
type pendingOutcome struct {
	at      float64
	broker  *decision.Policy
	outcome decision.AttemptFinished
}

// outcomeQueue is a heap.Interface, the earliest outcome first.
type outcomeQueue []pendingOutcome

func (q outcomeQueue) Len() int           { return len(q) }
func (q outcomeQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q outcomeQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *outcomeQueue) Push(v any)        { *q = append(*q, v.(pendingOutcome)) }
func (q *outcomeQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// scheduledChange is a restart of servers or brokers.
type scheduledChange struct {
	at    float64
	apply func(now float64)
}

// simulatedFleet is a slowStartScenario in progress.
type simulatedFleet struct {
	slowStartScenario
	settings    decision.Settings
	random      *rand.Rand
	list        []decision.Server
	processes   [][]*decision.Policy // by broker
	outcomes    outcomeQueue
	changes     []scheduledChange
	sentAt      map[string][]float64 // attempts sent to servers that have restarted
	restartedAt map[string]float64
	freeAt      map[string]float64 // when each server has finished what it holds
}

func newSimulatedFleet(scenario slowStartScenario, seed uint64) *simulatedFleet {
	scenario.capacity = cmp.Or(scenario.capacity, 50)
	f := &simulatedFleet{
		slowStartScenario: scenario,
		settings:          scenario.settings(),
		random:            rand.New(rand.NewPCG(seed, 1)),
		processes:         make([][]*decision.Policy, scenario.brokers),
		sentAt:            map[string][]float64{},
		restartedAt:       map[string]float64{},
		freeAt:            map[string]float64{},
	}
	for i := range f.servers {
		f.list = append(f.list, decision.Server{ID: fmt.Sprint("s", i), ReplicaSet: i})
	}
	for i := range f.processes {
		f.processes[i] = []*decision.Policy{f.newProcess(0)}
	}
	f.scheduleServerRestarts()
	if f.rolling {
		f.scheduleBrokerRestarts()
	}
	slices.SortStableFunc(f.changes, func(a, b scheduledChange) int { return cmp.Compare(a.at, b.at) })
	return f
}

// newProcess returns a broker process that knows the list alone.
func (f *simulatedFleet) newProcess(now float64) *decision.Policy {
	p := decision.New(f.settings, f.random.Uint64())
	p.Handle(now, []decision.Event{decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: f.list}})
	return p
}

func (f *simulatedFleet) schedule(at float64, apply func(now float64)) {
	f.changes = append(f.changes, scheduledChange{at, apply})
}

func (f *simulatedFleet) scheduleServerRestarts() {
	f.schedule(restartAt, func(now float64) {
		f.restartServer(0, now)
		for i := range f.processes {
			if f.random.Float64() < f.killed {
				f.processes[i] = []*decision.Policy{f.newProcess(now)}
			}
		}
	})
	restarts := int(f.replaced * float64(f.servers))
	for n := 1; n < restarts; n++ {
		at := restartAt + restartSpan*float64(n)/float64(restarts)
		f.schedule(at, func(now float64) { f.restartServer(n, now) })
	}
}

// scheduleBrokerRestarts replaces a tenth of the brokers every half second from a second before restartAt on.
func (f *simulatedFleet) scheduleBrokerRestarts() {
	for tenth := range 10 {
		from, to := tenth*f.brokers/10, (tenth+1)*f.brokers/10
		at := restartAt - 1 + 0.5*float64(tenth)
		f.schedule(at, func(now float64) {
			for i := from; i < to; i++ {
				f.processes[i] = append(f.processes[i], f.newProcess(now))
			}
		})
		f.schedule(at+1, func(float64) {
			for i := from; i < to; i++ {
				f.processes[i] = f.processes[i][1:]
			}
		})
	}
}

func (f *simulatedFleet) restartServer(n int, now float64) {
	f.list[n].Started = now
	f.restartedAt[f.list[n].ID] = now
	f.freeAt[f.list[n].ID] = now
	if f.alone {
		f.list[(n+1)%f.servers].State = decision.Removed
		f.list[(n+f.servers-1)%f.servers].State = decision.Removed
	}
	update := decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: f.list}
	for i := range f.processes {
		for _, p := range f.processes[i] {
			p.Handle(now, []decision.Event{update})
		}
	}
}

// perform lets the servers answer what a broker sends. A server with more than a second of work rejects.
func (f *simulatedFleet) perform(now float64, p *decision.Policy, actions []decision.Action) {
	for _, s := range sends(actions) {
		capacity := f.capacity
		if at := f.restartedAt[s.Server]; at > 0 {
			f.sentAt[s.Server] = append(f.sentAt[s.Server], now)
			capacity *= math.Min(1, f.settings.SlowStart.InitialFraction+
				(1-f.settings.SlowStart.InitialFraction)*(now-at)/f.settings.SlowStart.Duration)
		}
		outcome := finished(s.ID, 0, s.Server, decision.OK, 0.001)
		if f.freeAt[s.Server] > now+1 {
			outcome.Status, outcome.PartConcluded = decision.Overloaded, false
		} else {
			f.freeAt[s.Server] = max(f.freeAt[s.Server], now) + 2*f.random.Float64()/capacity
			outcome.Latency = f.freeAt[s.Server] - now + 0.01
		}
		heap.Push(&f.outcomes, pendingOutcome{now + outcome.Latency, p, outcome})
	}
}

// run simulates queries of one to five parts, three on average, that arrive at random brokers.
func (f *simulatedFleet) run() {
	now := 0.0
	for id := decision.RequestID(100); now < simulatedDuration; id += 100 {
		for len(f.changes) > 0 && now >= f.changes[0].at {
			f.changes[0].apply(f.changes[0].at)
			f.changes = f.changes[1:]
		}
		for len(f.outcomes) > 0 && f.outcomes[0].at <= now {
			x := heap.Pop(&f.outcomes).(pendingOutcome)
			f.perform(x.at, x.broker, x.broker.Handle(x.at, []decision.Event{x.outcome}))
		}
		f.query(id, now)
		rate := f.load * float64(f.servers) * f.capacity / 3
		if now >= restartAt {
			rate *= f.burst
		}
		now += f.random.ExpFloat64() / rate
	}
}

func (f *simulatedFleet) query(id decision.RequestID, now float64) {
	broker := f.random.IntN(f.brokers)
	parts := 1 + f.random.IntN(5)
	events := []decision.Event{decision.Query{ID: id, Number: int64(id), Parts: parts, Deadline: now + 4}}
	first := f.random.IntN(f.servers)
	for i := range parts {
		events = append(events, decision.Part{
			ID: id + 1 + decision.RequestID(i), QueryNumber: int64(id),
			Shard: (first + i) % f.servers, Weight: 1 / float64(parts),
		})
	}
	p := f.processes[broker][f.random.IntN(len(f.processes[broker]))]
	f.perform(now, p, p.Handle(now, events))
}

// fullestWindow returns the most attempts that a restarted server got in any overload window, as a fraction of the
// N that the settings allow there, and of N + 2 root N + 2, beyond which it is not chance.
func (f *simulatedFleet) fullestWindow() (ofAllowed, ofChance float64) {
	slowStart := f.settings.SlowStart
	for id, sentAt := range f.sentAt {
		first := 0
		for i, at := range sentAt {
			for at-sentAt[first] > slowStart.OverloadWindow {
				first++
			}
			age := sentAt[first] - f.restartedAt[id]
			fraction := slowStart.InitialFraction + (1-slowStart.InitialFraction)*age/slowStart.Duration
			allowed := slowStart.OverloadFactor * fraction * slowStart.OverloadWindow * f.capacity
			n := float64(i - first + 1)
			ofAllowed = max(ofAllowed, n/allowed)
			ofChance = max(ofChance, n/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return ofAllowed, ofChance
}

// A server in slow start takes a limited number of parts from all brokers together, whether they are two, which see
// much of it, or hundreds that see little each, and whichever of them are killed or replaced meanwhile.
func TestSlowStartBudgetHoldsForAFleet(t *testing.T) {
	scenarios := map[string]slowStartScenario{
		"brokers with few observations":      {load: 0.6, burst: 1},
		"nine tenths of the capacity":        {load: 0.9, burst: 1},
		"new brokers, burst":                 {load: 0.6, burst: 1.9, killed: 1},
		"single replica, burst":              {load: 0.6, burst: 1.9, alone: true},
		"single replica, new brokers, burst": {load: 0.6, burst: 1.9, killed: 0.7, alone: true},
		"six in ten servers replaced, burst": {load: 0.6, burst: 1.5, replaced: 0.6},
		"rolling restart, servers replaced":  {load: 0.6, burst: 1.5, rolling: true, replaced: 0.5},
		"rolling restart, single replica":    {load: 0.6, burst: 1.5, rolling: true, alone: true},
	}
	for _, brokers := range []int{1, 2, 5, 20, 30, 300} {
		servers := 12
		if brokers == 300 {
			servers = 40
		}
		for name, scenario := range scenarios {
			scenario.brokers, scenario.servers = brokers, servers
			t.Run(fmt.Sprint(brokers, " brokers, ", name), func(t *testing.T) {
				most, worst := 0.0, 0.0
				for seed := range uint64(*slowStartSeeds) {
					f := newSimulatedFleet(scenario, seed)
					f.run()
					ofAllowed, ofChance := f.fullestWindow()
					most, worst = max(most, ofAllowed), max(worst, ofChance)
					require.Greater(t, ofAllowed, 0.02, "the server gets parts")
				}
				t.Logf("the fullest window holds %.2f of N, %.2f of N + 2 root N + 2", most, worst)
				require.LessOrEqual(t, worst, 1.0)
			})
		}
	}
}
