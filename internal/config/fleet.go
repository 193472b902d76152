package config

import (
	"fmt"
	"net/netip"

	"mothrouter/internal/cluster/plane"
)

// Fleet is the operator file that makes a broker join the membership protocol of its fleet.
type Fleet struct {
	Fleet     string           // name of the fleet; datagrams of other fleets are dropped
	Name      string           // name of the broker, unique in the fleet
	Listen    netip.AddrPort   // listening address for datagrams from other brokers
	Advertise netip.AddrPort   // address that other brokers send to; the zero value: Listen
	Seeds     []netip.AddrPort // brokers to contact when joining; at least one
}

// fleetFile is the TOML form of Fleet.
type fleetFile struct {
	Fleet     string   `toml:"fleet"`
	Name      string   `toml:"name"`
	Listen    string   `toml:"listen"`
	Advertise string   `toml:"advertise"`
	Seeds     []string `toml:"seeds"`
}

// LoadFleet reads the fleet file. The broker's name is c.Name unless the file sets one. Errors are of type *KeyError.
func LoadFleet(path string, c *Config) (*Fleet, error) {
	file := fleetFile{Name: c.Name}
	if err := decodeTOML("fleet", path, &file); err != nil {
		return nil, err
	}
	if file.Fleet == "" {
		return nil, missingKey("fleet.fleet", allowedText)
	}
	if err := checkName("fleet.name", file.Name, plane.MaxNameLength); err != nil {
		return nil, err
	}
	fleet := &Fleet{Fleet: file.Fleet, Name: file.Name}
	if err := fleet.readAddresses(&file); err != nil {
		return nil, err
	}
	if err := fleet.readSeeds(file.Seeds); err != nil {
		return nil, err
	}
	return fleet, nil
}

// readAddresses sets Listen and Advertise. Advertise is required if Listen is the unspecified address.
func (f *Fleet) readAddresses(file *fleetFile) (err error) {
	if f.Listen, err = parseAddrPort("fleet.listen", file.Listen); err != nil {
		return err
	}
	if file.Advertise != "" {
		f.Advertise, err = parseAddrPort("fleet.advertise", file.Advertise)
		return err
	}
	if f.Listen.Addr().IsUnspecified() {
		return missingKey("fleet.advertise", fmt.Sprintf("an address that others can reach, as fleet.listen is %v", f.Listen))
	}
	return nil
}

// readSeeds sets Seeds and checks that there is at least one.
func (f *Fleet) readSeeds(seeds []string) error {
	if len(seeds) == 0 {
		return missingKey("fleet.seeds", "at least one address IP:port; the first broker lists itself")
	}
	for i, seed := range seeds {
		addr, err := parseAddrPort(fmt.Sprintf("fleet.seeds[%d]", i), seed)
		if err != nil {
			return err
		}
		f.Seeds = append(f.Seeds, addr)
	}
	return nil
}
