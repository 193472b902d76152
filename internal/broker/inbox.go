package broker

import "sync"

// inbox holds what the loop has to run. Posting never waits, so that neither the loop nor a link that holds a lock can be
// stopped by the other. It is bounded by those who post: each call, timer, health check, update and client connection has
// one function in it at most.
type inbox struct {
	mu     sync.Mutex
	funcs  []func()
	closed bool // its loop has died
	wake   chan struct{}
}

func (i *inbox) drain() []func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	funcs := i.funcs
	i.funcs = nil
	return funcs
}

// post has the loop run f. It returns false if the loop has died, and f is not run.
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

// Backlog is how many functions wait for the loop.
func (b *Broker) Backlog() int {
	b.inbox.mu.Lock()
	defer b.inbox.mu.Unlock()
	return len(b.inbox.funcs)
}
