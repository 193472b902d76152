package config

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"mothrouter/internal/controlplane/distribution"
)

// ConfigFollower is the file that has control machines change the configuration in service.
type ConfigFollower struct {
	Name            string // of the broker, in reports
	Zone            string // of the broker; "": not told
	Region          string // of the broker; "": not told
	ControlMachines []distribution.Machine
}

// maxNameLength is how many bytes names of brokers, zones and regions may have, as control machines take them.
const maxNameLength = 128

// LoadConfigFollower reads the configuration file. The broker's name is that of c unless the file names another.
func LoadConfigFollower(path string, c *Config) (*ConfigFollower, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError("configuration", "%v", err)
	}
	f := struct {
		Name    string `toml:"name"`
		Zone    string `toml:"zone"`
		Region  string `toml:"region"`
		Control []struct {
			Address string `toml:"address"`
			Zone    string `toml:"zone"`
			Region  string `toml:"region"`
		} `toml:"control"`
	}{Name: c.Name}
	md, err := toml.Decode(string(text), &f)
	if err != nil {
		return nil, keyError("configuration", "%s: %v", path, err)
	}
	if odd := md.Undecoded(); len(odd) > 0 {
		return nil, keyError("configuration."+odd[0].String(), "is not known")
	}
	if f.Name == "" {
		return nil, keyError("configuration.name", "is missing, as is that of the broker")
	}
	for key, name := range map[string]string{"name": f.Name, "zone": f.Zone, "region": f.Region} {
		if len(name) > maxNameLength {
			return nil, keyError("configuration."+key, "%q is longer than %d bytes", name, maxNameLength)
		}
	}
	if n := len(f.Control); n == 0 || n > distribution.MaxMachines {
		return nil, keyError("configuration.control", "names %d control machines, not 1 to %d", n, distribution.MaxMachines)
	}
	out := &ConfigFollower{Name: f.Name, Zone: f.Zone, Region: f.Region}
	seen := map[string]bool{}
	for i, m := range f.Control {
		key := fmt.Sprintf("configuration.control[%d].address", i)
		if err := checkAddr(key, m.Address); err != nil {
			return nil, err
		}
		if seen[m.Address] {
			return nil, keyError(key, "%s stands twice", m.Address)
		}
		seen[m.Address] = true
		out.ControlMachines = append(out.ControlMachines, distribution.Machine{Address: m.Address, Zone: m.Zone, Region: m.Region})
	}
	return out, nil
}
