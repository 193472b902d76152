package config

const (
	maxWorkers       = 64
	memoryPerWorker  = 8  // MB: a loop, its Decider and their state of 200 servers at the full concurrency limit
	socketsPerWorker = 32 // descriptors: the clients and record servers that keep one worker busy
)

// LoadCores reads the operator file that switches several cores on, and returns the number of workers: 1 or more, as many as
// the limits of memory and descriptors allow. Errors are of type *KeyError.
func LoadCores(path string, c *Config) (workers int, err error) {
	var file struct {
		Workers *int `toml:"workers"`
	}
	if err := decodeTOML("cores", path, &file); err != nil {
		return 0, err
	}
	limit := min(maxWorkers, c.MemoryMB/memoryPerWorker, c.Sockets/socketsPerWorker)
	if file.Workers == nil {
		return 0, missingKey("cores.workers", "a number of workers")
	}
	if workers = *file.Workers; workers < 1 || workers > limit {
		return 0, notAllowed("cores.workers", workers, "1 to %d, by limits.memory_mb %d, limits.sockets %d and at most %d",
			limit, c.MemoryMB, c.Sockets, maxWorkers)
	}
	return workers, nil
}
