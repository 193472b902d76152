package config

import (
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"

	"mothrouter/internal/cluster/plane"
)

// Fleet is the file that switches the plane between brokers on.
type Fleet struct {
	Fleet     string
	Name      string
	Listen    netip.AddrPort
	Advertise netip.AddrPort // the zero one: Listen
	Seeds     []netip.AddrPort
}

// LoadFleet reads the fleet file. The broker's name is that of the configuration unless the file names another.
func LoadFleet(path string, c *Config) (*Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError("fleet", "%v", err)
	}
	f := struct {
		Fleet     string   `toml:"fleet"`
		Name      string   `toml:"name"`
		Listen    string   `toml:"listen"`
		Advertise string   `toml:"advertise"`
		Seeds     []string `toml:"seeds"`
	}{Name: c.Name}
	md, err := toml.Decode(string(text), &f)
	if err != nil {
		return nil, keyError("fleet", "%s: %v", path, err)
	}
	if odd := md.Undecoded(); len(odd) > 0 {
		return nil, keyError("fleet."+odd[0].String(), "is not known")
	}
	if f.Fleet == "" {
		return nil, keyError("fleet.fleet", "is missing")
	}
	if f.Name == "" || len(f.Name) > plane.MaxNameLength {
		return nil, keyError("fleet.name", "%q is empty or longer than %d bytes", f.Name, plane.MaxNameLength)
	}
	out := &Fleet{Fleet: f.Fleet, Name: f.Name}
	if out.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, keyError("fleet.listen", "%v", err)
	}
	if f.Advertise != "" {
		if out.Advertise, err = netip.ParseAddrPort(f.Advertise); err != nil {
			return nil, keyError("fleet.advertise", "%v", err)
		}
	} else if out.Listen.Addr().IsUnspecified() {
		return nil, keyError("fleet.advertise", "is missing: others cannot reach %v", out.Listen)
	}
	if len(f.Seeds) == 0 {
		return nil, keyError("fleet.seeds", "is missing or empty: the first broker names itself")
	}
	for _, s := range f.Seeds {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, keyError("fleet.seeds", "%v", err)
		}
		out.Seeds = append(out.Seeds, a)
	}
	return out, nil
}
