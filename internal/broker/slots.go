package broker

// acquireSlots acquires n slots of the concurrency limits, or none, and reports whether it has acquired them.
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

// releaseSlots returns n slots to the concurrency limits.
func (b *Broker) releaseSlots(n int) {
	b.usedSlots -= n
	if b.options.SharedLimiter != nil {
		b.options.SharedLimiter.Release(n)
	}
}

// retryAfter returns the Retry-After of a query that the core rejects for lack of capacity or because of a shutdown,
// in seconds; 0: none.
func (b *Broker) retryAfter() float64 {
	if b.options.Settings.RetryAfterSupported {
		return b.options.Settings.MaxRetryAfter
	}
	return 0
}
