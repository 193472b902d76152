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

// due is an answer on its way to a broker.
type due struct {
	at     float64
	broker *decision.Policy
	ended  decision.AttemptFinished
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(v any)        { *d = append(*d, v.(due)) }
func (d *dues) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// coldDay is a fleet of brokers and servers on virtual time. At 12 s servers start anew
// and every broker is told.
type coldDay struct {
	brokers, servers int
	load             float64 // share of what the servers bear
	burst            float64 // traffic from then on, over that before
	blank            float64 // share of the brokers that are killed then, and back with nothing but their list
	alone            bool    // no other server holds the shards of the one that starts
	replaced         float64 // share of the servers that start anew within 7 s; 0: one does
	rolling          bool    // a tenth of the brokers after the other restart from then on: for a second two processes serve
	capacity         float64 // parts a second that a server bears; 0: 50
}

const coldStart = 12.0

func (d coldDay) settings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{{LatencyObjective: 1.5, Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 1}}, Brokers: d.brokers,
		ReplicaSets: d.servers, ReplicationFactor: 2, MaxPartsPerCall: 1, MaxAttempts: 4, Tick: 0.001, CancelAllowed: true, RetryAfterSupported: true, MaxRetryAfter: 0.5,
		ReportMode: decision.ReportPiggyback, SlowStart: slowstart.Settings{InitialFraction: 0.2, Duration: 17, OverloadFactor: 2.5, OverloadWindow: 1.5},
	}
}

// play returns the most parts that came to a server that starts in any window of the fall, as a share of what the
// settings allow within it (N), and of N + 2 root N + 2, beyond which it is not chance.
func (d coldDay) play(seed uint64) (share, beyond float64) {
	capacity := cmp.Or(d.capacity, 50)
	set := d.settings()
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []decision.Server
	for i := range d.servers {
		list = append(list, decision.Server{ID: fmt.Sprint("s", i), ReplicaSet: i})
	}
	fleet := make([][]*decision.Policy, d.brokers) // of each, its processes
	blank := func(now float64) *decision.Policy {
		p := decision.New(set, rng.Uint64())
		p.Handle(now, []decision.Event{decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: list}})
		return p
	}
	for i := range fleet {
		fleet[i] = []*decision.Policy{blank(0)}
	}
	var out dues
	arrivals := map[string][]float64{}
	started := map[string]float64{}
	free := map[string]float64{} // when each server has worked through what it holds
	do := func(now float64, p *decision.Policy, actions []decision.Action) {
		for _, s := range sends(actions) {
			bears := capacity
			if at := started[s.Server]; at > 0 {
				arrivals[s.Server] = append(arrivals[s.Server], now)
				bears *= math.Min(1, set.SlowStart.InitialFraction+(1-set.SlowStart.InitialFraction)*(now-at)/set.SlowStart.Duration)
			}
			e := decision.AttemptFinished{ID: s.ID, Server: s.Server, Status: decision.OK, PartConcluded: true, LoadReport: decision.NoLoadReport}
			if e.Latency = 0.001; free[s.Server] > now+1 {
				e.Status, e.PartConcluded = decision.Overloaded, false
			} else {
				free[s.Server] = max(free[s.Server], now) + 2*rng.Float64()/bears
				e.Latency = free[s.Server] - now + 0.01
			}
			heap.Push(&out, due{now + e.Latency, p, e})
		}
	}
	type step struct {
		at float64
		do func(now float64)
	}
	var todo []step
	start := func(n int) func(float64) {
		return func(now float64) {
			list[n].Started = now
			started[list[n].ID] = now
			free[list[n].ID] = now
			if d.alone { // no other holds its shards
				list[(n+1)%d.servers].State, list[(n+d.servers-1)%d.servers].State = decision.Removed, decision.Removed
			}
			for i := range fleet {
				for _, p := range fleet[i] {
					p.Handle(now, []decision.Event{decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: list}})
				}
			}
		}
	}
	todo = append(todo, step{coldStart, func(now float64) {
		start(0)(now)
		for i := range fleet {
			if rng.Float64() < d.blank {
				fleet[i] = []*decision.Policy{blank(now)}
			}
		}
	}})
	starts := int(d.replaced * float64(d.servers))
	for n := 1; n < starts; n++ {
		todo = append(todo, step{coldStart + 7*float64(n)/float64(starts), start(n)})
	}
	for tenth := 0; d.rolling && tenth < 10; tenth++ {
		from, to := tenth*d.brokers/10, (tenth+1)*d.brokers/10
		at := coldStart - 1 + 0.5*float64(tenth)
		todo = append(todo, step{at, func(now float64) {
			for i := from; i < to; i++ {
				fleet[i] = append(fleet[i], blank(now))
			}
		}}, step{at + 1, func(float64) {
			for i := from; i < to; i++ {
				fleet[i] = fleet[i][1:]
			}
		}})
	}
	slices.SortStableFunc(todo, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	next, id := 0.0, decision.RequestID(0)
	for next < coldStart+8.5 {
		for len(todo) > 0 && next >= todo[0].at {
			todo[0].do(todo[0].at)
			todo = todo[1:]
		}
		for len(out) > 0 && out[0].at <= next {
			x := heap.Pop(&out).(due)
			do(x.at, x.broker, x.broker.Handle(x.at, []decision.Event{x.ended}))
		}
		m, n := rng.IntN(d.brokers), 1+rng.IntN(5)
		id += 100
		ev := []decision.Event{decision.Query{ID: id, Number: int64(id), Parts: n, Deadline: next + 4}}
		first := rng.IntN(d.servers)
		for i := range n {
			ev = append(ev, decision.Part{ID: id + 1 + decision.RequestID(i), QueryNumber: int64(id),
				Shard: (first + i) % d.servers, Weight: 1 / float64(n)})
		}
		p := fleet[m][rng.IntN(len(fleet[m]))]
		do(next, p, p.Handle(next, ev))
		rate := d.load * float64(d.servers) * capacity / 3
		if next >= coldStart {
			rate *= d.burst
		}
		next += rng.ExpFloat64() / rate
	}
	for id, came := range arrivals {
		from := 0
		for i, at := range came {
			for at-came[from] > set.SlowStart.OverloadWindow {
				from++
			}
			warmth := set.SlowStart.InitialFraction + (1-set.SlowStart.InitialFraction)*(came[from]-started[id])/set.SlowStart.Duration
			allowed := set.SlowStart.OverloadFactor * warmth * set.SlowStart.OverloadWindow * capacity
			n := float64(i - from + 1)
			share = max(share, n/allowed)
			beyond = max(beyond, n/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return share, beyond
}

// A cold server bears only so much from all brokers together, whether they are two, which see much of it, or hundreds
// that see little each; and whoever is killed or replaced meanwhile.
func TestSlowStartBudgetHoldsForAFleet(t *testing.T) {
	for _, brokers := range []int{1, 2, 5, 20, 30, 300} {
		servers := 12
		if brokers == 300 {
			servers = 40
		}
		for name, d := range map[string]coldDay{
			"all have seen a little":        {load: 0.6, burst: 1},
			"at nine tenths":                {load: 0.9, burst: 1},
			"all are blank, with a burst":   {load: 0.6, burst: 1.9, blank: 1},
			"alone, with a burst":           {load: 0.6, burst: 1.9, alone: true},
			"alone, blank, with a burst":    {load: 0.6, burst: 1.9, blank: 0.7, alone: true},
			"six in ten replaced, a burst":  {load: 0.6, burst: 1.5, replaced: 0.6},
			"a rolling restart and release": {load: 0.6, burst: 1.5, rolling: true, replaced: 0.5},
			"a rolling restart, alone":      {load: 0.6, burst: 1.5, rolling: true, alone: true},
		} {
			d.brokers, d.servers = brokers, servers
			t.Run(fmt.Sprint(brokers, " brokers, ", name), func(t *testing.T) {
				most, worst := 0.0, 0.0
				for seed := range uint64(*coldSeeds) {
					share, beyond := d.play(seed)
					most, worst = max(most, share), max(worst, beyond)
					require.Greater(t, share, 0.02, "it gets work")
				}
				t.Logf("the fullest window holds %.2f of N, %.2f of N + 2 root N + 2", most, worst)
				require.LessOrEqual(t, worst, 1.0)
			})
		}
	}
}

// CI plays one seed; more take longer.
var coldSeeds = flag.Int("cold", 1, "seeds of each cold day")
