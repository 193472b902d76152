package main_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchangeReplayer replays a recorded exchange against a broker's process: it acts as the clients, the record servers and
// the discovery service, sends the messages that are recorded for them and compares what the program sends with the
// recording. testdata/README describes the steps.
type exchangeReplayer struct {
	*brokerProcess
	byteByByte bool                                         // write messages one byte at a time
	listeners  map[string]net.Listener                      // by name of the record server or discovery service
	conns      map[string]net.Conn                          // by peer
	readers    map[string]*bufio.Reader                     // of conns
	onMessage  func(peer string, sent bool, message string) // called for each message, sent or received
	flags      []string                                     // of the program
	objective  float64                                      // latency objective of usage-lookup in seconds; 0: the default
}

func newReplayer(t *testing.T) *exchangeReplayer {
	r := &exchangeReplayer{
		brokerProcess: &brokerProcess{t: t}, listeners: map[string]net.Listener{}, conns: map[string]net.Conn{},
		readers: map[string]*bufio.Reader{}, onMessage: func(string, bool, string) {},
	}
	t.Cleanup(r.closeAll)
	return r
}

// closeAll closes the peers' connections and listeners.
func (r *exchangeReplayer) closeAll() {
	for _, c := range r.conns {
		c.Close()
	}
	for _, l := range r.listeners {
		l.Close()
	}
}

// listener returns the listener of a record server or discovery service, and opens it at the first call.
func (r *exchangeReplayer) listener(name string) net.Listener {
	if r.listeners[name] == nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(r.t, err)
		r.listeners[name] = l
	}
	return r.listeners[name]
}

// start runs the program with the known record servers as its endpoint list and waits until it is ready. If there are none,
// it waits until the program reports that it is not ready. A restart keeps the address for clients.
func (r *exchangeReplayer) start(known []string, openCap, sockets int, idleTimeout float64, flags ...string) {
	options := brokerOptions{
		listen: r.listen, discovery: r.listener("discovery").Addr().String(),
		openCap: openCap, sockets: sockets, idleTimeout: idleTimeout, objective: r.objective, flags: flags,
	}
	for _, name := range known {
		options.servers = append(options.servers, r.endpointEntry(name, "active"))
	}
	if options.listen == "" {
		options.listen = unusedAddress(r.t)
	}
	r.run(options)
	status := "HTTP/1.1 200 OK"
	if len(known) == 0 { // it cannot serve without an endpoint list
		status = "HTTP/1.1 503 Service Unavailable"
	}
	r.waitForReadiness(status)
}

// waitForReadiness waits until the program answers GET /up with the given status line.
func (r *exchangeReplayer) waitForReadiness(status string) {
	require.Eventually(r.t, func() bool {
		c, err := net.Dial("tcp", r.listen)
		if err != nil {
			return false
		}
		defer c.Close()
		fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: n1\r\n\r\n")
		line, _ := textproto.NewReader(bufio.NewReader(c)).ReadLine()
		return line == status
	}, waitTimeout, 10*time.Millisecond)
}

// endpointEntry returns a record server's entry on the endpoint list.
func (r *exchangeReplayer) endpointEntry(name, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"bern-1","kind":"std-2c","cell":0,"state":%q,"weight":1,`+
		`"started_ms":0}`, name, r.listener(name).Addr(), state)
}

// conn returns a peer's connection. At the first call for a peer, a client dials the program, and a record server or
// discovery service accepts a connection. "s0.2" is the second connection to s0.
func (r *exchangeReplayer) conn(name string) net.Conn {
	if c := r.conns[name]; c != nil {
		return c
	}
	var c net.Conn
	var err error
	if host, _, _ := strings.Cut(name, "."); isServer(host) || strings.HasPrefix(host, "discovery") {
		l := r.listener(host).(*net.TCPListener)
		require.NoError(r.t, l.SetDeadline(time.Now().Add(waitTimeout)))
		c, err = l.Accept()
	} else {
		c, err = net.Dial("tcp", r.listen)
	}
	require.NoError(r.t, err, name)
	r.conns[name], r.readers[name] = c, bufio.NewReader(c)
	return c
}

// processSteps are the steps that concern the process, by their first word; peerSteps are the steps of a peer, by the words
// after its name.
var (
	processSteps = map[string]func(r *exchangeReplayer, arguments []string){
		"known":   (*exchangeReplayer).startKnown,
		"crowd":   (*exchangeReplayer).connectSilentClients,
		"pause":   (*exchangeReplayer).pause,
		"program": (*exchangeReplayer).endProgram,
		"reload":  (*exchangeReplayer).reload,
	}
	peerSteps = map[string]func(r *exchangeReplayer, peer, message string){
		"sends":         (*exchangeReplayer).send,
		"gets":          (*exchangeReplayer).expectMessage,
		"gets nothing":  (*exchangeReplayer).expectSilence,
		"gets no more":  (*exchangeReplayer).expectNoMore,
		"is not called": (*exchangeReplayer).expectNoConnection,
		"sees the end":  (*exchangeReplayer).expectEnd,
		"closes":        (*exchangeReplayer).closeConn,
		"resets":        (*exchangeReplayer).resetConn,
		"is down":       (*exchangeReplayer).closeListener,
	}
	entryReference = regexp.MustCompile(`\{\{(\w+) (\w+)\}\}`)
)

// replayStep replays one step.
func (r *exchangeReplayer) replayStep(step, message string) {
	message = entryReference.ReplaceAllStringFunc(message, func(reference string) string {
		words := strings.Fields(strings.Trim(reference, "{}"))
		return r.endpointEntry(words[0], words[1])
	})
	words := strings.Fields(step)
	if replay, ok := processSteps[words[0]]; ok {
		replay(r, words[1:])
	} else if replay, ok := peerSteps[strings.Join(words[1:], " ")]; ok {
		replay(r, words[0], message)
	} else {
		r.t.Fatalf("unknown step %q", step)
	}
}

// startKnown starts the program. The arguments are names of known record servers, cap=N, sockets=N, idle=SECONDS and
// objective=SECONDS.
func (r *exchangeReplayer) startKnown(arguments []string) {
	openCap, sockets, idleTimeout := 100, 1024, defaultIdleTimeout
	var known []string
	for _, argument := range arguments {
		key, value, _ := strings.Cut(argument, "=")
		switch key {
		case "cap":
			openCap, _ = strconv.Atoi(value)
		case "sockets":
			sockets, _ = strconv.Atoi(value)
		case "idle":
			idleTimeout, _ = strconv.ParseFloat(value, 64)
		case "objective":
			r.objective, _ = strconv.ParseFloat(value, 64)
		default:
			known = append(known, argument)
		}
	}
	r.start(known, openCap, sockets, idleTimeout, r.flags...)
}

// connectSilentClients connects a number of clients that send nothing.
func (r *exchangeReplayer) connectSilentClients(arguments []string) {
	n, _ := strconv.Atoi(arguments[0])
	for i := range n {
		r.conn(fmt.Sprintf("silent%d", i))
	}
}

func (r *exchangeReplayer) pause(arguments []string) {
	d, err := time.ParseDuration(arguments[0])
	require.NoError(r.t, err)
	time.Sleep(d)
}

// endProgram sends SIGTERM ("is told to end"), or waits until the program has exited with status 0 ("ends").
func (r *exchangeReplayer) endProgram(arguments []string) {
	switch action := strings.Join(arguments, " "); action {
	case "is told to end":
		require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGTERM))
	case "ends":
		require.NoError(r.t, r.cmd.Wait())
	default:
		r.t.Fatalf("unknown step %q", "program "+action)
	}
}

// reload replaces the configuration file and sends SIGHUP. The argument is the discovery service that the new file
// names, or "nonsense": then the file is invalid, and it is restored once the program has logged the error.
func (r *exchangeReplayer) reload(arguments []string) {
	before, err := os.ReadFile(r.configPath)
	require.NoError(r.t, err)
	invalid := arguments[0] == "nonsense"
	after := []byte(`{"name":`)
	if !invalid {
		from, to := r.listener("discovery").Addr().String(), r.listener(arguments[0]).Addr().String()
		after = bytes.Replace(before, []byte(from), []byte(to), 1)
	}
	require.NoError(r.t, os.WriteFile(r.configPath, after, 0o600))
	require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGHUP))
	if invalid {
		logged := func() bool { return strings.Contains(r.log.String(), "PROXY_CONFIG: ") }
		require.Eventually(r.t, logged, waitTimeout, 5*time.Millisecond)
		require.NoError(r.t, os.WriteFile(r.configPath, before, 0o600))
	}
}

func (r *exchangeReplayer) send(peer, message string) {
	r.onMessage(peer, true, message)
	b := encodeMessage(peer, message)
	for len(b) > 0 {
		n := len(b)
		if r.byteByByte {
			n = 1
		}
		_, err := r.conn(peer).Write(b[:n])
		require.NoError(r.t, err)
		b = b[n:]
	}
}

// expectMessage reads a message and compares it with the recorded one, in which "~" matches letters, digits, spaces, dots,
// colons and hyphens.
func (r *exchangeReplayer) expectMessage(peer, message string) {
	require.NoError(r.t, r.conn(peer).SetReadDeadline(time.Now().Add(waitTimeout)))
	got, err := readMessage(peer, r.readers[peer])
	require.NoError(r.t, err, "%s gets %s", peer, message)
	want := strings.ReplaceAll(regexp.QuoteMeta(message), "~", `[0-9a-zA-Z.: \-]+`)
	require.Regexp(r.t, "^"+want+"$", got)
	r.onMessage(peer, false, got)
}

// expectSilence checks that nothing arrives on a connection that stays open.
func (r *exchangeReplayer) expectSilence(peer, _ string) {
	require.NoError(r.t, r.conn(peer).SetReadDeadline(time.Now().Add(quietInterval)))
	got, err := r.readers[peer].ReadByte()
	require.ErrorIs(r.t, err, os.ErrDeadlineExceeded, "%s got %q", peer, got)
}

// expectNoMore checks that no more bytes arrive; the program may close the connection.
func (r *exchangeReplayer) expectNoMore(peer, _ string) {
	require.NoError(r.t, r.conn(peer).SetReadDeadline(time.Now().Add(quietInterval)))
	got, err := r.readers[peer].ReadByte()
	require.Error(r.t, err, "%s got %q", peer, got)
}

// expectNoConnection checks that the program does not connect to a record server or discovery service.
func (r *exchangeReplayer) expectNoConnection(peer, _ string) {
	require.NoError(r.t, r.listener(peer).(*net.TCPListener).SetDeadline(time.Now().Add(quietInterval)))
	_, err := r.listeners[peer].Accept()
	require.ErrorIs(r.t, err, os.ErrDeadlineExceeded)
}

// expectEnd checks that the program closes a connection without sending more.
func (r *exchangeReplayer) expectEnd(peer, _ string) {
	require.NoError(r.t, r.conn(peer).SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := r.readers[peer].ReadByte()
	require.Error(r.t, err)
	require.False(r.t, errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
	delete(r.conns, peer)
}

func (r *exchangeReplayer) closeConn(peer, _ string) {
	require.NoError(r.t, r.conn(peer).Close())
	delete(r.conns, peer)
}

func (r *exchangeReplayer) resetConn(peer, message string) {
	require.NoError(r.t, r.conn(peer).(*net.TCPConn).SetLinger(0))
	r.closeConn(peer, message)
}

func (r *exchangeReplayer) closeListener(peer, _ string) {
	require.NoError(r.t, r.listener(peer).Close())
}
