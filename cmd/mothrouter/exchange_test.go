package main_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The recorded exchanges in testdata are played against the built program: stand-ins of its clients, record
// servers and discovery send what is recorded, and what the program sends is compared. testdata/README
// tells how they are written.

const (
	waitTimeout   = 5 * time.Second        // for what must come
	quietInterval = 200 * time.Millisecond // for what must not
)

var (
	program    string
	buildFlags []string // with the race detector on here, the program has it too
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mothrouter")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "mothrouter")
	if out, err := exec.Command("go", append(append([]string{"build"}, buildFlags...), "-o", program, ".")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// exchangePlayer plays one exchange.
type exchangePlayer struct {
	t          *testing.T
	byteByByte bool // send byte by byte
	listeners  map[string]net.Listener
	conns      map[string]net.Conn
	readers    map[string]*bufio.Reader
	listen     string
	cmd        *exec.Cmd
	config     string // path of its file
	log        logBuffer
	onMessage  func(peer string, sent bool, message string) // told of each message
	flags      []string
}

// logBuffer is what the program writes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newPlayer(t *testing.T) *exchangePlayer {
	return &exchangePlayer{
		t: t, listeners: map[string]net.Listener{}, conns: map[string]net.Conn{}, readers: map[string]*bufio.Reader{},
		onMessage: func(string, bool, string) {},
	}
}

func (p *exchangePlayer) listener(name string) net.Listener {
	if p.listeners[name] == nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(p.t, err)
		p.listeners[name] = l
	}
	return p.listeners[name]
}

const settingsFormat = `{"caps":{"cancel":true,"connIdleS":%g,"connectTimeoutS":0.25,"maxRetryAfterS":0.5,"openCap":%d,
"probes":false,"retryAfter":true,"secondCopies":false,"sendCap":4,"streamsPerConn":100},
"classes":[{"name":"usage-lookup","deadlineS":4,"objectiveS":1,"lateWorth":0,"semantics":"free","worth":1},
{"name":"charge-post","deadlineS":5,"objectiveS":1,"lateWorth":0,"semantics":"single_shot","worth":2},
{"name":"tariff-report","deadlineS":6,"objectiveS":1,"lateWorth":0.1,"semantics":"free","worth":3},
{"name":"docket-report","deadlineS":4,"objectiveS":1,"lateWorth":0.1,"semantics":"free","worth":3},
{"name":"week-report","deadlineS":4,"objectiveS":1,"lateWorth":0.1,"semantics":"free","worth":3}],
"discovery":"push","familyInfo":{"bundleMax":1,"cells":1,"classFloor":[1,1,0.8,1,0.5],"fetchParts":[0,0,0,2,2],
"needByClass":[1,1,1,1,1],"reach":1,
"slabs":24},"machineTypes":["std-2c"],"peersTotal":1,"report":{"how":"piggyback"},"tickS":0.005,
"zones":["bern-1"]}`

var addresses atomic.Int32

// unusedAddress is where a program may listen. Each has a loopback address of its own: on a shared one, the port found
// to be free could be taken by a connection before the program listens.
func unusedAddress(t *testing.T) string {
	n := addresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 1+n/250, 1+n%250))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// start runs the program with the servers that it knows.
func (p *exchangePlayer) start(known []string, openCap, sockets int, idle float64, flags ...string) {
	var servers []string
	for _, name := range known {
		servers = append(servers, p.endpointEntry(name, "active"))
	}
	if p.listen == "" { // a restart keeps its address
		p.listen = unusedAddress(p.t)
	}
	p.config = filepath.Join(p.t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"memory_mb":192,"sockets":%d},
		"known":{"version":41,"full":true,"servers":[%s]},"settings":%s}`, p.listen, p.listener("discovery").Addr(),
		sockets, strings.Join(servers, ","), fmt.Sprintf(settingsFormat, idle, openCap))
	require.NoError(p.t, os.WriteFile(p.config, []byte(text), 0o600))
	p.cmd = exec.Command(program, flags...)
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.config)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	require.NoError(p.t, p.cmd.Start())
	p.t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.cmd.Wait()
		require.NotContains(p.t, p.log.String(), "DATA RACE")
		if p.t.Failed() {
			p.t.Log(p.log.String())
		}
		for _, c := range p.conns {
			c.Close()
		}
		for _, l := range p.listeners {
			l.Close()
		}
	})
	up := "HTTP/1.1 200 OK"
	if len(known) == 0 { // then it cannot serve yet
		up = "HTTP/1.1 503 Service Unavailable"
	}
	require.Eventually(p.t, func() bool {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			return false
		}
		defer c.Close()
		fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: n1\r\n\r\n")
		line, _ := textproto.NewReader(bufio.NewReader(c)).ReadLine()
		return line == up
	}, waitTimeout, 10*time.Millisecond)
}

// endpointEntry is a server on discovery's list.
func (p *exchangePlayer) endpointEntry(name, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"bern-1","kind":"std-2c","cell":0,"state":%q,"weight":1,`+
		`"started_ms":0}`, name, p.listener(name).Addr(), state)
}

// conn is a peer's connection: clients dial, the others wait to be dialled. "s0.2" is s0's second.
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

func isServer(name string) bool { return regexp.MustCompile(`^s\d`).MatchString(name) }

// encodeMessage is a message as it goes over the socket.
func encodeMessage(peer, message string) []byte {
	if isServer(peer) {
		letter, rest, _ := strings.Cut(message, " ")
		b := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
		return append(append(b, letter...), rest...)
	}
	if line, ok := strings.CutPrefix(message, "~line"); ok { // one of discovery's, as a chunk
		line = strings.TrimSpace(line)
		return fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(line)+1, line)
	}
	if raw, ok := strings.CutPrefix(message, "~raw "); ok { // more of an earlier message
		return []byte(raw)
	}
	head, body, _ := strings.Cut(message, "\n\n")
	head = strings.ReplaceAll(head, "\n", "\r\n")
	if strings.Contains(head, "chunked") && body != "" {
		body = strings.ReplaceAll(body, "\n", "\r\n") + "\r\n\r\n"
	}
	head = strings.Replace(head, "Content-Length: auto", "Content-Length: "+strconv.Itoa(len(body)), 1)
	return []byte(head + "\r\n\r\n" + body)
}

// readMessage reads the next message that the program sends to a peer.
func (p *exchangePlayer) readMessage(peer string) (string, error) {
	in := p.readers[peer]
	if isServer(peer) {
		var n uint32
		if err := binary.Read(in, binary.BigEndian, &n); err != nil {
			return "", err
		}
		b := make([]byte, n)
		_, err := io.ReadFull(in, b)
		return strings.TrimSuffix(string(b[:1])+" "+string(b[1:]), " "), err
	}
	r := textproto.NewReader(in)
	start, err := r.ReadLine()
	if err != nil {
		return "", err
	}
	text := []string{start}
	length := 0
	for {
		line, err := r.ReadLine()
		if err != nil {
			return "", err
		}
		if text = append(text, line); line == "" {
			break
		}
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(v)
		}
	}
	body := make([]byte, length)
	_, err = io.ReadFull(in, body)
	return strings.TrimRight(strings.Join(text, "\n")+"\n"+string(body), "\n"), err
}

// play carries out one step.
func (p *exchangePlayer) play(step, message string) {
	words := strings.Fields(step)
	peer, verb := words[0], strings.Join(words[1:], " ")
	message = regexp.MustCompile(`\{\{(\w+) (\w+)\}\}`).ReplaceAllStringFunc(message, func(m string) string {
		w := strings.Fields(strings.Trim(m, "{}"))
		return p.endpointEntry(w[0], w[1])
	})
	switch {
	case peer == "known":
		openCap, sockets, idle := 100, 1024, 15.0
		var names []string
		for _, w := range words[1:] {
			if n, ok := strings.CutPrefix(w, "cap="); ok {
				openCap, _ = strconv.Atoi(n)
			} else if n, ok := strings.CutPrefix(w, "sockets="); ok {
				sockets, _ = strconv.Atoi(n)
			} else if n, ok := strings.CutPrefix(w, "idle="); ok {
				idle, _ = strconv.ParseFloat(n, 64)
			} else {
				names = append(names, w)
			}
		}
		p.start(names, openCap, sockets, idle, p.flags...)
	case peer == "crowd": // so many clients that connect and say nothing
		n, _ := strconv.Atoi(words[1])
		for i := range n {
			p.conn(fmt.Sprintf("silent%d", i))
		}
	case peer == "pause":
		d, err := time.ParseDuration(words[1])
		require.NoError(p.t, err)
		time.Sleep(d)
	case step == "program is told to end":
		require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	case peer == "reload": // the file is replaced: with nonsense, or by one that names another discovery
		text, err := os.ReadFile(p.config)
		require.NoError(p.t, err)
		now := []byte(`{"name":`)
		if words[1] != "nonsense" {
			now = bytes.Replace(text, []byte(p.listener("discovery").Addr().String()), []byte(p.listener(words[1]).Addr().String()), 1)
		}
		require.NoError(p.t, os.WriteFile(p.config, now, 0o600))
		require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGHUP))
		if words[1] == "nonsense" {
			require.Eventually(p.t, func() bool { return strings.Contains(p.log.String(), "PROXY_CONFIG: ") }, waitTimeout, 5*time.Millisecond)
			require.NoError(p.t, os.WriteFile(p.config, text, 0o600))
		}
	case step == "program ends":
		require.NoError(p.t, p.cmd.Wait())
	case verb == "sends":
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
	case verb == "gets":
		require.NoError(p.t, p.conn(peer).SetReadDeadline(time.Now().Add(waitTimeout)))
		got, err := p.readMessage(peer)
		require.NoError(p.t, err, "%s gets %s", peer, message)
		want := strings.ReplaceAll(regexp.QuoteMeta(message), "~", `[0-9a-zA-Z.: \-]+`)
		require.Regexp(p.t, "^"+want+"$", got)
		p.onMessage(peer, false, got)
	case verb == "gets nothing":
		require.NoError(p.t, p.conn(peer).SetReadDeadline(time.Now().Add(quietInterval)))
		got, err := p.readers[peer].ReadByte()
		require.ErrorIs(p.t, err, os.ErrDeadlineExceeded, "%s got %q", peer, got)
	case verb == "gets no more": // for a while, or for good, since the program ends the connection
		require.NoError(p.t, p.conn(peer).SetReadDeadline(time.Now().Add(quietInterval)))
		got, err := p.readers[peer].ReadByte()
		require.Error(p.t, err, "%s got %q", peer, got)
	case verb == "is not called":
		require.NoError(p.t, p.listener(peer).(*net.TCPListener).SetDeadline(time.Now().Add(quietInterval)))
		_, err := p.listeners[peer].Accept()
		require.ErrorIs(p.t, err, os.ErrDeadlineExceeded)
	case verb == "sees the end":
		require.NoError(p.t, p.conn(peer).SetReadDeadline(time.Now().Add(waitTimeout)))
		_, err := p.readers[peer].ReadByte()
		require.Error(p.t, err)
		require.False(p.t, errors.Is(err, os.ErrDeadlineExceeded), "the connection goes on")
		delete(p.conns, peer)
	case verb == "closes", verb == "resets":
		if verb == "resets" {
			require.NoError(p.t, p.conn(peer).(*net.TCPConn).SetLinger(0))
		}
		require.NoError(p.t, p.conn(peer).Close())
		delete(p.conns, peer)
	case verb == "is down":
		require.NoError(p.t, p.listener(peer).Close())
	default:
		p.t.Fatalf("cannot play %q", step)
	}
}

// steps reads an exchange: a line a step, the message of each indented by a tab behind it.
func steps(t *testing.T, file string) (steps, messages []string) {
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	blank := ""
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSuffix(line, "\n")
		if body, ok := strings.CutPrefix(line, "\t"); ok {
			if last := len(messages) - 1; messages[last] == "" {
				messages[last] = body
			} else {
				messages[last] += "\n" + blank + body
			}
			blank = ""
		} else if line == "" {
			blank += "\n"
		} else if line[0] != '#' {
			blank = ""
			steps, messages = append(steps, line), append(messages, "")
		}
	}
	return steps, messages
}

// Each exchange is played against one loop and against several: what a front refuses and what a client is told must
// not depend on the worker.
func TestRecordedExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	api := readAPIDescription(t)
	play := func(name, file string, bytewise bool, flags ...string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlayer(t)
			p.byteByByte, p.onMessage, p.flags = bytewise, api.checker(t), flags
			steps, messages := steps(t, file)
			for i, step := range steps {
				p.play(step, messages[i])
			}
		})
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		play(name, file, false)
		play(name+" byte by byte", file, true)
		play(name+" on two cores", file, false, "-cores", "../../deploy/cores.toml")
	}
}
