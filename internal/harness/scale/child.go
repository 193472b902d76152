package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/harness/recordservertest"
)

// A child is this program's second process, so that the far side's processor time and memory are not counted with the
// near side's. It ends when its standard input does.
const (
	childRole         = "SCALE_CHILD"
	childSize         = "SCALE_CHILD_SIZE"
	roleServers       = "record-servers"
	roleDiscovery     = "discovery"
	roleHub           = "configuration-hub"
	roleFollowers     = "configuration-followers"
	childReady        = "ready"
	childStartTimeout = 30 * time.Second // it must be ready within
	maxChildLine      = 1 << 20          // bytes of a line that it says at most
	maxRequestHead    = 4096             // bytes of a request's head that are read at most
)

// ServeChild is the child's main: it returns false at once in a process that is none.
func ServeChild() (bool, error) {
	size, err := strconv.Atoi(os.Getenv(childSize))
	switch os.Getenv(childRole) {
	case roleServers:
		if err != nil {
			return true, err
		}
		return true, serveRecords(size)
	case roleDiscovery:
		if err != nil {
			return true, err
		}
		return true, serveDiscovery(size)
	case roleHub:
		return true, serveHub()
	case roleFollowers:
		if err != nil {
			return true, err
		}
		return true, serveFollowers(size)
	}
	return false, nil
}

func serveRecords(servers int) error {
	f, err := recordservertest.New(recordservertest.Options{Servers: servers, ReplicationFactor: AssumedReplicationFactor, ServiceTime: childServiceTime, Seed: 1})
	if err != nil {
		return err
	}
	defer f.Close()
	for _, s := range f.Servers {
		fmt.Println(s.Addr)
	}
	fmt.Println(childReady)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// childServiceTime is what the stand-ins work on a part: little, since many share the machine.
const childServiceTime = 2 * time.Millisecond

// child is such a process.
type child struct {
	cmd        *exec.Cmd
	in         io.WriteCloser
	out        *bufio.Scanner
	startLines []string // that it said before it was ready
}

func startChild(role string, size int) (*child, error) {
	c := &child{cmd: exec.Command(os.Args[0])}
	c.cmd.Env = append(os.Environ(), childRole+"="+role, childSize+"="+strconv.Itoa(size))
	c.cmd.Stderr = os.Stderr
	var err error
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(childStartTimeout, func() { c.in.Close() })
	defer timer.Stop()
	c.out = bufio.NewScanner(out)
	c.out.Buffer(nil, maxChildLine)
	for c.out.Scan() {
		if c.out.Text() == childReady {
			return c, nil
		}
		c.startLines = append(c.startLines, c.out.Text())
	}
	c.in.Close()
	return nil, errors.Join(errors.New("scale: a child was not ready"), c.cmd.Wait())
}

// stop ends the child and returns its processor time. A child that has been stopped stays so.
func (c *child) stop() (time.Duration, error) {
	c.in.Close()
	var err error
	if c.cmd.ProcessState == nil {
		err = c.cmd.Wait()
	}
	return c.cmd.ProcessState.UserTime() + c.cmd.ProcessState.SystemTime(), err
}

// request sends a command as one line of JSON and reads the answer, which is one too.
func (c *child) request(command, answer any) error {
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return err
	}
	if !c.out.Scan() {
		return errors.Join(errors.New("scale: a child has ended"), c.out.Err())
	}
	return json.Unmarshal(c.out.Bytes(), answer)
}

// serveCommands is the child's side of ask: it answers each command until the parent closes its standard input.
func serveCommands[Command, Answer any](do func(Command) (Answer, error)) error {
	in, out := json.NewDecoder(os.Stdin), json.NewEncoder(os.Stdout)
	for {
		var command Command
		if err := in.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		answer, err := do(command)
		if err != nil {
			return err
		}
		if err := out.Encode(answer); err != nil {
			return err
		}
	}
}

// startChanges asks a stand-in for discovery for its changes.
func (c *child) startChanges() error {
	_, err := io.WriteString(c.in, "change\n")
	return err
}

// endpoints are the child's record servers as discovery would tell them.
func (c *child) endpoints() []broker.Endpoint {
	list := make([]broker.Endpoint, len(c.startLines))
	for i, addr := range c.startLines {
		list[i] = broker.Endpoint{Addr: addr, Server: decision.Server{ID: serverID(i), Zone: i / replicaSetsPerZone % TargetZones,
			ReplicaSet: i, Capacity: 1}}
	}
	return list
}

// Of the stand-in for discovery.
const (
	changeInterval    = 100 * time.Millisecond
	maxChanges        = 20
	listTimeout       = 10 * time.Second // all watchers have the list
	heartbeatInterval = 2 * time.Second  // an empty line, as discovery sends
	maxWatchers       = 4096
)

// serveDiscovery tells a list of so many servers to each watch and, once its parent has written a line, changes of one
// server. A change's version is the time in Unix nanoseconds at which it was told.
func serveDiscovery(servers int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	fmt.Println(l.Addr())
	fmt.Println(childReady)
	d := &fakeDiscovery{fullList: encodeList(servers, 1)}
	go d.accept(l)
	go d.sendHeartbeats()
	in := bufio.NewReader(os.Stdin)
	if _, err := in.ReadString('\n'); err != nil {
		return nil // its parent has ended before it asked for changes
	}
	go d.sendChanges()
	_, err = io.Copy(io.Discard, in)
	return err
}

// fakeDiscovery is the stand-in for discovery.
type fakeDiscovery struct {
	fullList []byte
	mu       sync.Mutex
	conns    []net.Conn
}

func (d *fakeDiscovery) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go d.serveWatch(c)
	}
}

func (d *fakeDiscovery) serveWatch(c net.Conn) {
	in := bufio.NewReaderSize(c, maxRequestHead)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			c.Close()
			return
		}
		if strings.TrimSpace(line) == "" {
			break
		}
	}
	if _, err := c.Write(append([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
		encodeChunk(d.fullList)...)); err != nil {
		c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) < maxWatchers {
		d.conns = append(d.conns, c)
	}
}

func encodeChunk(data []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data) }

// sendChanges tells the changes.
func (d *fakeDiscovery) sendChanges() {
	for range maxChanges {
		time.Sleep(changeInterval)
		d.broadcast(encodeChange(0, time.Now().UnixNano()))
	}
}

// sendHeartbeats keeps the watches alive.
func (d *fakeDiscovery) sendHeartbeats() {
	for {
		time.Sleep(heartbeatInterval)
		d.broadcast([]byte("\n"))
	}
}

func (d *fakeDiscovery) broadcast(data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.Write(encodeChunk(data))
	}
}
