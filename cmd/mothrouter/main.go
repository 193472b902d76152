// Command mothrouter is a query broker: it scatters the parts of each query over replicated record servers, as package
// decision decides, and returns one final answer for each query, complete or partial.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	flightFile := flag.String("flight", "", "`file` that enables Arrow Flight, such as deploy/flight.toml")
	coresFile := flag.String("cores", "", "`file` that enables several workers, such as deploy/cores.toml")
	fleetFile := flag.String("fleet", "", "`file` that enables fleet membership, such as deploy/fleet.toml")
	stateFile := flag.String("state", "", "`file` that keeps learned state across restarts, such as deploy/state.toml")
	configurationFile := flag.String("configuration", "",
		"`file` that lets control machines change settings at runtime, such as deploy/configuration.toml")
	if isCommand(os.Args) {
		os.Exit(runCommand())
	}
	flag.Parse()
	if flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	files := operatorFiles{
		flight: *flightFile, cores: *coresFile, state: *stateFile, fleet: *fleetFile, configuration: *configurationFile,
	}
	if err := run(os.Getenv, files); err != nil {
		fmt.Fprintln(os.Stderr, "mothrouter:", err)
		os.Exit(1)
	}
}

// operatorFiles holds the paths of the operator files. A feature whose path is "" is disabled.
type operatorFiles struct{ flight, cores, state, fleet, configuration string }
