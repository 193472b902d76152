package config

import "fmt"

// Flight is the operator file that enables Arrow Flight.
type Flight struct {
	Listen      string   `toml:"listen"`      // address host:port for clients
	Servers     []string `toml:"servers"`     // IDs of the record servers that support Flight
	Connections int      `toml:"connections"` // limit on client connections
	ServerConns int      `toml:"-"`           // limit on connections to those servers
}

// defaultFlightConnections is the value of Flight.Connections if the file does not set it.
const defaultFlightConnections = 64

// LoadFlight reads the Flight file and reduces the connection limits of c by the descriptors reserved for Flight. Errors are
// of type *KeyError.
func LoadFlight(path string, c *Config) (*Flight, error) {
	f := &Flight{Connections: defaultFlightConnections}
	if err := decodeTOML("flight", path, f); err != nil {
		return nil, err
	}
	if err := checkAddr("flight.listen", f.Listen); err != nil {
		return nil, err
	}
	for i, id := range f.Servers {
		if id == "" {
			return nil, missingKey(fmt.Sprintf("flight.servers[%d]", i), "the id of a record server")
		}
	}
	if err := f.reserveDescriptors(c); err != nil {
		return nil, err
	}
	return f, nil
}

// reserveDescriptors sets ServerConns and subtracts the connections of Flight from the connection limits of c.
func (f *Flight) reserveDescriptors(c *Config) error {
	available := c.MaxClientConns - minClientConns
	if f.Connections < 1 || f.Connections > available {
		return notAllowed("flight.connections", f.Connections, "1 to %d, by limits.sockets %d", available, c.MaxOpenFiles)
	}
	c.MaxClientConns -= f.Connections
	c.MaxIdleConns = min(c.MaxIdleConns, c.MaxClientConns/2)
	// Two connections per server: one shared by most calls, and one for calls that must not queue behind others.
	f.ServerConns = min(2*len(f.Servers), c.MaxServerConns/2)
	c.MaxServerConns -= f.ServerConns
	return nil
}
