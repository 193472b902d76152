package config

import (
	"fmt"

	"mothrouter/internal/controlplane/distribution"
)

// Follower is the operator file that has a broker follow the revisions of the control machines.
type Follower struct {
	Name            string                        // of the broker, in its status reports
	Zone            string                        // of the broker; "": unknown
	Region          string                        // of the broker; "": unknown
	ControlMachines []distribution.ControlMachine // 1 to distribution.MaxControlMachines, each address once
}

// maxNameLength is the limit of control machines for names of brokers, zones and regions, in bytes.
const maxNameLength = 128

// followerFile is the file as written.
type followerFile struct {
	Name    string                `toml:"name"`
	Zone    string                `toml:"zone"`
	Region  string                `toml:"region"`
	Control []followerFileMachine `toml:"control"`
}

type followerFileMachine struct {
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Region  string `toml:"region"`
}

// LoadFollower reads the file. The broker's name is that of c unless the file has another. Errors are of type
// *KeyError.
func LoadFollower(path string, c *Config) (*Follower, error) {
	file := followerFile{Name: c.Name}
	if err := decodeTOML("configuration", path, &file); err != nil {
		return nil, err
	}
	if err := checkName("configuration.name", file.Name, maxNameLength); err != nil {
		return nil, err
	}
	if err := checkNameLength("configuration.zone", file.Zone, maxNameLength); err != nil {
		return nil, err
	}
	if err := checkNameLength("configuration.region", file.Region, maxNameLength); err != nil {
		return nil, err
	}
	machines, err := parseMachines(file.Control)
	if err != nil {
		return nil, err
	}
	return &Follower{Name: file.Name, Zone: file.Zone, Region: file.Region, ControlMachines: machines}, nil
}

// parseMachines checks the control machines that a broker may follow.
func parseMachines(rows []followerFileMachine) ([]distribution.ControlMachine, error) {
	if n := len(rows); n == 0 || n > distribution.MaxControlMachines {
		return nil, notAllowed("configuration.control", entryCount(n), "1 to %d entries", distribution.MaxControlMachines)
	}
	var machines []distribution.ControlMachine
	seen := map[string]bool{}
	for i, row := range rows {
		key := fmt.Sprintf("configuration.control[%d].address", i)
		if err := checkAddr(key, row.Address); err != nil {
			return nil, err
		}
		if seen[row.Address] {
			return nil, notAllowed(key, row.Address, allowedOnce)
		}
		seen[row.Address] = true
		machines = append(machines, distribution.ControlMachine{Address: row.Address, Zone: row.Zone, Region: row.Region})
	}
	return machines, nil
}
