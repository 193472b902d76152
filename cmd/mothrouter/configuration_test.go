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

// controlMachine is a control machine on loopback that serves the revisions which the test publishes.
type controlMachine struct {
	configpb.UnimplementedControlServer
	hub     *confighub.Hub
	grpc    *grpc.Server
	address string
	newest  *configpb.Revision
	ended   chan struct{}
}

func (m *controlMachine) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	return m.hub.Follow(stream)
}

func newControlMachine(t *testing.T) *controlMachine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &controlMachine{hub: confighub.New(slog.New(slog.DiscardHandler)),
		grpc: grpc.NewServer(confighub.ServerOptions()...), address: l.Addr().String(), ended: make(chan struct{})}
	configpb.RegisterControlServer(m.grpc, m)
	go func() {
		defer close(m.ended)
		_ = m.grpc.Serve(l)
	}()
	t.Cleanup(m.stop)
	return m
}

func (m *controlMachine) stop() {
	m.grpc.Stop()
	<-m.ended
}

// publish makes a document the newest revision and returns its number.
func (m *controlMachine) publish(t *testing.T, document string) uint64 {
	m.newest = &configpb.Revision{Number: m.newest.GetNumber() + 1, Document: []byte(document),
		Checksum: configpb.Checksum([]byte(document)), PublishedUnixMs: time.Now().UnixMilli()}
	require.NoError(t, m.hub.SetNewest(m.newest, time.Now()))
	return m.newest.GetNumber()
}

// flags returns the flags of a broker that follows the machine.
func (m *controlMachine) flags(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "configuration.toml")
	text := fmt.Sprintf("zone = \"bern-1\"\n[[control]]\naddress = %q\n", m.address)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return []string{"-configuration", path}
}

// documentOf returns the configuration document that the broker was started with, changed by pairs of old and new text.
func (b *servingBroker) documentOf(changes ...string) string {
	text, err := os.ReadFile(b.configPath)
	require.NoError(b.t, err)
	var file struct {
		Discovery string          `json:"discovery"`
		Settings  json.RawMessage `json:"settings"`
	}
	require.NoError(b.t, json.Unmarshal(text, &file))
	document, err := json.Marshal(file)
	require.NoError(b.t, err)
	for i := 0; i < len(changes); i += 2 {
		require.Contains(b.t, string(document), changes[i])
		document = []byte(strings.Replace(string(document), changes[i], changes[i+1], 1))
	}
	return string(document)
}

// waitForLog waits until the program has logged a line that contains all of the words.
func (b *servingBroker) waitForLog(words ...string) {
	b.t.Helper()
	require.Eventually(b.t, func() bool { return b.hasLogged(words...) }, 10*time.Second, 20*time.Millisecond,
		"no line has all of %q in\n%s", words, &b.log)
}

func (b *servingBroker) hasLogged(words ...string) bool {
	for line := range strings.Lines(b.log.String()) {
		all := true
		for _, word := range words {
			all = all && strings.Contains(line, word)
		}
		if all {
			return true
		}
	}
	return false
}

// startClients runs clients that send one query after the other until stop is called. Served counts the successful
// answers so far; stop returns all others.
func (b *servingBroker) startClients(clients int) (served *atomic.Int64, stop func() (others []string)) {
	var asking sync.WaitGroup
	var mu sync.Mutex
	var ended atomic.Bool
	var others []string
	served = new(atomic.Int64)
	for i := range clients {
		asking.Go(func() {
			c := b.dial()
			for n := 0; !ended.Load(); n++ {
				answer := c.roundTrip(queryRequest(fmt.Sprintf("l%d-%d", i, n)))
				if strings.Contains(answer, " 200 ") {
					served.Add(1)
					continue
				}
				mu.Lock()
				others = append(others, answer)
				mu.Unlock()
			}
		})
	}
	return served, func() []string {
		ended.Store(true)
		asking.Wait()
		return others
	}
}

// Revisions are put in force under load, with one loop and with several, and no request is lost. One that needs a
// restart is rejected by its key, and the revision before it stays in force. Without a control machine a broker serves
// by its file.
func TestRevisionsApplyWithoutLosingRequests(t *testing.T) {
	for _, cores := range []bool{false, true} {
		t.Run(fmt.Sprint("several cores ", cores), func(t *testing.T) {
			t.Parallel()
			m := newControlMachine(t)
			flags := m.flags(t)
			if cores {
				flags = append(flags, "-cores", coresFile)
			}
			b := startServingBroker(t, flags...)
			b.waitForLog("connected to a control machine")
			served, stop := b.startClients(4)
			for i := range 20 {
				number := m.publish(t, b.documentOf(`"openCap":400`, fmt.Sprintf(`"openCap":%d`, 300+i),
					`"deadlineS":4,"objectiveS":1`, fmt.Sprintf(`"deadlineS":%g,"objectiveS":0.9`, 3+0.1*float64(i))))
				b.waitForLog("revision in force", fmt.Sprintf(" number=%d ", number))
				before := served.Load()
				require.Eventually(t, func() bool { return served.Load() >= before+10 }, waitTimeout, time.Millisecond)
			}
			refused := m.publish(t, b.documentOf(
				`"semantics":"single_shot"`, `"semantics":"free"`, `"openCap":400`, `"openCap":1`))
			b.waitForLog("revision rejected", fmt.Sprintf(" number=%d ", refused), "settings.classes[1].semantics",
				"in_force=20")
			require.Empty(t, stop())
			require.GreaterOrEqual(t, served.Load(), int64(200))
			require.Contains(t, b.dial().roundTrip(queryRequest("held-by-the-refused-cap")), " 200 ")

			number := m.publish(t, b.documentOf(`"openCap":400`, `"openCap":1`)) // too low for a query and its part
			b.waitForLog("revision in force", fmt.Sprintf(" number=%d ", number))
			require.Contains(t, b.dial().roundTrip(queryRequest("no-room")), " 503 ")

			m.stop()
			b.waitForLog("disconnected from a control machine")
			require.Contains(t, b.dial().roundTrip(queryRequest("no-room-still")), " 503 ")
			require.NoError(t, b.cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(t, b.cmd.Wait())

			again := startServingBroker(t, flags...) // the control machine is down
			require.Contains(t, again.dial().roundTrip(queryRequest("by-the-file")), " 200 ")
			again.waitForLog("serving with the startup configuration")
		})
	}
}

// The latest address of discovery is used, whether it is set by a revision or by the file on SIGHUP.
func TestDiscoveryFollowsLatestAddress(t *testing.T) {
	t.Parallel()
	m := newControlMachine(t)
	b := startServingBroker(t, m.flags(t)...)
	b.waitForLog("connected to a control machine")
	first := b.listener("discovery").Addr().String()
	var places []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		places = append(places, l)
	}
	called := func(l net.Listener) {
		require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout)))
		c, err := l.Accept()
		require.NoError(t, err)
		c.Close()
	}
	start := b.documentOf()
	second, third := places[0].Addr().String(), places[1].Addr().String()
	m.publish(t, strings.Replace(start, first, second, 1))
	called(places[0])
	b.waitForLog("discovery address changed", first, second, "revision")

	text, err := os.ReadFile(b.configPath)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(b.configPath, []byte(strings.Replace(string(text), first, third, 1)), 0o600))
	require.NoError(t, b.cmd.Process.Signal(syscall.SIGHUP))
	called(places[1])
	b.waitForLog("discovery address changed", second, third, "file")
	require.NoError(t, b.cmd.Process.Signal(syscall.SIGHUP)) // the file has the same address as before
	m.publish(t, strings.Replace(start, first, second, 1)+" ")
	b.waitForLog("discovery address changed", third, second, "revision")
	require.NoError(t, b.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool {
		return strings.Count(b.log.String(), "configuration reloaded") == 3
	}, waitTimeout, 20*time.Millisecond)
	require.Equal(t, 3, strings.Count(b.log.String(), "discovery address changed"), "%s", &b.log)
}

func TestConfigurationFileRejectedByKey(t *testing.T) {
	t.Parallel()
	requireFileRejected(t, "-configuration", map[string]string{
		"": "configuration.control: 0 entries not allowed, want 1 to 8 entries",
		"speed = 1\n[[control]]\naddress = \"127.0.0.1:1\"":    "configuration.speed: unknown key not allowed, want one of name, zone, region, control",
		"[[control]]\naddress = \"x\"":                         "configuration.control[0].address: ",
		"[[control]]\naddress = \"127.0.0.1:1\"\nweight = 2\n": "configuration.control.weight: unknown key not allowed, want one of address, zone, region",
	})
}
