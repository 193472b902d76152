// Command wirehost runs cloverhook behind the simulator's wire on standard input and output.
package main

import (
	"fmt"
	"os"

	"cloverhook"
	"cloverhook/internal/wire"
)

func main() {
	newDecider := func(s cloverhook.Settings, seed uint64) cloverhook.Decider {
		return cloverhook.New(s, seed)
	}
	if err := wire.Serve(os.Stdin, os.Stdout, newDecider); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
