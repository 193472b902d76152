// Package scale measures how the cost of the broker's components grows with the number of record servers, parts per
// query and brokers, and with the rate of restarts. Only `go test` uses it: without flags it runs all experiments at
// small sizes; with -play it runs one at its large sizes and writes the run to a JSON file in docs/capacity, from which
// docs/CAPACITY.md is rendered.
//
// A run is a Record: an Experiment at several points, each measured repeatedly, with the commit, the machine and the
// seed. Fit finds how a measure grows over one axis. Cost is measured in processor time, allocations and bytes, since the
// machines that run experiments are shared; wall time is measured only where the target limits it.
package scale
