package broker

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"mothrouter/internal/decision"
)

// Change is what a revision of the configuration changes in a core that serves. It is not written to once it is handed
// over.
type Change struct {
	Classes          []decision.Class // all of them; LatencyObjective, Deadline, PriorityWeight and LateValue may differ
	ConcurrencyLimit int              // queries and parts in flight, of all loops together; 0: no limit
}

// validate tells why a change cannot be taken into force while classes are; nil: it can.
func (c Change) validate(classes []decision.Class) error {
	if len(c.Classes) != len(classes) {
		return fmt.Errorf("classes: there are %d, not %d", len(classes), len(c.Classes))
	}
	if c.ConcurrencyLimit < 0 {
		return fmt.Errorf("open cap: %d is negative", c.ConcurrencyLimit)
	}
	for i, class := range c.Classes {
		if !(class.LatencyObjective > 0 && class.Deadline > 0) {
			return fmt.Errorf("classes[%d]: %g s and %g s are no aim and deadline", i, class.LatencyObjective, class.Deadline)
		}
		if immutableFields(class) != immutableFields(classes[i]) {
			return fmt.Errorf("classes[%d]: more than aim, deadline, worth and late worth differs", i)
		}
	}
	return nil
}

// immutableFields is what of a class cannot change in service.
func immutableFields(class decision.Class) decision.Class {
	class.LatencyObjective, class.Deadline, class.PriorityWeight, class.LateValue = 0, 0, 0, 0
	return class
}

// Configure applies a change, and returns once it is in force. It is applied at one point of the loop: a query that was
// accepted before is served, answered and rejected under the settings before, to its end; one that is accepted after
// belongs to the new ones altogether. What is in flight beyond a smaller limit stays. After an error the settings before
// hold. It returns ErrEnded if the loop has ended.
func (b *Broker) Configure(c Change) error { return b.ConfigureAsync(c, func() {})() }

// ErrEnded tells that a loop has ended, and applies no change any more.
var ErrEnded = errors.New("the loop has ended")

// ConfigureAsync is Configure in two steps, for several loops: it does not wait, and the returned function does, once.
// applied is called by the loop at the point where the change is in force, so that the owner of a limit that loops share
// can resize it there.
func (b *Broker) ConfigureAsync(c Change, applied func()) (wait func() error) {
	taken := make(chan error, 1)
	b.post(func() {
		err := b.configure(c)
		if err == nil {
			applied()
		}
		taken <- err
	})
	return func() error {
		select {
		case err := <-taken:
			return err
		case <-b.stopped:
			return ErrEnded
		}
	}
}

// configure is the one point at which a change comes into force. The loop calls it.
func (b *Broker) configure(c Change) error {
	set := &b.options.Settings
	if err := c.validate(set.Classes); err != nil {
		return err
	}
	if b.options.SharedLimiter == nil {
		b.options.ConcurrencyLimit = c.ConcurrencyLimit
	}
	if slices.Equal(c.Classes, set.Classes) {
		return nil // nothing changes for the Decider
	}
	set.Classes = slices.Clone(c.Classes) // the old ones are not written to: queries and the Decider may point there
	b.enqueueEvent(decision.ClassesChanged{Classes: set.Classes})
	return nil
}

// timeout is how long a query's client waits.
func (b *Broker) timeout(r *Request) time.Duration {
	if r.TimeoutUnstated {
		return min(secondsToDuration(b.options.Settings.Classes[r.Class].Deadline), maxTimeout)
	}
	return r.Timeout
}

// LongestDeadline is the longest deadline of a class in force, or of one that a query in flight was accepted under. A
// process that shuts down plans by it. It is 0 if the loop has ended.
func (b *Broker) LongestDeadline() time.Duration {
	longest := make(chan float64, 1)
	b.post(func() {
		deadline := 0.0
		for _, class := range b.options.Settings.Classes {
			deadline = max(deadline, class.Deadline)
		}
		for _, q := range b.queries {
			deadline = max(deadline, q.class.Deadline)
		}
		longest <- deadline
	})
	select {
	case deadline := <-longest:
		return secondsToDuration(deadline)
	case <-b.stopped:
		return 0
	}
}
