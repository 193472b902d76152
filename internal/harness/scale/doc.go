// Package scale measures what parts of the broker cost as its surroundings grow: record servers, parts a query,
// brokers, the rate of restarts. It is no part of the program. `go test` drives it: small sizes without flags, large
// ones with -play, which writes one JSON file a run to docs/capacity. docs/CAPACITY.md is rendered from those files.
//
// A run is a Record: an Experiment played at several points, each repeated in turns, with the commit, the machine and
// the seed. Fit finds the slope of a measure over one axis. Load is counted in processor time, allocations and bytes,
// since the machines that play runs are shared; wall time stands beside it only where a time limit is meant.
package scale
