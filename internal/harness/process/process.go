// Package process runs the processes of a program under test: it starts, pauses, kills and restarts them and keeps what
// they log.
package process

import (
	"bufio"
	"errors"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// maxLines is how many of the latest log lines are kept.
const maxLines = 200

// Process is a process that can be restarted. The zero value has not been started. Its methods are safe for concurrent
// use, except that Run must not be called while a process runs.
type Process struct {
	// OnLine is called with each line of standard error, from one goroutine at a time; nil: lines are only kept.
	OnLine func(line string)

	mu    sync.Mutex // guards what follows
	cmd   *exec.Cmd
	ended <-chan struct{}
	err   error // of the last process that has ended
	lines []string
}

// Run starts a command as the process.
func (p *Process) Run(cmd *exec.Cmd) error {
	cmd.Stdout = io.Discard
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		defer close(ended)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			p.addLine(lines.Text())
		}
		p.setError(cmd.Wait())
	}()
	return nil
}

func (p *Process) addLine(line string) {
	p.mu.Lock()
	p.lines = append(p.lines, line)
	if len(p.lines) > maxLines {
		p.lines = p.lines[1:]
	}
	p.mu.Unlock()
	if p.OnLine != nil {
		p.OnLine(line)
	}
}

func (p *Process) setError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

// Log returns the latest lines of standard error, those of earlier processes included.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// Pause stops the process until Continue.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue continues a paused process.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait()
}

// Terminate sends SIGTERM and returns the exit status as Wait does.
func (p *Process) Terminate() (status int) {
	p.signal(syscall.SIGTERM)
	return p.Wait()
}

// Wait waits until the process has ended and returns its exit status, or -1 if a signal ended it or none was started.
func (p *Process) Wait() (status int) {
	ended := p.Ended()
	if ended == nil {
		return -1
	}
	<-ended
	p.mu.Lock()
	defer p.mu.Unlock()
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// Ended returns a channel that is closed once the process has ended, or nil if none was started.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}
