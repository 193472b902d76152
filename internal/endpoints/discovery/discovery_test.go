package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/backoff"
	"mothrouter/internal/broker"
	"mothrouter/internal/endpoints/discovery"
)

// fakeDiscovery is a discovery service that answers each watch with one message, records the calls, and can close all of them.
type fakeDiscovery struct {
	net.Listener
	mu       sync.Mutex
	version  int         // of the latest message
	calledAt []time.Time // time of each call since the last drop
	conns    []net.Conn  // connections of these calls
}

// newFakeDiscovery starts a fakeDiscovery that is stopped at the end of the test.
func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	d := &fakeDiscovery{Listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

// serve answers one call.
func (d *fakeDiscovery) serve(conn net.Conn) {
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		return
	}
	d.mu.Lock()
	d.calledAt, d.conns = append(d.calledAt, time.Now()), append(d.conns, conn)
	d.version++
	version := d.version
	d.mu.Unlock()
	line := fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`+"\n", version)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
}

// drop closes all calls and clears their recorded times.
func (d *fakeDiscovery) drop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		conn.Close()
	}
	d.conns, d.calledAt = nil, nil
}

// calls returns the times of the calls since the last drop.
func (d *fakeDiscovery) calls() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.calledAt...)
}

// Guards against a thundering herd when all brokers of a fleet start, or lose their watch, at the same time: discovery would have to
// serve all their calls in the same millisecond. Guards also against calls so late that a drain is told later than it counts.
func TestWatchersReconnectAtDifferentTimesAfterSimultaneousLoss(t *testing.T) {
	const (
		fleetSize, brokers = 40, 20
		minSpread          = 50 * time.Millisecond
		drainCounts        = 250 * time.Millisecond // after discovery has it
	)
	lostAt := time.Now()
	d := newFakeDiscovery(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range brokers {
		w := &discovery.Watcher{Addr: d.Addr().String(), Update: func(broker.EndpointUpdate) {},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Backoff: backoff.New(fleetSize, uint64(i))}
		go w.Run(ctx)
	}
	for _, event := range []string{"start", "loss"} {
		require.Eventually(t, func() bool { return len(d.calls()) == brokers }, 4*time.Second, 5*time.Millisecond)
		calledAt := d.calls()
		require.Greater(t, calledAt[brokers-1].Sub(calledAt[0]), minSpread, event)
		require.Less(t, calledAt[brokers-1].Sub(lostAt), drainCounts, event)
		maxConcurrent := 0 // maximum number of calls within a fifth of the spread
		for i := range calledAt {
			for j := i; j < brokers && calledAt[j].Sub(calledAt[i]) < minSpread/5; j++ {
				maxConcurrent = max(maxConcurrent, j-i+1)
			}
		}
		require.Less(t, maxConcurrent, brokers/2, event)
		lostAt = time.Now()
		d.drop()
	}
}

// newScriptedDiscovery starts a discovery service that serves each call with the next step, and all further calls with the last
// step. requests returns the request lines of all calls.
func newScriptedDiscovery(t *testing.T, steps ...func(net.Conn)) (addr string, requests func() []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	var lines []string
	go func() {
		for i := 0; ; i++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			step := steps[min(i, len(steps)-1)]
			go func() {
				line, _ := bufio.NewReader(conn).ReadString('\n')
				mu.Lock()
				lines = append(lines, line)
				mu.Unlock()
				step(conn)
			}()
		}
	}()
	return l.Addr().String(), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), lines...)
	}
}

// okHeader is the response header of a watch.
const okHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns a text as one chunk of a chunked response.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// respond returns a step that sends a text.
func respond(text string) func(net.Conn) { return func(conn net.Conn) { fmt.Fprint(conn, text) } }

// runWatcher runs a watcher with the backoff of a small fleet until the end of the test. It returns a channel of its updates.
func runWatcher(t *testing.T, addr string) chan broker.EndpointUpdate {
	updates := make(chan broker.EndpointUpdate, 10)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &discovery.Watcher{Addr: addr, Since: 5, Update: func(update broker.EndpointUpdate) { updates <- update },
		NameTable: discovery.NameTable{Zones: []string{"a"}, Kinds: []string{"m"}},
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)), Backoff: backoff.New(3, 1)}
	go w.Run(ctx)
	return updates
}

// message returns a message with one server.
func message(version int, full bool) string {
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[{"id":"s","addr":"127.0.0.1:1","zone":"a","kind":"m","state":"leaving"}]}`,
		version, full) + "\n"
}

// An update that a silent watch misses takes effect 6 s after the last message. Whatever the watch receives instead of a
// complete message, another call must have received the update by then, starting from the version received last.
func TestWatcherReplacesSilentWatchWithinUpdateDeadline(t *testing.T) {
	t.Parallel()
	first := okHeader + chunk(`{"version":7,"full":false,"servers":[]}`+"\n")
	incomplete := message(8, false)[:40]
	for name, silentStep := range map[string]func(net.Conn){
		"nothing":                        respond(first),
		"incomplete line":                respond(first + chunk(incomplete)),
		"incomplete chunk":               respond(first + fmt.Sprintf("%x\r\n", 1<<20)),
		"bytes without complete message": func(conn net.Conn) { writeSlowly(conn, first, incomplete) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, requests := newScriptedDiscovery(t, silentStep, respond(okHeader+chunk(message(9, false))))
			updates := runWatcher(t, addr)
			require.EqualValues(t, 7, (<-updates).Version)
			silentSince := time.Now()
			require.EqualValues(t, 9, (<-updates).Version)
			require.Less(t, time.Since(silentSince), 6*time.Second)
			require.Greater(t, time.Since(silentSince), 2*time.Second, "replaced before a keepalive (every 2 s) was overdue")
			require.Contains(t, requests()[1], "since=7")
		})
	}
}

// writeSlowly writes first, then one byte of line every 200 ms. It simulates a peer that is alive but does not send a complete
// message.
func writeSlowly(conn net.Conn, first, line string) {
	fmt.Fprint(conn, first)
	for i := range line {
		time.Sleep(200 * time.Millisecond)
		if _, err := fmt.Fprint(conn, chunk(line[i:i+1])); err != nil {
			return
		}
	}
}

// A call is retried if discovery accepts it but sends nothing, or only a response header.
func TestWatcherRetriesCallWithoutMessage(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]func(net.Conn){"nothing": respond(""), "header only": respond(okHeader)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := newScriptedDiscovery(t, step, respond(okHeader+chunk(message(9, true))))
			startedAt := time.Now()
			update := <-runWatcher(t, addr)
			require.EqualValues(t, 9, update.Version)
			require.Less(t, time.Since(startedAt), 4*time.Second)
		})
	}
}

func TestWatcherKeepsWatchWithKeepalives(t *testing.T) {
	t.Parallel()
	addr, requests := newScriptedDiscovery(t, func(conn net.Conn) {
		fmt.Fprint(conn, okHeader+chunk(`{"version":7,"full":false,"servers":[]}`+"\n"))
		for range 3 {
			time.Sleep(2 * time.Second)
			fmt.Fprint(conn, chunk("\n"))
		}
		fmt.Fprint(conn, chunk(message(8, false)))
	})
	updates := runWatcher(t, addr)
	<-updates
	require.EqualValues(t, 8, (<-updates).Version)
	require.Len(t, requests(), 1)
}

// An agent that lags behind, such as one at a new address, must not restore servers that are draining.
func TestWatcherRejectsOlderVersions(t *testing.T) {
	t.Parallel()
	addr, requests := newScriptedDiscovery(t, respond(okHeader+chunk(message(4, true))), respond(okHeader+chunk(message(6, true))))
	update := <-runWatcher(t, addr)
	require.EqualValues(t, 6, update.Version)
	require.Len(t, requests(), 2)
	require.Contains(t, requests()[1], "since=5")
}

func TestWatcherReadsIndentedMessages(t *testing.T) {
	t.Parallel()
	text := "{\n  \"version\": 9,\n  \"full\": true,\n\n  \"servers\": [\n    {\n      \"id\": \"s{\\\"}\",\n" +
		"      \"addr\": \"127.0.0.1:1\",\n      \"state\": \"active\"\n    }\n  ]\n}\n\n"
	for chunkSize := 1; chunkSize < len(text); chunkSize += 7 {
		var body string
		for rest := text; rest != ""; rest = rest[min(chunkSize, len(rest)):] {
			body += chunk(rest[:min(chunkSize, len(rest))])
		}
		addr, _ := newScriptedDiscovery(t, respond(okHeader+body+chunk(message(10, false))))
		updates := runWatcher(t, addr)
		update := <-updates
		require.EqualValues(t, 9, update.Version)
		require.Equal(t, `s{"}`, update.Servers[0].ID)
		require.EqualValues(t, 10, (<-updates).Version)
	}
}
