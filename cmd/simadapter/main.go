// Command simadapter runs the decision module for the simulator. It speaks the simulator's text protocol on standard input and
// output.
package main

import (
	"fmt"
	"os"

	"mothrouter/internal/decision"
	"mothrouter/internal/simwire"
)

func main() {
	newDecider := func(settings decision.Settings, seed uint64) decision.Decider {
		return decision.New(settings, seed)
	}
	if err := simwire.Serve(os.Stdin, os.Stdout, newDecider); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
