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

// slowStartSeeds is 1 in CI, since more seeds take longer.
var slowStartSeeds = flag.Int("cold", 1, "number of random seeds with which each slow-start scenario is simulated")

const (
	restartAt         = 12.0 // time in seconds at which the first server restarts
	restartSpan       = 7.0  // seconds after restartAt within which the other servers restart
	simulatedDuration = restartAt + 8.5
)

// slowStartScenario describes a fleet of brokers and servers that is simulated in virtual time. At restartAt a server restarts,
// and every broker receives an endpoint update that says so.
type slowStartScenario struct {
	brokers, servers int
	load             float64 // fraction of the servers' capacity
	burst            float64 // traffic after restartAt, relative to the traffic before
	restartedBrokers float64 // fraction of the brokers that restart at restartAt without restored state
	singleReplica    bool    // no other server holds the shards of the restarted server
	restartedServers float64 // fraction of the servers that restart within restartSpan; 0: only one
	rollingRestart   bool    // brokers restart one tenth at a time, with 1 s in which both processes serve
	capacity         float64 // parts per second of a warm server; 0: 50
}

func (s slowStartScenario) settings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{{
			LatencyObjective: 1.5, Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 1,
		}},
		Brokers: s.brokers, ReplicaSets: s.servers, ReplicationFactor: 2, MaxPartsPerCall: 1, MaxAttempts: 4,
		Tick: 0.001, CancelAllowed: true, RetryAfterSupported: true, MaxRetryAfter: 0.5,
		ReportMode: decision.ReportPiggyback,
		SlowStart: slowstart.Settings{
			InitialFraction: 0.2, Duration: 17, OverloadFactor: 2.5, OverloadWindow: 1.5,
		},
	}
}

// pendingOutcome is the outcome of an attempt that a broker receives later.
type pendingOutcome struct {
	at      float64
	broker  *decision.Policy
	outcome decision.AttemptFinished
}

// outcomeQueue implements heap.Interface, with the earliest outcome first.
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

// simulatedFleet is the state of a running slowStartScenario.
type simulatedFleet struct {
	slowStartScenario
	settings    decision.Settings
	random      *rand.Rand
	list        []decision.Server
	processes   [][]*decision.Policy // by broker
	outcomes    outcomeQueue
	changes     []scheduledChange
	sentAt      map[string][]float64 // send times of attempts to restarted servers, by server
	restartedAt map[string]float64   // by server
	freeAt      map[string]float64   // time at which a server has finished its queue, by server
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
	if f.rollingRestart {
		f.scheduleBrokerRestarts()
	}
	slices.SortStableFunc(f.changes, func(a, b scheduledChange) int { return cmp.Compare(a.at, b.at) })
	return f
}

// newProcess returns the Policy of a new broker process, which has received only the endpoint list.
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
			if f.random.Float64() < f.restartedBrokers {
				f.processes[i] = []*decision.Policy{f.newProcess(now)}
			}
		}
	})
	restarts := int(f.restartedServers * float64(f.servers))
	for n := 1; n < restarts; n++ {
		at := restartAt + restartSpan*float64(n)/float64(restarts)
		f.schedule(at, func(now float64) { f.restartServer(n, now) })
	}
}

// scheduleBrokerRestarts schedules the restart of a tenth of the brokers every 0.5 s, starting 1 s before restartAt.
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
	f.list[n].StartedAt = now
	f.restartedAt[f.list[n].ID] = now
	f.freeAt[f.list[n].ID] = now
	if f.singleReplica {
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

// perform schedules the outcomes of the attempts that a broker sends. A server rejects attempts if its queue exceeds 1 s.
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

// run simulates queries of 1 to 5 parts, 3 on average, which random brokers receive.
func (f *simulatedFleet) run() {
	now := 0.0
	for id := decision.RequestID(100); now < simulatedDuration; id += 100 {
		for len(f.changes) > 0 && now >= f.changes[0].at {
			f.changes[0].apply(f.changes[0].at)
			f.changes = f.changes[1:]
		}
		for len(f.outcomes) > 0 && f.outcomes[0].at <= now {
			next := heap.Pop(&f.outcomes).(pendingOutcome)
			f.perform(next.at, next.broker, next.broker.Handle(next.at, []decision.Event{next.outcome}))
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

// maxWindowUsage returns the maximum number of attempts sent to a restarted server in any overload window: ofAllowed relative
// to the number N that the settings allow in that window, and ofTolerated relative to N + 2*sqrt(N) + 2, which random variation
// does not exceed.
func (f *simulatedFleet) maxWindowUsage() (ofAllowed, ofTolerated float64) {
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
			ofTolerated = max(ofTolerated, n/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return ofAllowed, ofTolerated
}

// All brokers together must send only a limited number of parts to a server in slow start, whether there are few brokers, each
// of which observes it often, or hundreds that rarely do, and also if brokers or servers restart in the meantime.
func TestSlowStartBudgetHoldsForAFleet(t *testing.T) {
	scenarios := map[string]slowStartScenario{
		"brokers with few observations":      {load: 0.6, burst: 1},
		"90 % load":                          {load: 0.9, burst: 1},
		"new brokers, burst":                 {load: 0.6, burst: 1.9, restartedBrokers: 1},
		"single replica, burst":              {load: 0.6, burst: 1.9, singleReplica: true},
		"single replica, new brokers, burst": {load: 0.6, burst: 1.9, restartedBrokers: 0.7, singleReplica: true},
		"60 % of servers restarted, burst":   {load: 0.6, burst: 1.5, restartedServers: 0.6},
		"rolling restart, servers restarted": {load: 0.6, burst: 1.5, rollingRestart: true, restartedServers: 0.5},
		"rolling restart, single replica":    {load: 0.6, burst: 1.5, rollingRestart: true, singleReplica: true},
	}
	for _, brokers := range []int{1, 2, 5, 20, 30, 300} {
		servers := 12
		if brokers == 300 {
			servers = 40
		}
		for name, scenario := range scenarios {
			scenario.brokers, scenario.servers = brokers, servers
			t.Run(fmt.Sprint(brokers, " brokers, ", name), func(t *testing.T) {
				maxOfAllowed, maxOfTolerated := 0.0, 0.0
				for seed := range uint64(*slowStartSeeds) {
					f := newSimulatedFleet(scenario, seed)
					f.run()
					ofAllowed, ofTolerated := f.maxWindowUsage()
					maxOfAllowed, maxOfTolerated = max(maxOfAllowed, ofAllowed), max(maxOfTolerated, ofTolerated)
					require.Greater(t, ofAllowed, 0.02, "a restarted server must get some parts")
				}
				t.Logf("maximum attempts in an overload window: %.2f N, %.2f (N + 2 sqrt N + 2)", maxOfAllowed, maxOfTolerated)
				require.LessOrEqual(t, maxOfTolerated, 1.0)
			})
		}
	}
}
