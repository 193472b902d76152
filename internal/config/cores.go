package config

const (
	maxWorkers       = 64
	memoryPerWorker  = 8  // MiB: an event loop and its Decider with state for 200 record servers, at the full concurrency limit
	socketsPerWorker = 32 // descriptors: connections of enough clients and record servers to keep one worker busy
)

// LoadCores reads the operator file that enables multiple workers and returns their number. It is at least 1 and at most what
// the limits of memory and descriptors allow. Errors are of type *KeyError.
func LoadCores(path string, c *Config) (workers int, err error) {
	var file struct {
		Workers *int `toml:"workers"`
	}
	if err := decodeTOML("cores", path, &file); err != nil {
		return 0, err
	}
	limit := min(maxWorkers, c.MemoryLimitMiB/memoryPerWorker, c.MaxOpenFiles/socketsPerWorker)
	if file.Workers == nil {
		return 0, missingKey("cores.workers", "a number of workers")
	}
	if workers = *file.Workers; workers < 1 || workers > limit {
		return 0, notAllowed("cores.workers", workers, "1 to %d, by limits.memory_mb %d, limits.sockets %d and at most %d",
			limit, c.MemoryLimitMiB, c.MaxOpenFiles, maxWorkers)
	}
	return workers, nil
}
