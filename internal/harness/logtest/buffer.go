// Package logtest holds what tests need to read the logs of code under test.
package logtest

import (
	"bytes"
	"sync"
)

// Buffer collects a log, as the writer of a handler or the output of a process. Its zero value is empty and ready to
// use. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write appends p to the log. It never returns an error.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// String returns what has been written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
