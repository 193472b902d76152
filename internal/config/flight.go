package config

import (
	"os"

	"github.com/BurntSushi/toml"
)

// Flight is the file that switches Arrow Flight on.
type Flight struct {
	Listen      string   `toml:"listen"`
	Servers     []string `toml:"servers"`     // ids of record servers that speak Flight
	Connections int      `toml:"connections"` // of clients, at most
	ServerConns int      `toml:"-"`           // to those servers, at most
}

// LoadFlight reads the Flight file. The descriptors that it takes are taken off those of c's clients and servers.
func LoadFlight(path string, c *Config) (*Flight, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError("flight", "%v", err)
	}
	f := &Flight{Connections: 64}
	md, err := toml.Decode(string(text), f)
	if err != nil {
		return nil, keyError("flight", "%s: %v", path, err)
	}
	if odd := md.Undecoded(); len(odd) > 0 {
		return nil, keyError("flight."+odd[0].String(), "is not known")
	}
	if err := checkAddr("flight.listen", f.Listen); err != nil {
		return nil, err
	}
	for i, id := range f.Servers {
		if id == "" {
			return nil, keyError("flight.servers", "entry %d is empty", i)
		}
	}
	if f.Connections < 1 {
		return nil, keyError("flight.connections", "%d is below 1", f.Connections)
	}
	if c.MaxClientConns -= f.Connections; c.MaxClientConns < minClientConns {
		return nil, keyError("flight.connections", "%d is too many: limits.sockets %d leaves none for other clients", f.Connections, c.Sockets)
	}
	c.MaxIdleConns = min(c.MaxIdleConns, c.MaxClientConns/2)
	f.ServerConns = min(2*len(f.Servers), c.MaxServerConns/2) // one each, and one for what must not wait behind it
	c.MaxServerConns -= f.ServerConns
	return f, nil
}
