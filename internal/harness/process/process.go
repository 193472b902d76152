// Package process runs processes of a program under test: it starts, pauses, kills and restarts them and keeps the latest
// lines of their logs.
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

// maxLogLines is how many of the latest log lines are kept.
const maxLogLines = 200

// Process is an operating-system process that can be restarted. The zero value has not been started. Its methods are safe for
// concurrent use, except that Run must not be called while a process runs.
type Process struct {
	// OnLogLine is called with each line of standard error, from one goroutine at a time. It may be nil. Set it before Run.
	OnLogLine func(line string)

	mu       sync.Mutex // guards the fields below
	cmd      *exec.Cmd
	exited   <-chan struct{} // closed once cmd has exited
	err      error           // from cmd.Wait, of the last process that has exited
	logLines []string        // the latest maxLogLines lines of standard error
}

// Run starts a command as the process and returns without waiting for its exit.
func (p *Process) Run(cmd *exec.Cmd) error {
	cmd.Stdout = io.Discard
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		defer close(exited)
		for scanner := bufio.NewScanner(log); scanner.Scan(); {
			p.addLogLine(scanner.Text())
		}
		p.setError(cmd.Wait())
	}()
	return nil
}

// addLogLine keeps a log line and passes it to OnLogLine.
func (p *Process) addLogLine(line string) {
	p.mu.Lock()
	p.logLines = append(p.logLines, line)
	if len(p.logLines) > maxLogLines {
		p.logLines = p.logLines[1:]
	}
	p.mu.Unlock()
	if p.OnLogLine != nil {
		p.OnLogLine(line)
	}
}

// setError records the result of cmd.Wait.
func (p *Process) setError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

// Log returns the latest 200 lines of standard error. They include lines from before a restart.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.logLines, "\n")
}

// Pause stops the process with SIGSTOP until Continue is called.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue resumes a paused process.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait()
}

// Terminate sends SIGTERM and returns the exit status as Wait does.
func (p *Process) Terminate() (status int) {
	p.signal(syscall.SIGTERM)
	return p.Wait()
}

// Wait waits until the process has exited and returns its exit status, or -1 if a signal terminated it or none was started.
func (p *Process) Wait() (status int) {
	exited := p.Exited()
	if exited == nil {
		return -1
	}
	<-exited
	p.mu.Lock()
	defer p.mu.Unlock()
	var exitErr *exec.ExitError
	if errors.As(p.err, &exitErr) {
		return exitErr.ExitCode()
	}
	return 0
}

// Exited returns a channel that is closed once the process has exited, or nil if none was started.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// signal sends a signal to the process if one was started. It has no effect after the process has exited.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}
