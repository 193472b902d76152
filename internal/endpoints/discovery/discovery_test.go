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

// fakeDiscovery is a discovery that answers each watch with one message, records the calls, and can close them all.
type fakeDiscovery struct {
	net.Listener
	mu       sync.Mutex
	calledAt []time.Time // of each call since the last drop
	open     []net.Conn
}

// newFakeDiscovery starts a fakeDiscovery that the end of the test stops.
func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	d := &fakeDiscovery{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

// serve answers one call.
func (d *fakeDiscovery) serve(c net.Conn) {
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		return
	}
	d.mu.Lock()
	d.calledAt, d.open = append(d.calledAt, time.Now()), append(d.open, c)
	n := len(d.calledAt)
	d.mu.Unlock()
	line := fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`+"\n", n)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
}

// drop closes all calls and forgets their times.
func (d *fakeDiscovery) drop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.open {
		c.Close()
	}
	d.open, d.calledAt = nil, nil
}

// calls returns the times of the calls since the last drop.
func (d *fakeDiscovery) calls() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.calledAt...)
}

// All brokers of a fleet lose discovery in one moment. If all called again at once, discovery would have to serve them in the
// same millisecond.
func TestWatchersReconnectApartAfterALossInOneMoment(t *testing.T) {
	const fleet, brokers = 40, 20 // 20 brokers of a fleet of 40, whose calls after a loss are spread over a second
	d := newFakeDiscovery(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range brokers {
		w := &discovery.Watcher{Addr: d.Addr().String(), Update: func(broker.EndpointUpdate) {},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Backoff: backoff.New(fleet, uint64(i))}
		go w.Run(ctx)
	}
	for _, spread := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond} { // the start, and a loss
		require.Eventually(t, func() bool { return len(d.calls()) == brokers }, 4*time.Second, 5*time.Millisecond)
		at := d.calls()
		require.Greater(t, at[brokers-1].Sub(at[0]), spread)
		together := 0
		for i := range at {
			for j := i; j < brokers && at[j].Sub(at[i]) < spread/5; j++ {
				together = max(together, j-i+1)
			}
		}
		require.Less(t, together, brokers/2)
		d.drop()
	}
}

// newScriptedDiscovery starts a discovery that serves each call by the next step, and all further calls by the last. requests
// returns the request line of each call.
func newScriptedDiscovery(t *testing.T, steps ...func(c net.Conn)) (addr string, requests func() []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	var lines []string
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			step := steps[min(i, len(steps)-1)]
			go func() {
				line, _ := bufio.NewReader(c).ReadString('\n')
				mu.Lock()
				lines = append(lines, line)
				mu.Unlock()
				step(c)
			}()
		}
	}()
	return l.Addr().String(), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), lines...)
	}
}

// okHead is the header of a watch.
const okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns one chunk of a response.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// writes returns a step that sends a text.
func writes(text string) func(net.Conn) { return func(c net.Conn) { fmt.Fprint(c, text) } }

// runWatcher runs a watcher of a small fleet and returns its updates.
func runWatcher(t *testing.T, addr string) chan broker.EndpointUpdate {
	updates := make(chan broker.EndpointUpdate, 10)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &discovery.Watcher{Addr: addr, Since: 5, Update: func(l broker.EndpointUpdate) { updates <- l },
		NameTable: discovery.NameTable{Zones: []string{"a"}, Kinds: []string{"m"}},
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)), Backoff: backoff.New(3, 1)}
	go w.Run(ctx)
	return updates
}

// entry returns a message with one server.
func entry(version int, full bool) string {
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[{"id":"s","addr":"127.0.0.1:1","zone":"a","kind":"m","state":"leaving"}]}`,
		version, full) + "\n"
}

// An update that a silent watch misses is in force 6 s after the last message. Whatever form the silence has, the update has
// been received by then, by a call from the version received last.
func TestWatcherReplacesASilentWatchWithinTheUpdateDeadline(t *testing.T) {
	t.Parallel()
	first := okHead + chunk(`{"version":7,"full":false,"servers":[]}`+"\n")
	half := entry(8, false)[:40]
	for name, silence := range map[string]func(net.Conn){
		"nothing more":               writes(first),
		"half a line":                writes(first + chunk(half)),
		"a chunk that never ends":    writes(first + fmt.Sprintf("%x\r\n", 1<<20)),
		"bytes, but never an object": func(c net.Conn) { drip(c, first, half) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, requests := newScriptedDiscovery(t, silence, writes(okHead+chunk(entry(9, false))))
			updates := runWatcher(t, addr)
			require.EqualValues(t, 7, (<-updates).Version)
			silentSince := time.Now()
			require.EqualValues(t, 9, (<-updates).Version)
			require.Less(t, time.Since(silentSince), 6*time.Second)
			require.Greater(t, time.Since(silentSince), 2*time.Second, "a keepalive comes every 2 s: the watch was not silent yet")
			require.Contains(t, requests()[1], "since=7")
		})
	}
}

// drip writes one byte of a line every 200 ms: a peer that is alive, but sends no complete message.
func drip(c net.Conn, first, line string) {
	fmt.Fprint(c, first)
	for i := range line {
		time.Sleep(200 * time.Millisecond)
		if _, err := fmt.Fprint(c, chunk(line[i:i+1])); err != nil {
			return
		}
	}
}

// An agent that accepts the call and sends nothing, or only a response header, has not answered.
func TestWatcherRetriesACallWithoutAnswer(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]func(net.Conn){"nothing": writes(""), "a head": writes(okHead)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := newScriptedDiscovery(t, step, writes(okHead+chunk(entry(9, true))))
			startedAt := time.Now()
			l := <-runWatcher(t, addr)
			require.EqualValues(t, 9, l.Version)
			require.Less(t, time.Since(startedAt), 4*time.Second)
		})
	}
}

func TestWatcherKeepsAWatchWithKeepalives(t *testing.T) {
	t.Parallel()
	addr, requests := newScriptedDiscovery(t, func(c net.Conn) {
		fmt.Fprint(c, okHead+chunk(`{"version":7,"full":false,"servers":[]}`+"\n"))
		for range 3 {
			time.Sleep(2 * time.Second)
			fmt.Fprint(c, chunk("\n"))
		}
		fmt.Fprint(c, chunk(entry(8, false)))
	})
	updates := runWatcher(t, addr)
	<-updates
	require.EqualValues(t, 8, (<-updates).Version)
	require.Len(t, requests(), 1)
}

// An agent that lags behind, perhaps the one at a new address, must not bring back servers that drain.
func TestWatcherRejectsOlderVersions(t *testing.T) {
	t.Parallel()
	addr, requests := newScriptedDiscovery(t, writes(okHead+chunk(entry(4, true))), writes(okHead+chunk(entry(6, true))))
	l := <-runWatcher(t, addr)
	require.EqualValues(t, 6, l.Version)
	require.Len(t, requests(), 2)
	require.Contains(t, requests()[1], "since=5")
}

func TestWatcherReadsIndentedMessages(t *testing.T) {
	t.Parallel()
	text := "{\n  \"version\": 9,\n  \"full\": true,\n\n  \"servers\": [\n    {\n      \"id\": \"s{\\\"}\",\n" +
		"      \"addr\": \"127.0.0.1:1\",\n      \"state\": \"active\"\n    }\n  ]\n}\n\n"
	for step := 1; step < len(text); step += 7 {
		var body string
		for rest := text; rest != ""; rest = rest[min(step, len(rest)):] {
			body += chunk(rest[:min(step, len(rest))])
		}
		addr, _ := newScriptedDiscovery(t, writes(okHead+body+chunk(entry(10, false))))
		updates := runWatcher(t, addr)
		l := <-updates
		require.EqualValues(t, 9, l.Version)
		require.Equal(t, `s{"}`, l.Servers[0].ID)
		require.EqualValues(t, 10, (<-updates).Version)
	}
}
