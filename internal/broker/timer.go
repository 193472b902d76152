package broker

import "time"

// after runs f on the loop once d has elapsed, unless stop is called first. Only the loop may call after and stop.
func (b *Broker) after(d time.Duration, f func()) (stop func()) {
	var timer *time.Timer
	timer = time.AfterFunc(max(d, 0), func() {
		b.post(func() {
			if _, pending := b.timers[timer]; pending {
				delete(b.timers, timer)
				f()
			}
		})
	})
	b.timers[timer] = struct{}{}
	return func() {
		timer.Stop()
		delete(b.timers, timer)
	}
}

// stopTimers stops all pending timers when the loop ends.
func (b *Broker) stopTimers() {
	for timer := range b.timers {
		timer.Stop()
	}
}
