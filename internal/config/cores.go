package config

import (
	"os"

	"github.com/BurntSushi/toml"
)

const (
	maxWorkers       = 64
	memoryPerWorker  = 8  // MB: a loop, its Decider and what it holds of 200 servers and a full open cap
	socketsPerWorker = 32 // clients and record servers for what one worker can hold
)

// LoadCores reads the file that switches several cores on, and returns how many workers there are.
func LoadCores(path string, c *Config) (workers int, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, keyError("cores", "%v", err)
	}
	var f struct {
		Workers *int `toml:"workers"`
	}
	md, err := toml.Decode(string(text), &f)
	if err != nil {
		return 0, keyError("cores", "%s: %v", path, err)
	}
	if odd := md.Undecoded(); len(odd) > 0 {
		return 0, keyError("cores."+odd[0].String(), "is not known")
	}
	if f.Workers == nil {
		return 0, keyError("cores.workers", "is missing")
	}
	fits := min(maxWorkers, c.MemoryMB/memoryPerWorker, c.Sockets/socketsPerWorker)
	switch n := *f.Workers; {
	case n < 1:
		return 0, keyError("cores.workers", "%d is below 1", n)
	case n > fits:
		return 0, keyError("cores.workers", "%d is too many: limits.memory_mb %d, limits.sockets %d and the most there can be bear %d",
			n, c.MemoryMB, c.Sockets, fits)
	}
	return *f.Workers, nil
}
