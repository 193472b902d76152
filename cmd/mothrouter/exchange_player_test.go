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

// exchangePlayer plays a recorded exchange against a broker's process: it acts as the clients, the record servers and
// the discovery service, sends what is recorded for them and compares what the program sends. testdata/README
// describes the steps.
type exchangePlayer struct {
	*brokerProcess
	byteByByte bool                                         // write each byte of a message by itself
	listeners  map[string]net.Listener                      // by name of the record server or discovery service
	conns      map[string]net.Conn                          // by peer
	readers    map[string]*bufio.Reader                     // of conns
	onMessage  func(peer string, sent bool, message string) // called for each message, sent or received
	flags      []string                                     // of the program
}

func newPlayer(t *testing.T) *exchangePlayer {
	p := &exchangePlayer{
		brokerProcess: &brokerProcess{t: t}, listeners: map[string]net.Listener{}, conns: map[string]net.Conn{},
		readers: map[string]*bufio.Reader{}, onMessage: func(string, bool, string) {},
	}
	t.Cleanup(p.closeAll)
	return p
}

// closeAll closes the peers' connections and listeners.
func (p *exchangePlayer) closeAll() {
	for _, c := range p.conns {
		c.Close()
	}
	for _, l := range p.listeners {
		l.Close()
	}
}

// listener returns the listener of a record server or discovery service, and opens it at the first call.
func (p *exchangePlayer) listener(name string) net.Listener {
	if p.listeners[name] == nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(p.t, err)
		p.listeners[name] = l
	}
	return p.listeners[name]
}

// start runs the program with a list of known record servers and waits until it says whether it is ready. A restart
// keeps the address for clients.
func (p *exchangePlayer) start(known []string, openCap, sockets int, idle float64, flags ...string) {
	options := brokerOptions{
		listen: p.listen, discovery: p.listener("discovery").Addr().String(),
		openCap: openCap, sockets: sockets, idle: idle, flags: flags,
	}
	for _, name := range known {
		options.servers = append(options.servers, p.endpointEntry(name, "active"))
	}
	if options.listen == "" {
		options.listen = unusedAddress(p.t)
	}
	p.run(options)
	status := "HTTP/1.1 200 OK"
	if len(known) == 0 { // it cannot serve yet
		status = "HTTP/1.1 503 Service Unavailable"
	}
	p.waitForReadiness(status)
}

// waitForReadiness waits until the program answers GET /up with the given status line.
func (p *exchangePlayer) waitForReadiness(status string) {
	require.Eventually(p.t, func() bool {
		c, err := net.Dial("tcp", p.listen)
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
func (p *exchangePlayer) endpointEntry(name, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"bern-1","kind":"std-2c","cell":0,"state":%q,"weight":1,`+
		`"started_ms":0}`, name, p.listener(name).Addr(), state)
}

// conn returns a peer's connection. Clients dial at the first call; record servers and discovery accept. "s0.2" is the
// second connection to s0.
func (p *exchangePlayer) conn(name string) net.Conn {
	if c := p.conns[name]; c != nil {
		return c
	}
	var c net.Conn
	var err error
	if host, _, _ := strings.Cut(name, "."); isServer(host) || strings.HasPrefix(host, "discovery") {
		l := p.listener(host).(*net.TCPListener)
		require.NoError(p.t, l.SetDeadline(time.Now().Add(waitTimeout)))
		c, err = l.Accept()
	} else {
		c, err = net.Dial("tcp", p.listen)
	}
	require.NoError(p.t, err, name)
	p.conns[name], p.readers[name] = c, bufio.NewReader(c)
	return c
}

// processSteps are the steps about the process, by their first word; peerSteps are those of a peer, by the words after
// its name.
var (
	processSteps = map[string]func(p *exchangePlayer, arguments []string){
		"known":   (*exchangePlayer).startKnown,
		"crowd":   (*exchangePlayer).connectSilentClients,
		"pause":   (*exchangePlayer).pause,
		"program": (*exchangePlayer).endProgram,
		"reload":  (*exchangePlayer).reload,
	}
	peerSteps = map[string]func(p *exchangePlayer, peer, message string){
		"sends":         (*exchangePlayer).send,
		"gets":          (*exchangePlayer).expectMessage,
		"gets nothing":  (*exchangePlayer).expectSilence,
		"gets no more":  (*exchangePlayer).expectNoMore,
		"is not called": (*exchangePlayer).expectNoConnection,
		"sees the end":  (*exchangePlayer).expectEnd,
		"closes":        (*exchangePlayer).closeConn,
		"resets":        (*exchangePlayer).resetConn,
		"is down":       (*exchangePlayer).closeListener,
	}
	entryReference = regexp.MustCompile(`\{\{(\w+) (\w+)\}\}`)
)

// play plays one step.
func (p *exchangePlayer) play(step, message string) {
	message = entryReference.ReplaceAllStringFunc(message, func(reference string) string {
		words := strings.Fields(strings.Trim(reference, "{}"))
		return p.endpointEntry(words[0], words[1])
	})
	words := strings.Fields(step)
	if play, ok := processSteps[words[0]]; ok {
		play(p, words[1:])
	} else if play, ok := peerSteps[strings.Join(words[1:], " ")]; ok {
		play(p, words[0], message)
	} else {
		p.t.Fatalf("cannot play %q", step)
	}
}

// startKnown starts the program. The arguments are names of known servers, cap=N, sockets=N and idle=SECONDS.
func (p *exchangePlayer) startKnown(arguments []string) {
	openCap, sockets, idle := 100, 1024, defaultIdle
	var known []string
	for _, argument := range arguments {
		key, value, _ := strings.Cut(argument, "=")
		switch key {
		case "cap":
			openCap, _ = strconv.Atoi(value)
		case "sockets":
			sockets, _ = strconv.Atoi(value)
		case "idle":
			idle, _ = strconv.ParseFloat(value, 64)
		default:
			known = append(known, argument)
		}
	}
	p.start(known, openCap, sockets, idle, p.flags...)
}

// connectSilentClients connects a number of clients that send nothing.
func (p *exchangePlayer) connectSilentClients(arguments []string) {
	n, _ := strconv.Atoi(arguments[0])
	for i := range n {
		p.conn(fmt.Sprintf("silent%d", i))
	}
}

func (p *exchangePlayer) pause(arguments []string) {
	d, err := time.ParseDuration(arguments[0])
	require.NoError(p.t, err)
	time.Sleep(d)
}

// endProgram sends SIGTERM ("is told to end"), or waits until the program has exited with status 0 ("ends").
func (p *exchangePlayer) endProgram(arguments []string) {
	switch action := strings.Join(arguments, " "); action {
	case "is told to end":
		require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	case "ends":
		require.NoError(p.t, p.cmd.Wait())
	default:
		p.t.Fatalf("cannot play %q", "program "+action)
	}
}

// reload replaces the configuration file and sends SIGHUP. The argument is the discovery service that the new file
// names, or "nonsense": then the file is invalid, and restored once the program has logged that.
func (p *exchangePlayer) reload(arguments []string) {
	before, err := os.ReadFile(p.configPath)
	require.NoError(p.t, err)
	invalid := arguments[0] == "nonsense"
	after := []byte(`{"name":`)
	if !invalid {
		from, to := p.listener("discovery").Addr().String(), p.listener(arguments[0]).Addr().String()
		after = bytes.Replace(before, []byte(from), []byte(to), 1)
	}
	require.NoError(p.t, os.WriteFile(p.configPath, after, 0o600))
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGHUP))
	if invalid {
		logged := func() bool { return strings.Contains(p.log.String(), "PROXY_CONFIG: ") }
		require.Eventually(p.t, logged, waitTimeout, 5*time.Millisecond)
		require.NoError(p.t, os.WriteFile(p.configPath, before, 0o600))
	}
}

func (p *exchangePlayer) send(peer, message string) {
	p.onMessage(peer, true, message)
	b := encodeMessage(peer, message)
	for len(b) > 0 {
		n := len(b)
		if p.byteByByte {
			n = 1
		}
		_, err := p.conn(peer).Write(b[:n])
		require.NoError(p.t, err)
		b = b[n:]
	}
}

// expectMessage reads a message and compares it; "~" in the recorded one stands for anything in one line.
func (p *exchangePlayer) expectMessage(peer, message string) {
	require.NoError(p.t, p.conn(peer).SetReadDeadline(time.Now().Add(waitTimeout)))
	got, err := readMessage(peer, p.readers[peer])
	require.NoError(p.t, err, "%s gets %s", peer, message)
	want := strings.ReplaceAll(regexp.QuoteMeta(message), "~", `[0-9a-zA-Z.: \-]+`)
	require.Regexp(p.t, "^"+want+"$", got)
	p.onMessage(peer, false, got)
}

// expectSilence checks that nothing arrives on a connection that stays open.
func (p *exchangePlayer) expectSilence(peer, _ string) {
	require.NoError(p.t, p.conn(peer).SetReadDeadline(time.Now().Add(quietInterval)))
	got, err := p.readers[peer].ReadByte()
	require.ErrorIs(p.t, err, os.ErrDeadlineExceeded, "%s got %q", peer, got)
}

// expectNoMore checks that nothing arrives; the program may close the connection.
func (p *exchangePlayer) expectNoMore(peer, _ string) {
	require.NoError(p.t, p.conn(peer).SetReadDeadline(time.Now().Add(quietInterval)))
	got, err := p.readers[peer].ReadByte()
	require.Error(p.t, err, "%s got %q", peer, got)
}

// expectNoConnection checks that the program does not connect to a record server or discovery service.
func (p *exchangePlayer) expectNoConnection(peer, _ string) {
	require.NoError(p.t, p.listener(peer).(*net.TCPListener).SetDeadline(time.Now().Add(quietInterval)))
	_, err := p.listeners[peer].Accept()
	require.ErrorIs(p.t, err, os.ErrDeadlineExceeded)
}

// expectEnd checks that the program closes a connection without sending more.
func (p *exchangePlayer) expectEnd(peer, _ string) {
	require.NoError(p.t, p.conn(peer).SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := p.readers[peer].ReadByte()
	require.Error(p.t, err)
	require.False(p.t, errors.Is(err, os.ErrDeadlineExceeded), "the connection goes on")
	delete(p.conns, peer)
}

func (p *exchangePlayer) closeConn(peer, _ string) {
	require.NoError(p.t, p.conn(peer).Close())
	delete(p.conns, peer)
}

func (p *exchangePlayer) resetConn(peer, message string) {
	require.NoError(p.t, p.conn(peer).(*net.TCPConn).SetLinger(0))
	p.closeConn(peer, message)
}

func (p *exchangePlayer) closeListener(peer, _ string) {
	require.NoError(p.t, p.listener(peer).Close())
}
