// Command loadgen measures a mothrouter over the loopback interface. It runs fake record servers and clients, starts the
// broker with one worker and with several, alternating between them, and prints throughput, latency, processor time and
// memory with confidence intervals over the runs. docs/cores.md describes what it is used for.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"mothrouter/internal/harness/recordservertest"
)

var (
	program  = flag.String("program", "bin/mothrouter", "path of the broker's binary")
	workers  = flag.String("workers", "0,1,2", "numbers of workers to compare, separated by commas; 0: without -cores")
	runs     = flag.Int("runs", 5, "runs of each number of workers, interleaved")
	seconds  = flag.Float64("seconds", 4, "measured duration of each run")
	clients  = flag.Int("clients", 64, "client connections")
	servers  = flag.Int("servers", 60, "record servers")
	parts    = flag.Int("parts", 36, "parts of each query")
	work     = flag.Duration("work", 4*time.Millisecond, "mean service time of a part at a record server")
	rate     = flag.Float64("rate", 0, "offered queries per second; 0: each client sends its next query after an answer")
	openCap  = flag.Int("open", 100_000, "limit of queries and parts in flight in the broker")
	memoryMB = flag.Int("memory", 512, "memory limit of the broker, MB")
	sockets  = flag.Int("sockets", 2048, "limit of the broker's file descriptors")
)

// replicationFactor is how many record servers hold a shard.
const replicationFactor = 2

func main() {
	flag.Parse()
	if err := measure(); err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}

// variant is a number of workers with the results of its runs.
type variant struct {
	workers int // 0: one loop, without -cores
	results []result
}

// measure runs all variants and prints the report.
func measure() error {
	variants, err := parseVariants(*workers)
	if err != nil {
		return err
	}
	fleet, err := recordservertest.New(recordservertest.Options{
		Servers: *servers, ReplicationFactor: replicationFactor, ServiceTime: *work, Seed: 1,
		NonIdempotent: func(id string) bool { return strings.HasPrefix(id, "c") },
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	for range *runs {
		for i := range variants { // alternating, so that other load on the machine affects all variants alike
			r, err := run(fleet, variants[i].workers)
			if err != nil {
				return err
			}
			variants[i].results = append(variants[i].results, r)
		}
	}
	printReport(variants)
	printViolations(fleet)
	return nil
}

// parseVariants parses the flag -workers.
func parseVariants(list string) (variants []variant, err error) {
	for field := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, fmt.Errorf("-workers: %w", err)
		}
		variants = append(variants, variant{workers: n})
	}
	return variants, nil
}
