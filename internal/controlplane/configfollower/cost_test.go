package configfollower_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
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
	costBrokers  = flag.Int("cost", 0, "brokers of the measurement of cost; 0: it does not run")
	costDuration = flag.Duration("cost-for", 30*time.Second, "how long cost is measured")
)

const (
	costHubs            = 4
	costDocument        = 16 << 10 // bytes
	costConfirmInterval = 250 * time.Millisecond
	costPublishInterval = 3200 * time.Millisecond // ten times 2,700 changes a day
	costHubsVariable    = "CONFIG_COST_HUBS"      // environment variable, set in the process of the hubs
)

// hubUsage is the usage of the process of the hubs, as it prints it.
type hubUsage struct {
	ProcessorSeconds float64 `json:"processor_seconds"`
	BytesIn          int64   `json:"bytes_in"`
	BytesOut         int64   `json:"bytes_out"`
	Revisions        int     `json:"revisions"`
	EverywhereMS     []int64 `json:"everywhere_ms"` // for each hub and revision, from publication to in force at all its brokers
}

// countingListener adds the bytes of its connections to two counters.
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

// cpuSeconds returns the processor time of this process, in user and in system mode.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// TestPropagationCostHubProcess is the process of the hubs, which TestPropagationCost starts. It prints the hubs'
// addresses, measures from the first line of its input to the end of the input, and prints its usage.
func TestPropagationCostHubProcess(t *testing.T) {
	if os.Getenv(costHubsVariable) == "" {
		t.Skip("only as the second process of TestPropagationCost")
	}
	p := &hubProcess{}
	p.startHubs(t)
	commands := readLines(os.Stdin)
	confirm, publish := time.NewTicker(costConfirmInterval), time.NewTicker(costPublishInterval)
	for {
		select {
		case <-confirm.C:
			p.confirm(t)
		case <-publish.C:
			p.publish(t)
		case _, more := <-commands:
			if more {
				p.startMeasurement()
				continue
			}
			usage, err := json.Marshal(p.usage())
			require.NoError(t, err)
			fmt.Println("cost", string(usage))
			return
		}
	}
}

// hubProcess is the state of TestPropagationCostHubProcess.
type hubProcess struct {
	in, out   atomic.Int64 // bytes of all connections
	hubs      []*confighub.Hub
	newest    uint64 // number of the newest revision
	measuring bool
	start     hubUsage // at the start of the measurement
	revisions int      // published during the measurement
}

func (p *hubProcess) startHubs(t *testing.T) {
	for range costHubs {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		machine := &controlMachine{
			hub:  confighub.New(slog.New(slog.DiscardHandler)),
			grpc: grpc.NewServer(confighub.ServerOptions()...),
		}
		configpb.RegisterControlServer(machine.grpc, machine)
		go func() { _ = machine.grpc.Serve(countingListener{listener, &p.in, &p.out}) }()
		p.hubs = append(p.hubs, machine.hub)
		fmt.Println("address", listener.Addr())
	}
}

func (p *hubProcess) confirm(t *testing.T) {
	for _, hub := range p.hubs {
		require.NoError(t, hub.SetNewest(nil, time.Now()))
	}
}

func (p *hubProcess) publish(t *testing.T) {
	p.newest++
	revision := revisionOf(p.newest, fmt.Sprint(p.newest)+strings.Repeat("x", costDocument))
	for _, hub := range p.hubs {
		require.NoError(t, hub.SetNewest(revision, time.Now()))
	}
	if p.measuring {
		p.revisions++
	}
}

func (p *hubProcess) startMeasurement() {
	p.measuring = true
	p.start = hubUsage{ProcessorSeconds: cpuSeconds(), BytesIn: p.in.Load(), BytesOut: p.out.Load()}
}

// usage returns what the hubs have used since the start of the measurement.
func (p *hubProcess) usage() hubUsage {
	usage := hubUsage{
		ProcessorSeconds: cpuSeconds() - p.start.ProcessorSeconds,
		BytesIn:          p.in.Load() - p.start.BytesIn,
		BytesOut:         p.out.Load() - p.start.BytesOut,
		Revisions:        p.revisions,
	}
	for _, hub := range p.hubs {
		for _, x := range hub.Status().InForce {
			if int(p.newest-x.GetNumber()) < p.revisions && x.GetEverywhereUnixMs() != 0 {
				usage.EverywhereMS = append(usage.EverywhereMS, x.GetEverywhereUnixMs()-x.GetPublishedUnixMs())
			}
		}
	}
	return usage
}

// readLines sends the lines of a reader, and closes the channel at its end.
func readLines(reader io.Reader) <-chan string {
	lines := make(chan string)
	go func() {
		defer close(lines)
		scanner := bufio.NewScanner(reader)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
	}()
	return lines
}

// TestPropagationCost measures the processor time, memory and bytes of many clients and four hubs, in two processes on
// loopback. It runs only with the flag -cost.
func TestPropagationCost(t *testing.T) {
	brokers := *costBrokers
	if brokers == 0 {
		t.Skip("run it by -cost BROKERS")
	}
	hubs := startHubProcess(t)
	defer func() { _ = hubs.command.Wait() }()
	defer hubs.input.Close()
	machines := hubs.readAddresses(t)

	heapBefore := heapInUse()
	fleet := startCostFleet(t, brokers, machines)
	defer fleet.stop()
	require.Eventually(t, func() bool { return fleet.inForce() == brokers }, 20*time.Second, 200*time.Millisecond)

	fmt.Fprintln(hubs.input, "measure")
	seconds, applied := cpuSeconds(), fleet.applied.Load()
	time.Sleep(*costDuration)
	seconds, applied = cpuSeconds()-seconds, fleet.applied.Load()-applied
	heap := heapInUse() - heapBefore
	usage := hubs.readUsage(t)
	perBroker := func(x float64) float64 { return x / float64(brokers) / costDuration.Seconds() }
	result, err := json.Marshal(map[string]any{
		"brokers": brokers, "hubs": costHubs, "seconds": costDuration.Seconds(), "document_bytes": costDocument,
		"change_every_s": costPublishInterval.Seconds(), "revisions": usage.Revisions, "applied": applied,
		"broker_core_percent":       100 * perBroker(seconds),
		"hub_core_percent_each":     100 * usage.ProcessorSeconds / costHubs / costDuration.Seconds(),
		"broker_bytes_in_a_second":  perBroker(float64(usage.BytesOut)),
		"broker_bytes_out_a_second": perBroker(float64(usage.BytesIn)),
		"broker_heap_bytes":         float64(heap) / float64(brokers),
		"everywhere_ms":             usage.EverywhereMS,
	})
	require.NoError(t, err)
	fmt.Println("RESULT", string(result))
}

// hubCommand is the process of the hubs, as seen by TestPropagationCost.
type hubCommand struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Scanner
}

func startHubProcess(t *testing.T) *hubCommand {
	command := exec.Command(os.Args[0], "-test.run", "^TestPropagationCostHubProcess$", "-test.v")
	command.Env = append(os.Environ(), costHubsVariable+"=1")
	input, err := command.StdinPipe()
	require.NoError(t, err)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	return &hubCommand{command: command, input: input, output: bufio.NewScanner(output)}
}

// readAddresses returns the addresses that the process prints at its start.
func (c *hubCommand) readAddresses(t *testing.T) []distribution.ControlMachine {
	var machines []distribution.ControlMachine
	for len(machines) < costHubs && c.output.Scan() {
		if address, ok := strings.CutPrefix(c.output.Text(), "address "); ok {
			machines = append(machines, distribution.ControlMachine{Address: address})
		}
	}
	require.Len(t, machines, costHubs)
	return machines
}

// readUsage ends the process, and returns the usage that it prints.
func (c *hubCommand) readUsage(t *testing.T) hubUsage {
	require.NoError(t, c.input.Close())
	var usage hubUsage
	for c.output.Scan() {
		if text, ok := strings.CutPrefix(c.output.Text(), "cost "); ok {
			require.NoError(t, json.Unmarshal([]byte(text), &usage))
		}
	}
	require.NotZero(t, usage.Revisions)
	return usage
}

// costFleet is the clients of TestPropagationCost.
type costFleet struct {
	clients []*configfollower.Client
	applied atomic.Int64 // revisions, by all clients
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startCostFleet(t *testing.T, brokers int, machines []distribution.ControlMachine) *costFleet {
	f := &costFleet{}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	for i := range brokers {
		client, err := configfollower.New(configfollower.Options{
			Name:      fmt.Sprint("broker-", i),
			StartedAt: time.Now(),
			Machines:  machines,
			FleetSize: brokers,
			Seed:      uint64(i),
			Log:       slog.New(slog.DiscardHandler),
			Apply: func(*configpb.Revision) *configpb.Refusal {
				f.applied.Add(1)
				return nil
			},
		})
		require.NoError(t, err)
		f.clients = append(f.clients, client)
		f.running.Go(func() { client.Run(ctx) })
	}
	return f
}

// stop stops the clients and waits for their end.
func (f *costFleet) stop() {
	f.cancel()
	f.running.Wait()
}

// inForce returns the number of clients with a revision in force.
func (f *costFleet) inForce() (count int) {
	for _, client := range f.clients {
		if client.Status().InForce > 0 {
			count++
		}
	}
	return count
}

// heapInUse returns the bytes of the heap and of the stacks, after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
