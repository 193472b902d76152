package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// commands is the set of subcommands. With any other first argument the process is a broker, and the arguments are its flags.
var commands = map[string]bool{"state": true, "control": true, "config": true}

// isCommand reports whether the process's arguments name a subcommand rather than start a broker.
func isCommand(args []string) bool { return len(args) > 1 && commands[args[1]] }

// exitError is an error with an exit status other than 1.
type exitError struct {
	error
	status int
}

func (e exitError) Unwrap() error { return e.error }

// runCommand runs the subcommand that the process's arguments name and returns the exit status.
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

// addressesFlag adds the required flag --control, which lists the addresses of control machines.
func addressesFlag(cmd *cobra.Command) *[]string {
	addresses := cmd.Flags().StringSlice("control", nil, "`addresses` of control machines: host:port, separated by commas")
	if err := cmd.MarkFlagRequired("control"); err != nil {
		panic(err) // only possible if the flag above is not defined
	}
	return addresses
}
