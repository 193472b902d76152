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
	costBrokers  = flag.Int("cost", 0, "number of brokers in TestPropagationCost; 0: skip it")
	costDuration = flag.Duration("cost-for", 30*time.Second, "duration of the measurement in TestPropagationCost")
)

const (
	costHubs            = 4
	costDocumentBytes   = 16 << 10
	costConfirmInterval = 250 * time.Millisecond
	costPublishInterval = 3200 * time.Millisecond // ten times the rate of 2,700 changes a day
	costHubsVariable    = "CONFIG_COST_HUBS"      // environment variable that is set in the hub process
)

// hubUsage is the resource usage that the hub process prints.
type hubUsage struct {
	ProcessorSeconds float64 `json:"processor_seconds"`
	BytesIn          int64   `json:"bytes_in"`
	BytesOut         int64   `json:"bytes_out"`
	Revisions        int     `json:"revisions"`
	EverywhereMS     []int64 `json:"everywhere_ms"` // per hub and revision: from publication until all its brokers have it in force
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	in, out *atomic.Int64
}

// countingConn adds the bytes that it reads and writes to two counters.
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

// cpuSeconds returns the CPU time of this process in user and in kernel mode.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// TestPropagationCostHubProcess is the hub process, which TestPropagationCost starts. It prints the addresses of the hubs,
// measures its resource usage from the first line on standard input to the end of the input, and prints it.
func TestPropagationCostHubProcess(t *testing.T) {
	if os.Getenv(costHubsVariable) == "" {
		t.Skip("runs only as the second process of TestPropagationCost")
	}
	p := &hubProcess{}
	p.startHubs(t)
	commands := readLines(os.Stdin)
	confirmTicker, publishTicker := time.NewTicker(costConfirmInterval), time.NewTicker(costPublishInterval)
	for {
		select {
		case <-confirmTicker.C:
			p.confirm(t)
		case <-publishTicker.C:
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
	in, out      atomic.Int64 // bytes read and written by all connections
	hubs         []*confighub.Hub
	newest       uint64 // number of the newest revision
	measuring    bool
	usageAtStart hubUsage // counters at the start of the measurement
	revisions    int      // number of revisions published during the measurement
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
	revision := newRevision(p.newest, fmt.Sprint(p.newest)+strings.Repeat("x", costDocumentBytes))
	for _, hub := range p.hubs {
		require.NoError(t, hub.SetNewest(revision, time.Now()))
	}
	if p.measuring {
		p.revisions++
	}
}

func (p *hubProcess) startMeasurement() {
	p.measuring = true
	p.usageAtStart = hubUsage{ProcessorSeconds: cpuSeconds(), BytesIn: p.in.Load(), BytesOut: p.out.Load()}
}

// usage returns the resource usage of the hubs since the start of the measurement.
func (p *hubProcess) usage() hubUsage {
	usage := hubUsage{
		ProcessorSeconds: cpuSeconds() - p.usageAtStart.ProcessorSeconds,
		BytesIn:          p.in.Load() - p.usageAtStart.BytesIn,
		BytesOut:         p.out.Load() - p.usageAtStart.BytesOut,
		Revisions:        p.revisions,
	}
	for _, hub := range p.hubs {
		for _, revision := range hub.Status().InForce {
			if int(p.newest-revision.GetNumber()) < p.revisions && revision.GetEverywhereUnixMs() != 0 {
				usage.EverywhereMS = append(usage.EverywhereMS, revision.GetEverywhereUnixMs()-revision.GetPublishedUnixMs())
			}
		}
	}
	return usage
}

// readLines returns a channel that receives the lines of a reader and is closed at its end.
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

// TestPropagationCost measures the CPU time, memory and network traffic of many configuration followers and four hubs, in
// two processes on the loopback interface. It runs only with the flag -cost.
func TestPropagationCost(t *testing.T) {
	brokers := *costBrokers
	if brokers == 0 {
		t.Skip("runs only with -cost BROKERS")
	}
	hubs := startHubProcess(t)
	defer func() { _ = hubs.command.Wait() }()
	defer hubs.input.Close()
	machines := hubs.readAddresses(t)

	memoryBefore := memoryInUse()
	fleet := startCostFleet(t, brokers, machines)
	defer fleet.stop()
	require.Eventually(t, func() bool { return fleet.inForce() == brokers }, 20*time.Second, 200*time.Millisecond)

	fmt.Fprintln(hubs.input, "measure")
	cpu, applied := cpuSeconds(), fleet.applied.Load()
	time.Sleep(*costDuration)
	cpu, applied = cpuSeconds()-cpu, fleet.applied.Load()-applied
	memory := memoryInUse() - memoryBefore
	usage := hubs.readUsage(t)
	perBrokerSecond := func(total float64) float64 { return total / float64(brokers) / costDuration.Seconds() }
	result, err := json.Marshal(map[string]any{
		"brokers": brokers, "hubs": costHubs, "seconds": costDuration.Seconds(), "document_bytes": costDocumentBytes,
		"change_every_s": costPublishInterval.Seconds(), "revisions": usage.Revisions, "applied": applied,
		"broker_core_percent":       100 * perBrokerSecond(cpu),
		"hub_core_percent_each":     100 * usage.ProcessorSeconds / costHubs / costDuration.Seconds(),
		"broker_bytes_in_a_second":  perBrokerSecond(float64(usage.BytesOut)),
		"broker_bytes_out_a_second": perBrokerSecond(float64(usage.BytesIn)),
		"broker_heap_bytes":         float64(memory) / float64(brokers),
		"everywhere_ms":             usage.EverywhereMS,
	})
	require.NoError(t, err)
	fmt.Println("RESULT", string(result))
}

// hubCommand is the hub process as started by TestPropagationCost.
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

// readAddresses returns the addresses that the hub process prints at its start.
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

// readUsage tells the hub process to end, and returns the resource usage that it prints.
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

// costFleet holds the clients of TestPropagationCost.
type costFleet struct {
	clients    []*configfollower.Client
	applied    atomic.Int64 // number of revisions applied by all clients
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
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
		f.goroutines.Go(func() { client.Run(ctx) })
	}
	return f
}

// stop stops the clients and waits until they have stopped.
func (f *costFleet) stop() {
	f.cancel()
	f.goroutines.Wait()
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

// memoryInUse returns the size of the heap and the stacks after a garbage collection, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
