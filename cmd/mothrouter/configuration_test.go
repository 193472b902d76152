package main_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
)

// controlMachine is a control machine on a loopback address. It serves the revisions that the test publishes.
type controlMachine struct {
	configpb.UnimplementedControlServer
	hub     *confighub.Hub
	grpc    *grpc.Server
	address string
	newest  *configpb.Revision
	stopped chan struct{} // closed when the gRPC server has stopped
}

func (m *controlMachine) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	return m.hub.Follow(stream)
}

func newControlMachine(t *testing.T) *controlMachine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &controlMachine{hub: confighub.New(slog.New(slog.DiscardHandler)),
		grpc: grpc.NewServer(confighub.ServerOptions()...), address: l.Addr().String(), stopped: make(chan struct{})}
	configpb.RegisterControlServer(m.grpc, m)
	go func() {
		defer close(m.stopped)
		_ = m.grpc.Serve(l)
	}()
	t.Cleanup(m.stop)
	return m
}

func (m *controlMachine) stop() {
	m.grpc.Stop()
	<-m.stopped
}

// publish makes a document the newest revision and returns its number.
func (m *controlMachine) publish(t *testing.T, document string) uint64 {
	m.newest = &configpb.Revision{Number: m.newest.GetNumber() + 1, Document: []byte(document),
		Checksum: configpb.Checksum([]byte(document)), PublishedUnixMs: time.Now().UnixMilli()}
	require.NoError(t, m.hub.SetNewest(m.newest, time.Now()))
	return m.newest.GetNumber()
}

// flags returns the flags of a broker that follows the control machine.
func (m *controlMachine) flags(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "configuration.toml")
	text := fmt.Sprintf("zone = \"bern-1\"\n[[control]]\naddress = %q\n", m.address)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return []string{"-configuration", path}
}

// startupDocument returns the configuration document that the broker was started with. Each pair of the arguments is a text
// in it and its replacement.
func (b *servingBroker) startupDocument(replacements ...string) string {
	text, err := os.ReadFile(b.configPath)
	require.NoError(b.t, err)
	var file struct {
		Discovery string          `json:"discovery"`
		Settings  json.RawMessage `json:"settings"`
	}
	require.NoError(b.t, json.Unmarshal(text, &file))
	document, err := json.Marshal(file)
	require.NoError(b.t, err)
	for i := 0; i < len(replacements); i += 2 {
		require.Contains(b.t, string(document), replacements[i])
		document = []byte(strings.Replace(string(document), replacements[i], replacements[i+1], 1))
	}
	return string(document)
}

// waitForLog waits until the program has logged a line that contains all of the given texts.
func (b *servingBroker) waitForLog(texts ...string) {
	b.t.Helper()
	require.Eventually(b.t, func() bool { return b.hasLogged(texts...) }, 10*time.Second, 20*time.Millisecond,
		"no line has all of %q in\n%s", texts, &b.log)
}

// hasLogged reports whether the program has logged a line that contains all of the given texts.
func (b *servingBroker) hasLogged(texts ...string) bool {
	for line := range strings.Lines(b.log.String()) {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			return true
		}
	}
	return false
}

// startClients runs clients that send one query after the other until stop is called. The counter served has the number of
// successful answers so far; stop returns all other answers.
func (b *servingBroker) startClients(clients int) (served *atomic.Int64, stop func() (unsuccessful []string)) {
	var clientLoops sync.WaitGroup
	var stopped atomic.Bool
	var mu sync.Mutex // guards unsuccessful
	var unsuccessful []string
	served = new(atomic.Int64)
	for i := range clients {
		clientLoops.Go(func() {
			c := b.dial()
			for n := 0; !stopped.Load(); n++ {
				answer := c.roundTrip(queryRequest(fmt.Sprintf("l%d-%d", i, n)))
				if strings.Contains(answer, " 200 ") {
					served.Add(1)
					continue
				}
				mu.Lock()
				unsuccessful = append(unsuccessful, answer)
				mu.Unlock()
			}
		})
	}
	return served, func() []string {
		stopped.Store(true)
		clientLoops.Wait()
		return unsuccessful
	}
}

// Revisions are put in force under load, with one loop and with several, and no request is lost. A revision that needs a
// restart is rejected with its key, and the revision before it stays in force. A broker that is started while the control
// machine is down serves with its startup configuration.
func TestRevisionsApplyWithoutLosingRequests(t *testing.T) {
	for _, cores := range []bool{false, true} {
		t.Run(fmt.Sprint("several cores ", cores), func(t *testing.T) {
			t.Parallel()
			machine := newControlMachine(t)
			flags := machine.flags(t)
			if cores {
				flags = append(flags, "-cores", coresFile)
			}
			broker := startServingBroker(t, flags...)
			broker.waitForLog("connected to a control machine")
			served, stop := broker.startClients(4)
			for i := range 20 {
				number := machine.publish(t, broker.startupDocument(`"openCap":400`, fmt.Sprintf(`"openCap":%d`, 300+i),
					`"deadlineS":4,"objectiveS":1`, fmt.Sprintf(`"deadlineS":%g,"objectiveS":0.9`, 3+0.1*float64(i))))
				broker.waitForLog("revision in force", fmt.Sprintf(" number=%d ", number))
				before := served.Load()
				require.Eventually(t, func() bool { return served.Load() >= before+10 }, waitTimeout, time.Millisecond)
			}
			rejected := machine.publish(t, broker.startupDocument(
				`"semantics":"single_shot"`, `"semantics":"free"`, `"openCap":400`, `"openCap":1`))
			broker.waitForLog("revision rejected", fmt.Sprintf(" number=%d ", rejected), "settings.classes[1].semantics",
				"in_force=20")
			require.Empty(t, stop())
			require.GreaterOrEqual(t, served.Load(), int64(200))
			require.Contains(t, broker.dial().roundTrip(queryRequest("after-rejection")), " 200 ")

			number := machine.publish(t, broker.startupDocument(`"openCap":400`, `"openCap":1`)) // too low for a query and its part
			broker.waitForLog("revision in force", fmt.Sprintf(" number=%d ", number))
			require.Contains(t, broker.dial().roundTrip(queryRequest("over-limit")), " 503 ")

			machine.stop()
			broker.waitForLog("disconnected from a control machine")
			require.Contains(t, broker.dial().roundTrip(queryRequest("over-limit-disconnected")), " 503 ")
			require.NoError(t, broker.cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(t, broker.cmd.Wait())

			restarted := startServingBroker(t, flags...) // the control machine is down
			require.Contains(t, restarted.dial().roundTrip(queryRequest("startup-configuration")), " 200 ")
			restarted.waitForLog("serving with the startup configuration")
		})
	}
}

// The latest address of the discovery service is used, whether a revision sets it or the configuration file on SIGHUP.
func TestDiscoveryFollowsLatestAddress(t *testing.T) {
	t.Parallel()
	machine := newControlMachine(t)
	broker := startServingBroker(t, machine.flags(t)...)
	broker.waitForLog("connected to a control machine")
	first := broker.listener("discovery").Addr().String()
	var listeners []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		listeners = append(listeners, l)
	}
	requireConnection := func(l net.Listener) {
		require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout)))
		c, err := l.Accept()
		require.NoError(t, err)
		c.Close()
	}
	document := broker.startupDocument()
	second, third := listeners[0].Addr().String(), listeners[1].Addr().String()
	machine.publish(t, strings.Replace(document, first, second, 1))
	requireConnection(listeners[0])
	broker.waitForLog("discovery address changed", first, second, "revision")

	text, err := os.ReadFile(broker.configPath)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(broker.configPath, []byte(strings.Replace(string(text), first, third, 1)), 0o600))
	require.NoError(t, broker.cmd.Process.Signal(syscall.SIGHUP))
	requireConnection(listeners[1])
	broker.waitForLog("discovery address changed", second, third, "file")
	require.NoError(t, broker.cmd.Process.Signal(syscall.SIGHUP)) // the file has the same address as before
	machine.publish(t, strings.Replace(document, first, second, 1)+" ")
	broker.waitForLog("discovery address changed", third, second, "revision")
	require.NoError(t, broker.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool {
		return strings.Count(broker.log.String(), "configuration reloaded") == 3
	}, waitTimeout, 20*time.Millisecond)
	require.Equal(t, 3, strings.Count(broker.log.String(), "discovery address changed"), "%s", &broker.log)
}

func TestConfigurationFileErrorNamesKey(t *testing.T) {
	t.Parallel()
	requireFileRejected(t, "-configuration", map[string]string{
		"": "configuration.control: 0 entries not allowed, want 1 to 8 entries",
		"speed = 1\n[[control]]\naddress = \"127.0.0.1:1\"":    "configuration.speed: unknown key not allowed, want one of name, zone, region, control",
		"[[control]]\naddress = \"x\"":                         "configuration.control[0].address: ",
		"[[control]]\naddress = \"127.0.0.1:1\"\nweight = 2\n": "configuration.control.weight: unknown key not allowed, want one of address, zone, region",
	})
}
