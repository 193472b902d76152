package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// commands are the first arguments that call a command. All else starts a broker, with its own flags.
var commands = map[string]bool{"state": true, "control": true, "config": true}

// isCommand tells whether the arguments call a command rather than start a broker.
func isCommand(args []string) bool { return len(args) > 1 && commands[args[1]] }

// exitError is an error that ends the process with a status other than 1.
type exitError struct {
	error
	status int
}

func (e exitError) Unwrap() error { return e.error }

// runCommand runs the command that the arguments of the process call, and returns the status to end with.
func runCommand() int {
	root := stateCommand()
	root.AddCommand(controlCommand(), configCommand())
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "mothrouter:", err)
	if e := (exitError{}); errors.As(err, &e) {
		return e.status
	}
	return 1
}

// addressesFlag adds the flag that lists control machines.
func addressesFlag(c *cobra.Command) *[]string {
	addresses := c.Flags().StringSlice("control", nil, "`addresses` of control machines: host:port, separated by commas")
	if err := c.MarkFlagRequired("control"); err != nil {
		panic(err) // the flag is the one above
	}
	return addresses
}
