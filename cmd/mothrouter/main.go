// Command mothrouter is a query broker: it takes queries cut into parts, has record servers answer the
// parts as package decision decides, and gives each query one final answer.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	flightFile := flag.String("flight", "", "`file` that switches Arrow Flight on, such as deploy/flight.toml")
	coresFile := flag.String("cores", "", "`file` that switches several cores on, such as deploy/cores.toml")
	fleetFile := flag.String("fleet", "", "`file` that has brokers know of each other, such as deploy/fleet.toml")
	stateFile := flag.String("state", "", "`file` that has learned state last over restarts, such as deploy/state.toml")
	configurationFile := flag.String("configuration", "",
		"`file` that has control machines change settings in service, such as deploy/configuration.toml")
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

// operatorFiles are the paths of the operator files. A feature whose path is "" is off.
type operatorFiles struct{ flight, cores, state, fleet, configuration string }
