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

// A child is another process of the test binary that runs the remote side of an experiment, so that the CPU time and
// memory of that side are not counted. It exits when its standard input is closed. The environment variables childRoleEnv
// and childSizeEnv set its role and size.
const (
	childRoleEnv      = "SCALE_CHILD"
	childSizeEnv      = "SCALE_CHILD_SIZE"
	roleServers       = "record-servers"
	roleDiscovery     = "discovery"
	roleHub           = "configuration-hub"
	roleFollowers     = "configuration-followers"
	childReady        = "ready"
	childStartTimeout = 30 * time.Second
	maxChildLine      = 1 << 20 // maximum bytes of a line that a child writes
	maxRequestHead    = 4096    // buffer size for a watch's HTTP request head, in bytes
)

// ServeChild runs the process as a child until its parent closes its standard input. If the process is not a child, it
// returns false immediately.
func ServeChild() (isChild bool, err error) {
	size, err := strconv.Atoi(os.Getenv(childSizeEnv))
	switch os.Getenv(childRoleEnv) {
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

// serveRecords runs fake record servers until standard input is closed, after it has written their addresses to standard
// output.
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

// childServiceTime is the mean service time of a part at a fake record server. It is short because many fake servers
// share the machine.
const childServiceTime = 2 * time.Millisecond

// child is the parent's handle of a child process.
type child struct {
	cmd        *exec.Cmd
	in         io.WriteCloser
	out        *bufio.Scanner
	startLines []string // lines that the child wrote before childReady
}

// startChild starts a child and waits until it is ready, at most childStartTimeout.
func startChild(role string, size int) (*child, error) {
	c := &child{cmd: exec.Command(os.Args[0])}
	c.cmd.Env = append(os.Environ(), childRoleEnv+"="+role, childSizeEnv+"="+strconv.Itoa(size))
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
	return nil, errors.Join(
		fmt.Errorf("scale: child %q exited before it was ready (start timeout %v)", role, childStartTimeout), c.cmd.Wait())
}

// stop ends the child and returns its CPU time. It may be called more than once.
func (c *child) stop() (time.Duration, error) {
	c.in.Close()
	var err error
	if c.cmd.ProcessState == nil {
		err = c.cmd.Wait()
	}
	return c.cmd.ProcessState.UserTime() + c.cmd.ProcessState.SystemTime(), err
}

// request sends a command as a line of JSON and reads the response, which is a line of JSON as well.
func (c *child) request(command, response any) error {
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return err
	}
	if !c.out.Scan() {
		return errors.Join(errors.New("scale: child closed its output instead of responding to a command"), c.out.Err())
	}
	return json.Unmarshal(c.out.Bytes(), response)
}

// serveCommands is the child's side of request. It responds to commands until the parent closes the child's standard
// input.
func serveCommands[Command, Response any](handle func(Command) (Response, error)) error {
	in, out := json.NewDecoder(os.Stdin), json.NewEncoder(os.Stdout)
	for {
		var command Command
		if err := in.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		response, err := handle(command)
		if err != nil {
			return err
		}
		if err := out.Encode(response); err != nil {
			return err
		}
	}
}
