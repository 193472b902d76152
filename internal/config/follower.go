package config

import (
	"fmt"

	"mothrouter/internal/controlplane/distribution"
)

// Follower is the operator file that makes a broker receive its configuration revisions from the control machines.
type Follower struct {
	Name            string                        // name of the broker in its status reports
	Zone            string                        // zone of the broker; "": unknown
	Region          string                        // region of the broker; "": unknown
	ControlMachines []distribution.ControlMachine // 1 to distribution.MaxControlMachines entries with distinct addresses
}

// maxNameLength is the length limit, in bytes, that control machines enforce for names of brokers, zones and regions.
const maxNameLength = 128

// followerFile is the TOML form of Follower.
type followerFile struct {
	Name    string                `toml:"name"`
	Zone    string                `toml:"zone"`
	Region  string                `toml:"region"`
	Control []followerFileMachine `toml:"control"`
}

// followerFileMachine is the TOML form of distribution.ControlMachine.
type followerFileMachine struct {
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Region  string `toml:"region"`
}

// LoadFollower reads the file at path. The broker's name is c.Name unless the file sets one. Errors are of type *KeyError.
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
	machines, err := parseControlMachines(file.Control)
	if err != nil {
		return nil, err
	}
	return &Follower{Name: file.Name, Zone: file.Zone, Region: file.Region, ControlMachines: machines}, nil
}

// parseControlMachines checks the list of control machines that a broker may connect to.
func parseControlMachines(rows []followerFileMachine) ([]distribution.ControlMachine, error) {
	if count := len(rows); count == 0 || count > distribution.MaxControlMachines {
		return nil, notAllowed("configuration.control", entryCount(count), "1 to %d entries", distribution.MaxControlMachines)
	}
	var machines []distribution.ControlMachine
	seenAddresses := map[string]bool{}
	for i, row := range rows {
		key := fmt.Sprintf("configuration.control[%d].address", i)
		if err := checkAddr(key, row.Address); err != nil {
			return nil, err
		}
		if seenAddresses[row.Address] {
			return nil, notAllowed(key, row.Address, allowedUnique)
		}
		seenAddresses[row.Address] = true
		machines = append(machines, distribution.ControlMachine{Address: row.Address, Zone: row.Zone, Region: row.Region})
	}
	return machines, nil
}
