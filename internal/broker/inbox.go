package broker

import "sync"

// inbox holds the functions that the loop has to run. Posting never waits, so that neither the loop nor a link that holds a
// lock can block the other. Its length is bounded by those who post: each call, timer, health check, endpoint update and
// client connection has at most one function in it.
type inbox struct {
	mu     sync.Mutex
	funcs  []func()
	closed bool          // by Abort, after a panic of the loop
	wake   chan struct{} // of capacity 1; full while functions may be pending
}

// drain returns the pending functions, in the order in which they were posted, and empties the inbox.
func (i *inbox) drain() []func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	funcs := i.funcs
	i.funcs = nil
	return funcs
}

// close makes the inbox take no more functions. Pending ones stay.
func (i *inbox) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// post has the loop run f, and reports whether the inbox took it: after Abort it takes none.
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

// Backlog returns how many functions the loop has pending.
func (b *Broker) Backlog() int {
	b.inbox.mu.Lock()
	defer b.inbox.mu.Unlock()
	return len(b.inbox.funcs)
}
