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

var measureSeeds = flag.Int("measure", 0, "number of seeds with which restarts are measured, blank and restored; 0: run one restart of each and check it")

const (
	restartServers   = 60
	restartObjective = 0.15 // latency objective, in seconds

	// restartRate is in queries per second. Traffic is sparse, and each query has four parts that must not run twice, so every
	// part that reaches a faulty server costs a query.
	restartRate = 60
)

var restartSettings = decision.Settings{
	ReplicaSets:       restartServers,
	ReplicationFactor: 2,
	MaxAttempts:       4,
	CancelAllowed:     true,
	Brokers:           2,
	ReportMode:        decision.ReportPiggyback,
	Tick:              0.005,
	SlowStart:         slowstart.Settings{InitialFraction: 0.2, Duration: 8, OverloadFactor: 2.5, OverloadWindow: 1.5},
	Classes: []decision.Class{
		{LatencyObjective: restartObjective, Deadline: 0.4, PriorityWeight: 1, CompletenessThreshold: 1, MinCompleteness: 1},
		{LatencyObjective: restartObjective, Deadline: 0.4, PriorityWeight: 2, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.NonIdempotent},
	},
}

// resultClient is a broker.Client that receives the result of one query.
type resultClient chan broker.Result

func (c resultClient) Finish(result broker.Result) { c <- result }

// runBroker runs one broker on a fleet under a steady load and returns, for each 100 ms of duration, the fraction of queries
// that were answered within the latency objective.
func runBroker(fleet *recordservertest.Fleet, saver *Saver, seed uint64, duration time.Duration) []float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	link := upstream.New(ctx, upstream.Options{MaxStreams: 100, IdleTimeout: 15 * time.Second, ConnectTimeout: 250 * time.Millisecond})
	b := broker.New(broker.Options{Settings: restartSettings, Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
		saver.Watch(decision.New(restartSettings, seed)), link)
	go b.Run(ctx)
	b.Update(broker.EndpointUpdate{Mode: decision.CachedUpdate, Servers: fleet.Endpoints()})
	const bin = 100 * time.Millisecond
	sent, served := make([]float64, duration/bin+1), make([]float64, duration/bin+1)
	var mu sync.Mutex // guards served
	var queries sync.WaitGroup
	startedAt := time.Now()
	rng := rand.New(rand.NewPCG(seed, 9))
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / restartRate * float64(time.Second))
		if due >= duration {
			break
		}
		time.Sleep(time.Until(startedAt.Add(due)))
		request := &broker.Request{ID: fmt.Sprintf("q%d-%d", seed, n), Class: 1, ReceivedAt: time.Now(), Timeout: 400 * time.Millisecond, Payload: []byte("x")}
		firstShard := rng.IntN(restartServers)
		for i := range 4 {
			request.Parts = append(request.Parts, broker.Part{Shard: (firstShard + i) % restartServers, Weight: 0.25})
		}
		sent[due/bin]++
		queries.Go(func() {
			client := make(resultClient, 1)
			b.Submit(request, client)
			if result := <-client; result.Outcome == broker.Answered && time.Since(request.ReceivedAt).Seconds() <= restartObjective {
				mu.Lock()
				served[due/bin]++
				mu.Unlock()
			}
		})
	}
	queries.Wait()
	for i := range served {
		served[i] /= math.Max(sent[i], 1)
	}
	return served[:duration/bin]
}

// restartResult is the result of runRestart.
type restartResult struct {
	fullServiceAfter float64 // seconds to the first half second in which at least 95 % of queries are served; 2 if there is none
	lostQueries      float64 // queries not served in the first two seconds
	slowStartLoad    float64 // maximum load of the restarted server over 1.5 s, as a fraction of the load that overloads it
}

// injectFaults makes one of every ten servers hang and another one too slow for the latency objective. All servers stay alive,
// so that a part that was sent there is not retried. Each shard keeps a replica without a fault.
func injectFaults(fleet *recordservertest.Fleet, hanging, slow int) {
	for i, server := range fleet.Servers {
		server.SetHanging(i%10 == hanging)
		server.SetServiceTime(map[bool]time.Duration{true: 300 * time.Millisecond, false: 4 * time.Millisecond}[i%10 == slow])
	}
}

// runRestart runs a broker on a fleet with faults and then a second one. If restored is set, the second one starts with the
// state that the first one saved, else with empty state. If stale is set, the faults move to other servers in between.
func runRestart(t testing.TB, seed uint64, restored, stale bool) (result restartResult) {
	fleet, err := recordservertest.New(recordservertest.Options{Servers: restartServers, ReplicationFactor: 2, ServiceTime: 4 * time.Millisecond, Seed: seed})
	require.NoError(t, err)
	defer fleet.Close()
	folder := t.TempDir()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	options := Options{Folder: folder, Interval: time.Hour, Instance: "n", Log: log}
	saver := Open(options)
	injectFaults(fleet, 1, 6)
	const firstDuration = 4 * time.Second
	runBroker(fleet, saver, seed, firstDuration)
	warmRate := float64(fleet.Servers[3].Arrivals()) / firstDuration.Seconds()
	require.NoError(t, saver.Save())
	saver.lockFile.Close()
	if stale {
		injectFaults(fleet, 4, 9)
	}
	restarted := fleet.Servers[8]
	restarted.Restart()
	before := fleet.Servers[3].Arrivals()
	if !restored {
		options.Folder = t.TempDir()
	}
	saver = Open(options)
	require.Equal(t, restored, saver.restoredState != nil)
	const duration = 2500 * time.Millisecond
	served := runBroker(fleet, saver, seed+1000, duration)
	for result.fullServiceAfter = 0; result.fullServiceAfter < 2; result.fullServiceAfter += 0.1 {
		from := int(result.fullServiceAfter*10 + 0.5)
		if stat.Mean(served[from:from+5], nil) >= 0.95 {
			break
		}
	}
	result.lostQueries = 2 * restartRate * (1 - stat.Mean(served[:20], nil))
	// Both rates are lower bounds of a server's capacity. Other load on the computer can lower either one.
	warmRate = max(warmRate, float64(fleet.Servers[3].Arrivals()-before)/duration.Seconds())
	result.slowStartLoad = float64(restarted.MaxArrivals(1500*time.Millisecond)) / (2.5 * (0.2 + 0.8*2/8) * warmRate * 1.5)
	violations, _ := fleet.Violations()
	require.Empty(t, violations)
	return result
}

// TestRestoredBrokerServesSooner restarts brokers, alternately with empty and with restored state. In CI it runs one restart of
// each and checks only the clear differences;
// `go test ./internal/state/checkpoint -run Sooner -v -measure 8` prints the tables of docs/recovery.md.
func TestRestoredBrokerServesSooner(t *testing.T) {
	if *measureSeeds == 0 {
		blank, restored := runRestart(t, 1, false, false), runRestart(t, 1, true, false)
		require.Less(t, restored.lostQueries, blank.lostQueries)
		require.Less(t, math.Max(blank.slowStartLoad, restored.slowStartLoad), 1.0)
		return
	}
	var out strings.Builder
	for _, stale := range []bool{false, true} {
		var results [2][3][]float64 // by start (blank, restored) and measure
		for seed := range *measureSeeds {
			for i, restored := range []bool{false, true} {
				result := runRestart(t, uint64(seed+1), restored, stale)
				for j, value := range []float64{result.fullServiceAfter, result.lostQueries, result.slowStartLoad} {
					results[i][j] = append(results[i][j], value)
				}
			}
		}
		fmt.Fprintf(&out, "stale: %v, %d seeds\n| start | s to full service | lost of 120 in the first 2 s | load on the cold server, of its limit |\n"+
			"| --- | --- | --- | --- |\n", stale, *measureSeeds)
		for i, name := range []string{"blank", "restored"} {
			fmt.Fprintf(&out, "| %s | %s | %s | %s |\n", name, confidenceInterval(results[i][0]),
				confidenceInterval(results[i][1]), confidenceInterval(results[i][2]))
		}
	}
	t.Log("\n" + out.String())
}

// confidenceInterval returns the mean of a sample with its 95 % confidence interval.
func confidenceInterval(sample []float64) string {
	mean, deviation := stat.MeanStdDev(sample, nil)
	quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(sample) - 1)}.Quantile(0.975)
	return fmt.Sprintf("%.2f ± %.2f", mean, quantile*deviation/math.Sqrt(float64(len(sample))))
}
