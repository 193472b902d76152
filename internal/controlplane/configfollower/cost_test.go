package configfollower_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"mothrouter/internal/controlplane/configfollower"
	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

var (
	costBrokers  = flag.Int("cost", 0, "brokers of the measurement of cost; 0: it is not run")
	costDuration = flag.Duration("cost-for", 30*time.Second, "how long cost is measured")
)

const (
	costHubs            = 4
	costDocument        = 16 << 10
	costPublishInterval = 3200 * time.Millisecond // ten times 2,700 changes a day
	costHubsVariable    = "CONFIG_COST_HUBS"      // set in the process of the hubs
)

// hubUsage is what the process of the hubs tells at its end.
type hubUsage struct {
	ProcessorSeconds float64 `json:"processor_seconds"`
	BytesIn          int64   `json:"bytes_in"`
	BytesOut         int64   `json:"bytes_out"`
	Revisions        int     `json:"revisions"`
	EverywhereMS     []int64 `json:"everywhere_ms"` // by hub and revision: publication to in force at all its brokers
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	in, out *atomic.Int64
}

type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.in, l.out}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// cpuSeconds is what this process has used, in user and in system mode.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// TestPropagationCostHubProcess is the process of the hubs: it tells its addresses, and measures from one line of its input to the next.
func TestPropagationCostHubProcess(t *testing.T) {
	if os.Getenv(costHubsVariable) == "" {
		t.Skip("only as a part of TestCost")
	}
	var in, out atomic.Int64
	var servers []*confighub.Hub
	for range costHubs {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := &controlMachine{hub: confighub.New(slog.New(slog.DiscardHandler)), grpc: grpc.NewServer(confighub.ServerOptions()...)}
		configpb.RegisterControlServer(s.grpc, s)
		go func() { _ = s.grpc.Serve(countingListener{listener, &in, &out}) }()
		servers = append(servers, s.hub)
		fmt.Println("address", listener.Addr())
	}
	commands := make(chan string)
	go func() {
		lines := bufio.NewScanner(os.Stdin)
		for lines.Scan() {
			commands <- lines.Text()
		}
		close(commands)
	}()
	var cost hubUsage
	confirm, publish := time.NewTicker(250*time.Millisecond), time.NewTicker(costPublishInterval)
	measured, number := false, uint64(0)
	var seconds float64
	var bytesIn, bytesOut int64
	for {
		select {
		case <-confirm.C:
			for _, hub := range servers {
				require.NoError(t, hub.SetNewest(nil, time.Now()))
			}
		case <-publish.C:
			number++
			revision := revisionOf(number, fmt.Sprint(number)+strings.Repeat("x", costDocument))
			for _, hub := range servers {
				require.NoError(t, hub.SetNewest(revision, time.Now()))
			}
			if measured {
				cost.Revisions++
			}
		case _, more := <-commands:
			if more {
				measured, seconds, bytesIn, bytesOut = true, cpuSeconds(), in.Load(), out.Load()
				continue
			}
			cost.ProcessorSeconds = cpuSeconds() - seconds
			cost.BytesIn, cost.BytesOut = in.Load()-bytesIn, out.Load()-bytesOut
			for _, hub := range servers {
				for _, x := range hub.Status().InForce {
					if int(number-x.GetNumber()) < cost.Revisions && x.GetEverywhereUnixMs() != 0 {
						cost.EverywhereMS = append(cost.EverywhereMS, x.GetEverywhereUnixMs()-x.GetPublishedUnixMs())
					}
				}
			}
			text, err := json.Marshal(cost)
			require.NoError(t, err)
			fmt.Println("cost", string(text))
			return
		}
	}
}

// TestPropagationCost measures what many hollow brokers and four hubs cost, in two processes on loopback.
func TestPropagationCost(t *testing.T) {
	n := *costBrokers
	if n == 0 {
		t.Skip("run it by -cost BROKERS")
	}
	hubs := exec.Command(os.Args[0], "-test.run", "^TestCostHubs$", "-test.v")
	hubs.Env = append(os.Environ(), costHubsVariable+"=1")
	input, err := hubs.StdinPipe()
	require.NoError(t, err)
	output, err := hubs.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, hubs.Start())
	defer func() { _ = hubs.Wait() }()
	defer input.Close()
	lines := bufio.NewScanner(output)
	var control []distribution.Machine
	for len(control) < costHubs && lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "address "); ok {
			control = append(control, distribution.Machine{Address: address})
		}
	}
	require.Len(t, control, costHubs)

	heapBefore := heapInUse()
	var applied atomic.Int64
	var clients []*configfollower.Client
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i := range n {
		client, err := configfollower.New(configfollower.Options{
			Name: fmt.Sprint("broker-", i), StartedAt: time.Now(), Machines: control, FleetSize: n, Seed: uint64(i),
			Log: slog.New(slog.DiscardHandler),
			Apply: func(*configpb.Revision) *configpb.Refusal {
				applied.Add(1)
				return nil
			},
		})
		require.NoError(t, err)
		clients = append(clients, client)
		running.Go(func() { client.Run(ctx) })
	}
	inForce := func() (all int) {
		for _, client := range clients {
			if client.Status().InForce > 0 {
				all++
			}
		}
		return all
	}
	require.Eventually(t, func() bool { return inForce() == n }, 20*time.Second, 200*time.Millisecond)

	fmt.Fprintln(input, "measure")
	seconds, appliedBefore := cpuSeconds(), applied.Load()
	time.Sleep(*costDuration)
	seconds, appliedBefore = cpuSeconds()-seconds, applied.Load()-appliedBefore
	heap := heapInUse() - heapBefore
	require.NoError(t, input.Close())
	var cost hubUsage
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "cost "); ok {
			require.NoError(t, json.Unmarshal([]byte(text), &cost))
		}
	}
	require.NotZero(t, cost.Revisions)
	perBroker := func(x float64) float64 { return x / float64(n) / costDuration.Seconds() }
	result, err := json.Marshal(map[string]any{
		"brokers": n, "hubs": costHubs, "seconds": costDuration.Seconds(), "document_bytes": costDocument,
		"change_every_s": costPublishInterval.Seconds(), "revisions": cost.Revisions, "applied": appliedBefore,
		"broker_core_percent":       100 * perBroker(seconds),
		"hub_core_percent_each":     100 * cost.ProcessorSeconds / costHubs / costDuration.Seconds(),
		"broker_bytes_in_a_second":  perBroker(float64(cost.BytesOut)),
		"broker_bytes_out_a_second": perBroker(float64(cost.BytesIn)),
		"broker_heap_bytes":         float64(heap) / float64(n),
		"everywhere_ms":             cost.EverywhereMS,
	})
	require.NoError(t, err)
	fmt.Println("RESULT", string(result))
}

// heapInUse is the memory of the heap and of stacks, after a collection.
func heapInUse() int64 {
	runtime.GC()
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
