package checkpoint

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/harness/recordservertest"
	"mothrouter/internal/transport/upstream"
)

var measureSeeds = flag.Int("measure", 0, "seeds of the measurement of restarts, blank against restored; 0: only a small one that is checked")

const (
	restartServers   = 60
	restartObjective = 0.15
	restartRate      = 60 // queries a second, of four parts each that must not run twice: thin traffic, and each bad server met costs a query
)

var restartSettings = decision.Settings{
	ReplicaSets: restartServers, ReplicationFactor: 2, MaxAttempts: 4, CancelAllowed: true, Brokers: 2, ReportMode: decision.ReportPiggyback,
	Tick: 0.005, SlowStart: slowstart.Settings{InitialFraction: 0.2, Duration: 8, OverloadFactor: 2.5, OverloadWindow: 1.5},
	Classes: []decision.Class{{LatencyObjective: restartObjective, Deadline: 0.4, PriorityWeight: 1, CompletenessThreshold: 1, MinCompleteness: 1},
		{LatencyObjective: restartObjective, Deadline: 0.4, PriorityWeight: 2, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.NonIdempotent}},
}

type resultClient chan broker.Result

func (r resultClient) Finish(res broker.Result) { r <- res }

// runBroker runs one broker on a fleet for a time under a steady load, and tells for each 100 ms what share was served.
func runBroker(fleet *recordservertest.Fleet, k *Saver, seed uint64, d time.Duration) []float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	link := upstream.New(ctx, upstream.Options{MaxStreams: 100, IdleTimeout: 15 * time.Second, ConnectTimeout: 250 * time.Millisecond})
	b := broker.New(broker.Options{Settings: restartSettings, Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
		k.Watch(decision.New(restartSettings, seed)), link)
	go b.Run(ctx)
	b.Update(broker.EndpointUpdate{Mode: decision.CachedUpdate, Servers: fleet.Endpoints()})
	const bin = 100 * time.Millisecond
	asked, served := make([]float64, d/bin+1), make([]float64, d/bin+1)
	var mu sync.Mutex
	var all sync.WaitGroup
	begin := time.Now()
	rng := rand.New(rand.NewPCG(seed, 9))
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / restartRate * float64(time.Second))
		if due >= d {
			break
		}
		time.Sleep(time.Until(begin.Add(due)))
		q := &broker.Request{ID: fmt.Sprintf("q%d-%d", seed, n), Class: 1, ReceivedAt: time.Now(), Timeout: 400 * time.Millisecond, Payload: []byte("x")}
		from := rng.IntN(restartServers)
		for i := range 4 {
			q.Parts = append(q.Parts, broker.Part{Shard: (from + i) % restartServers, Weight: 0.25})
		}
		asked[due/bin]++
		all.Go(func() {
			r := make(resultClient, 1)
			b.Submit(q, r)
			if res := <-r; res.Outcome == broker.Answered && time.Since(q.ReceivedAt).Seconds() <= restartObjective {
				mu.Lock()
				served[due/bin]++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	for i := range served {
		served[i] /= math.Max(asked[i], 1)
	}
	return served[:d/bin]
}

// restartResult is what one play of a restart showed.
type restartResult struct {
	fullServiceAfter float64 // seconds after which half a second is served but for a twentieth
	lostQueries      float64 // queries lost in the first two seconds
	slowStartLoad    float64 // worst 1.5 s at the server that is cold, as a share of what would push it over
}

// injectFaults puts a fleet in trouble: of every ten servers one hangs and one is slow, beyond the aim but alive, so that
// what was sent there is not sent again. Each shard keeps a holder that is neither.
func injectFaults(f *recordservertest.Fleet, hang, slow int) {
	for i, s := range f.Servers {
		s.SetHanging(i%10 == hang)
		s.SetServiceTime(map[bool]time.Duration{true: 300 * time.Millisecond, false: 4 * time.Millisecond}[i%10 == slow])
	}
}

// runRestart teaches one broker, ends it, and lets the next begin blank or with what the first has learned. Stale: while
// none ran, the trouble went to other servers.
func runRestart(t testing.TB, seed uint64, restored, stale bool) (r restartResult) {
	fleet, err := recordservertest.New(recordservertest.Options{Servers: restartServers, ReplicationFactor: 2, ServiceTime: 4 * time.Millisecond, Seed: seed})
	require.NoError(t, err)
	defer fleet.Close()
	folder := t.TempDir()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	opt := Options{Folder: folder, Interval: time.Hour, Instance: "n", Log: log}
	k := Open(opt)
	injectFaults(fleet, 1, 6)
	const taught = 4 * time.Second
	runBroker(fleet, k, seed, taught)
	warm := float64(fleet.Servers[3].Arrivals()) / taught.Seconds()
	require.NoError(t, k.Save())
	k.lockFile.Close()
	if stale {
		injectFaults(fleet, 4, 9)
	}
	fresh := fleet.Servers[8]
	fresh.Restart()
	before := fleet.Servers[3].Arrivals()
	if !restored {
		opt.Folder = t.TempDir()
	}
	k = Open(opt)
	require.Equal(t, restored, k.restored != nil)
	const d = 2500 * time.Millisecond
	shares := runBroker(fleet, k, seed+1000, d)
	for r.fullServiceAfter = 0; r.fullServiceAfter < 2; r.fullServiceAfter += 0.1 {
		from := int(r.fullServiceAfter*10 + 0.5)
		if stat.Mean(shares[from:from+5], nil) >= 0.95 {
			break
		}
	}
	r.lostQueries = 2 * restartRate * (1 - stat.Mean(shares[:20], nil))
	// Lower bounds of a server's capacity, of which a machine that does much else meanwhile lowers the one or the other.
	warm = max(warm, float64(fleet.Servers[3].Arrivals()-before)/d.Seconds())
	r.slowStartLoad = float64(fresh.MaxArrivals(1500*time.Millisecond)) / (2.5 * (0.2 + 0.8*2/8) * warm * 1.5)
	broken, _ := fleet.Violations()
	require.Empty(t, broken)
	return r
}

// TestRestoredBrokerServesSooner plays restarts, blank and restored in turns. In CI it plays one, and checks only
// what is clear; `go test ./internal/state/checkpoint -run Sooner -v -measure 8` prints the tables of docs/recovery.md.
func TestRestoredBrokerServesSooner(t *testing.T) {
	if *measureSeeds == 0 {
		blank, restored := runRestart(t, 1, false, false), runRestart(t, 1, true, false)
		require.Less(t, restored.lostQueries, blank.lostQueries)
		require.Less(t, math.Max(blank.slowStartLoad, restored.slowStartLoad), 1.0)
		return
	}
	var out strings.Builder
	for _, stale := range []bool{false, true} {
		var all [2][3][]float64
		for seed := range *measureSeeds {
			for i, restored := range []bool{false, true} {
				r := runRestart(t, uint64(seed+1), restored, stale)
				for j, v := range []float64{r.fullServiceAfter, r.lostQueries, r.slowStartLoad} {
					all[i][j] = append(all[i][j], v)
				}
			}
		}
		fmt.Fprintf(&out, "stale: %v, %d seeds\n| start | s to full service | lost of 120 in the first 2 s | load on the cold server, of its limit |\n| --- | --- | --- | --- |\n", stale, *measureSeeds)
		for i, name := range []string{"blank", "restored"} {
			fmt.Fprintf(&out, "| %s | %s | %s | %s |\n", name, confidenceInterval(all[i][0]), confidenceInterval(all[i][1]), confidenceInterval(all[i][2]))
		}
	}
	t.Log("\n" + out.String())
}

func confidenceInterval(x []float64) string {
	mean, sd := stat.MeanStdDev(x, nil)
	q := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return fmt.Sprintf("%.2f ± %.2f", mean, q*sd/math.Sqrt(float64(len(x))))
}
