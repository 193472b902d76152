package controlserver

import (
	"sync"

	"mothrouter/internal/controlplane/consensus"
)

const (
	// MaxQueuedMessages is the maximum number of messages queued for one peer. A leader sends a few per heartbeat, so the
	// queue fills up after minutes without a connection.
	MaxQueuedMessages = 1024
	// MaxQueuedBytes is the maximum total size of the messages queued for one peer: one snapshot and 8 MiB of entries.
	MaxQueuedBytes = consensus.MaxMessageBytes + 8<<20
)

// outbox is the bounded queue of messages to one peer. When it is full it drops the oldest message: raft retries, and a
// newer message supersedes an older one. It is safe for concurrent use.
type outbox struct {
	mu       sync.Mutex // guards messages, bytes and dropped
	messages [][]byte   // oldest first
	bytes    int        // total size of messages
	dropped  uint64     // number of messages dropped so far

	wakeup chan struct{} // capacity 1; receives a value after each push
}

func newOutbox() *outbox { return &outbox{wakeup: make(chan struct{}, 1)} }

// push appends an encoded message, and drops the oldest messages while a limit is exceeded.
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
	case o.wakeup <- struct{}{}:
	default: // already signaled
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
