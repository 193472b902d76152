// Package logtest provides a buffer in which tests collect the log of the code under test.
package logtest

import (
	"bytes"
	"sync"
)

// Buffer collects a log. It can be the writer of a slog handler or the output of a process. Its zero value is empty and ready
// to use. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex // guards data
	data bytes.Buffer
}

// Write appends p to the log. It never returns an error.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// String returns all data written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
