// Command simadapter runs the decisions behind the simulator's wire on standard input and output.
package main

import (
	"fmt"
	"os"

	"mothrouter/internal/decision"
	"mothrouter/internal/simwire"
)

func main() {
	newDecider := func(s decision.Settings, seed uint64) decision.Decider {
		return decision.New(s, seed)
	}
	if err := simwire.Serve(os.Stdin, os.Stdout, newDecider); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
