package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"time"

	"mothrouter/internal/harness/recordservertest"
)

// A child is a second process of the test binary that plays the other side of an experiment, so that its processor time
// and memory are not counted. It ends when its standard input does. The environment names its role and size.
const (
	childRole         = "SCALE_CHILD"
	childSize         = "SCALE_CHILD_SIZE"
	roleServers       = "record-servers"
	roleDiscovery     = "discovery"
	roleHub           = "configuration-hub"
	roleFollowers     = "configuration-followers"
	childReady        = "ready"
	childStartTimeout = 30 * time.Second
	maxChildLine      = 1 << 20 // bytes of a line that a child writes
	maxRequestHead    = 4096    // bytes of a watch's request head
)

// ServeChild runs the process as a child until its parent ends it. It reports false at once if the process is no child.
func ServeChild() (isChild bool, err error) {
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

// serveRecords runs fake record servers and writes their addresses.
func serveRecords(servers int) error {
	f, err := recordservertest.New(recordservertest.Options{
		Servers: servers, ReplicationFactor: AssumedReplicationFactor, ServiceTime: childServiceTime, Seed: 1,
	})
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

// childServiceTime is the mean time of a part at a fake record server. It is short, since many share the machine.
const childServiceTime = 2 * time.Millisecond

// child is a child process as its parent sees it.
type child struct {
	cmd        *exec.Cmd
	in         io.WriteCloser
	out        *bufio.Scanner
	startLines []string // written before it was ready
}

// startChild starts a child and waits until it is ready.
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

// stop ends the child and returns its processor time. It can be called again.
func (c *child) stop() (time.Duration, error) {
	c.in.Close()
	var err error
	if c.cmd.ProcessState == nil {
		err = c.cmd.Wait()
	}
	return c.cmd.ProcessState.UserTime() + c.cmd.ProcessState.SystemTime(), err
}

// request sends a command as one line of JSON and reads the answer, which is another line.
func (c *child) request(command, answer any) error {
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return err
	}
	if !c.out.Scan() {
		return errors.Join(errors.New("scale: a child has ended"), c.out.Err())
	}
	return json.Unmarshal(c.out.Bytes(), answer)
}

// serveCommands is the child's side of request: it answers each command until the parent closes its standard input.
func serveCommands[Command, Answer any](handle func(Command) (Answer, error)) error {
	in, out := json.NewDecoder(os.Stdin), json.NewEncoder(os.Stdout)
	for {
		var command Command
		if err := in.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		answer, err := handle(command)
		if err != nil {
			return err
		}
		if err := out.Encode(answer); err != nil {
			return err
		}
	}
}
