package controlserver

import (
	"sync"

	"mothrouter/internal/controlplane/consensus"
)

const (
	// MaxQueuedMessages is how many messages wait for one peer at most: a leader sends a follower a handful each heartbeat,
	// so this is minutes of silence.
	MaxQueuedMessages = 1024
	// MaxQueuedBytes bounds the messages that wait for one peer: one snapshot, and 8 MiB of entries.
	MaxQueuedBytes = consensus.MaxMessageBytes + 8<<20
)

// outbox is the bounded queue of messages to one peer. Where it is full the oldest message is dropped: the log sends
// what matters again, and a newer message tells more.
type outbox struct {
	mu       sync.Mutex // guards what follows
	messages [][]byte
	bytes    int
	dropped  uint64

	ready chan struct{} // holds a value after each put
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// push appends an encoded message.
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
	default: // it holds one already
	}
}

// pop removes the oldest message. It returns false where there is none.
func (o *outbox) pop() (message []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.messages) == 0 {
		return nil, false
	}
	return o.removeOldest(), true
}

// removeOldest needs the lock held and a message there.
func (o *outbox) removeOldest() []byte {
	oldest := o.messages[0]
	o.messages[0] = nil
	o.messages = o.messages[1:]
	o.bytes -= len(oldest)
	return oldest
}

// dropped returns how many messages were dropped.
func (o *outbox) droppedCount() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}
