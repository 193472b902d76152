package controlserver

import (
	"sync"

	"mothrouter/internal/controlplane/consensus"
)

const (
	// MaxQueuedMessages is the maximum number of messages queued for one peer: a leader sends a handful per heartbeat, so
	// these are minutes without a connection.
	MaxQueuedMessages = 1024
	// MaxQueuedBytes bounds the messages queued for one peer: one snapshot and 8 MiB of entries.
	MaxQueuedBytes = consensus.MaxMessageBytes + 8<<20
)

// outbox is the bounded queue of messages to one peer. When it is full it drops the oldest: raft retries, and a newer
// message supersedes an older one. It is safe for concurrent use.
type outbox struct {
	mu       sync.Mutex // guards the next three
	messages [][]byte   // oldest first
	bytes    int        // of messages
	dropped  uint64     // messages so far

	ready chan struct{} // capacity 1; has a value after each push
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// push appends an encoded message and drops the oldest beyond the limits.
func (o *outbox) push(message []byte) {
	o.mu.Lock()
	o.messages = append(o.messages, message)
	o.bytes += len(message)
	for len(o.messages) > MaxQueuedMessages || o.bytes > MaxQueuedBytes {
		o.removeOldest()
		o.dropped++
	}
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default: // it has a value already
	}
}

// pop removes and returns the oldest message, or reports false if there is none.
func (o *outbox) pop() (message []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.messages) == 0 {
		return nil, false
	}
	return o.removeOldest(), true
}

// removeOldest removes and returns the oldest message. The caller holds mu, and the queue is not empty.
func (o *outbox) removeOldest() []byte {
	oldest := o.messages[0]
	o.messages[0] = nil
	o.messages = o.messages[1:]
	o.bytes -= len(oldest)
	return oldest
}

// droppedCount returns the number of messages dropped so far.
func (o *outbox) droppedCount() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}
