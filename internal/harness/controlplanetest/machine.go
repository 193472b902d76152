package controlplanetest

import (
	"os/exec"
	"path/filepath"

	"mothrouter/internal/harness/process"
)

// Machine is one control machine: its name, its addresses and its process.
type Machine struct {
	process.Process
	Name    string
	Region  string
	Address string // for brokers and operators
	Folder  string // of its raft log

	cluster     *Cluster
	role        string // "voter" or "spare"
	peerAddress string // for the other control machines
}

// configPath returns the path of the machine's configuration file.
func (m *Machine) configPath() string { return filepath.Join(m.cluster.options.Folder, m.Name+".toml") }

// Start starts the machine's process, with flags in addition to the configuration file.
func (m *Machine) Start(flags ...string) error {
	arguments := append([]string{"control", m.configPath()}, flags...)
	return m.Run(exec.Command(m.cluster.options.Program, arguments...))
}

// StartWithFileLimit starts the machine's process with a limit on the size of each file that it writes. The limit is in blocks
// of ulimit -f, which are 512 or 1024 bytes, depending on the shell.
func (m *Machine) StartWithFileLimit(blocks string) error {
	const script = `ulimit -f "$0"; exec "$1" control "$2"`
	return m.Run(exec.Command("sh", "-c", script, blocks, m.cluster.options.Program, m.configPath()))
}
