// Package process starts the programs of test harnesses and follows their logs.
package process

import (
	"bufio"
	"io"
	"os/exec"
)

// Start starts a program. Each line of its standard error is handed to line, and how it exited to exited, both on one
// goroutine that ends with the program; the returned channel is closed after that.
func Start(cmd *exec.Cmd, line func(string), exited func(error)) (ended <-chan struct{}, err error) {
	cmd.Stdout = io.Discard
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			line(lines.Text())
		}
		exited(cmd.Wait())
	}()
	return done, nil
}
