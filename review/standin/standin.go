// Package standin holds the stand-ins of the review's cases: record servers, discovery and clients that speak the platform's
// protocol, and the start of the project's own programs. It uses the standard library alone.
package standin

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Record is the file record.txt of a case: a line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, begin: time.Now()}, err
}

// Line writes a line, with the seconds since the start of the case before it.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
	if _, err := r.file.WriteString(text); err != nil {
		fmt.Fprintln(os.Stderr, "record.txt:", err)
	}
}

// Say writes a line to the file and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Process is a program of the project that a case has started.
type Process struct {
	*exec.Cmd
	Done chan struct{} // closed once it has ended
	Log  string        // path of its standard error
}

// Start starts a command of the deploy file, followed by arguments, from the root of the repository by /bin/sh, as the
// platform does. Standard output and error go into a file in folder.
func Start(root, folder, name, command string, environment []string, extra ...*os.File) (*Process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = root, append(os.Environ(), environment...), log, log
	cmd.ExtraFiles = extra
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Cmd: cmd, Done: make(chan struct{}), Log: log.Name()}
	go func() {
		_ = cmd.Wait() // the exit status is in ProcessState
		_ = log.Close()
		close(p.Done)
	}()
	return p, nil
}

// Signal sends a signal to the process, if it still runs.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.Done:
	default:
		_ = p.Process.Signal(s) // it may end in this moment
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.Done
}

// RunCommand returns the command run of the deploy file.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run")
}

// FreeAddress returns a loopback address whose port is free now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
