package controlserver

import "sync"

const (
	// MaxQueued is how many messages wait for one peer at most: a leader sends a follower a handful each heartbeat,
	// so this is minutes of silence.
	MaxQueued = 1024
	// MaxQueuedBytes bounds the messages that wait for one peer: one snapshot, and 8 MiB of entries.
	MaxQueuedBytes = MaxEnvelopeBytes + 8<<20
)

// outgoing is one encoded message of the replicated log.
type outgoing struct {
	data     []byte
	snapshot bool
}

// outbox is the bounded queue of messages to one peer. Where it is full the oldest message is dropped: the log sends
// what matters again, and a newer message tells more.
type outbox struct {
	mu      sync.Mutex // guards what follows
	waiting []outgoing
	bytes   int
	dropped uint64

	ready chan struct{} // holds a value after each put
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// put appends a message, and tells whether a snapshot was dropped for it.
func (o *outbox) put(message outgoing) (snapshotDropped bool) {
	o.mu.Lock()
	o.waiting = append(o.waiting, message)
	o.bytes += len(message.data)
	for len(o.waiting) > MaxQueued || o.bytes > MaxQueuedBytes {
		oldest := o.removeOldest()
		o.dropped++
		snapshotDropped = snapshotDropped || oldest.snapshot
	}
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return snapshotDropped
}

// take removes the oldest message. It returns false where there is none.
func (o *outbox) take() (outgoing, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) == 0 {
		return outgoing{}, false
	}
	return o.removeOldest(), true
}

// removeOldest needs the lock held and a message there.
func (o *outbox) removeOldest() outgoing {
	oldest := o.waiting[0]
	o.waiting[0] = outgoing{}
	o.waiting = o.waiting[1:]
	o.bytes -= len(oldest.data)
	return oldest
}

// droppedCount returns how many messages were dropped.
func (o *outbox) droppedCount() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}
