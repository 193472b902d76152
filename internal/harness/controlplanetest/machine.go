package controlplanetest

import (
	"errors"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"mothrouter/internal/harness/process"
)

// maxLines is how many of its lines are kept, for a test that fails.
const maxLines = 200

// Machine is one control machine, whichever process runs as it.
type Machine struct {
	rig         *Rig
	Name        string
	Region      string
	Address     string // for brokers and operators
	Folder      string // of its log
	role        string
	peerAddress string

	mu    sync.Mutex // guards what follows
	cmd   *exec.Cmd
	ended <-chan struct{}
	err   error // of the process that ended last
	lines []string
}

func (m *Machine) file() string { return filepath.Join(m.rig.options.Folder, m.Name+".toml") }

// Start starts a process of the machine.
func (m *Machine) Start(flags ...string) error {
	return m.run(exec.Command(m.rig.options.Program, append([]string{"control", m.file()}, flags...)...))
}

// StartLimited starts a process of the machine that can make no file larger than so many KiB.
func (m *Machine) StartLimited(kib string) error {
	return m.run(exec.Command("sh", "-c", `ulimit -f "$0"; exec "$1" control "$2"`, kib, m.rig.options.Program, m.file()))
}

func (m *Machine) run(cmd *exec.Cmd) error {
	ended, err := process.Start(cmd, m.keep, m.exited)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.ended = cmd, ended
	return nil
}

// exited records how the process exited.
func (m *Machine) exited(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

func (m *Machine) keep(line string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lines = append(m.lines, line); len(m.lines) > maxLines {
		m.lines = m.lines[1:]
	}
}

// Log is the latest lines of the machine's processes.
func (m *Machine) Log() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.lines, "\n")
}

// Pause stops the process until Continue.
func (m *Machine) Pause() { m.signal(syscall.SIGSTOP) }

// Continue lets it go on.
func (m *Machine) Continue() { m.signal(syscall.SIGCONT) }

// Kill kills the process, and returns once it is gone.
func (m *Machine) Kill() {
	m.signal(syscall.SIGKILL)
	m.Wait()
}

// End asks the process to end, and returns its exit status once it has.
func (m *Machine) End() int {
	m.signal(syscall.SIGTERM)
	return m.Wait()
}

// Wait returns the exit status of the process once it has ended; -1: by a signal, or there was none.
func (m *Machine) Wait() int {
	_, ended := m.process()
	if ended == nil {
		return -1
	}
	<-ended
	m.mu.Lock()
	defer m.mu.Unlock()
	var exit *exec.ExitError
	if errors.As(m.err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// Ended is closed once the process has ended.
func (m *Machine) Ended() <-chan struct{} {
	_, ended := m.process()
	return ended
}

func (m *Machine) process() (*exec.Cmd, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd, m.ended
}

func (m *Machine) signal(s syscall.Signal) {
	if cmd, _ := m.process(); cmd != nil {
		cmd.Process.Signal(s)
	}
}
