package broker

// acquireSlots acquires n slots of the concurrency limits and reports whether it has; if not, it holds none of them.
func (b *Broker) acquireSlots(n int) bool {
	limit := b.options.ConcurrencyLimit
	if limit > 0 && b.usedSlots+n > limit {
		return false
	}
	shared := b.options.SharedLimiter
	if shared != nil && !shared.TryAcquire(n) {
		return false
	}
	b.usedSlots += n
	return true
}

// releaseSlots returns n slots.
func (b *Broker) releaseSlots(n int) {
	b.usedSlots -= n
	if b.options.SharedLimiter != nil {
		b.options.SharedLimiter.Release(n)
	}
}

// retryAfter returns the Retry-After of a query that is rejected for lack of capacity, in seconds; 0: none.
func (b *Broker) retryAfter() float64 {
	if b.options.Settings.RetryAfterSupported {
		return b.options.Settings.MaxRetryAfter
	}
	return 0
}
