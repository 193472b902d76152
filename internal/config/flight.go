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
}

// LoadFlight reads the Flight file.
func LoadFlight(path string) (*Flight, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, bad("flight", "%v", err)
	}
	f := &Flight{Connections: 64}
	md, err := toml.Decode(string(text), f)
	if err != nil {
		return nil, bad("flight", "%s: %v", path, err)
	}
	if odd := md.Undecoded(); len(odd) > 0 {
		return nil, bad("flight."+odd[0].String(), "is not known")
	}
	if err := checkAddr("flight.listen", f.Listen); err != nil {
		return nil, err
	}
	for i, id := range f.Servers {
		if id == "" {
			return nil, bad("flight.servers", "entry %d is empty", i)
		}
	}
	if f.Connections < 1 {
		return nil, bad("flight.connections", "%d is below 1", f.Connections)
	}
	return f, nil
}
