package broker

import "sync"

// inbox is the queue of functions that the loop has to run. Posting never blocks, so that the loop and a link that holds a
// lock cannot block each other. The queue itself has no limit, but each call, timer, health check, endpoint update and client
// connection has at most one function in it.
type inbox struct {
	mu     sync.Mutex
	funcs  []func()
	closed bool          // set by Abort after the loop has panicked
	wake   chan struct{} // of capacity 1; full while functions may be pending
}

// drain removes and returns the pending functions, in the order in which they were posted.
func (i *inbox) drain() []func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	funcs := i.funcs
	i.funcs = nil
	return funcs
}

// close makes the inbox reject further functions. Pending ones stay.
func (i *inbox) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// post queues f to run on the loop and reports whether the inbox accepted it. After Abort the inbox accepts none.
func (b *Broker) post(f func()) bool {
	b.inbox.mu.Lock()
	closed := b.inbox.closed
	if !closed {
		b.inbox.funcs = append(b.inbox.funcs, f)
	}
	b.inbox.mu.Unlock()
	select {
	case b.inbox.wake <- struct{}{}:
	default:
	}
	return !closed
}

// Backlog returns the number of functions that are waiting for the loop.
func (b *Broker) Backlog() int {
	b.inbox.mu.Lock()
	defer b.inbox.mu.Unlock()
	return len(b.inbox.funcs)
}
