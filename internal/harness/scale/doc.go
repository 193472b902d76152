// Package scale measures how the cost of the broker's components grows with the number of record servers, parts per
// query and brokers, and with the rate of restarts. Only `go test` uses it: without flags it runs all experiments at
// small sizes; with -play it runs one experiment at its large sizes and writes a JSON record to docs/capacity, from which
// docs/CAPACITY.md is rendered.
//
// A Record holds the results of an Experiment at several points, each measured repeatedly, with the commit, the machine
// and the seed. Fit determines how a measure grows along one axis. Costs are measured in CPU time, allocations and bytes,
// because the machines that run experiments are shared; wall time is measured only where the target limits it.
package scale
