package broker

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"mothrouter/internal/decision"
)

// Change holds the settings that a configuration revision can change in a running core. Neither the core nor the caller may
// modify it once it is posted.
type Change struct {
	Classes          []decision.Class // all classes; only LatencyObjective, Deadline, PriorityWeight and LateValue may differ
	ConcurrencyLimit int              // queries and parts in flight, over all loops; 0: no limit
}

// validate returns an error if the change cannot be applied while classes are in force. The error names the settings key, the
// value and what is allowed.
func (c Change) validate(classes []decision.Class) error {
	if len(c.Classes) != len(classes) {
		return fmt.Errorf("settings.classes: has %d entries instead of %d, which needs a restart", len(c.Classes), len(classes))
	}
	if c.ConcurrencyLimit < 0 {
		return fmt.Errorf("settings.caps.openCap: %d is below 0", c.ConcurrencyLimit)
	}
	for i, class := range c.Classes {
		if !(class.LatencyObjective > 0) {
			return fmt.Errorf("settings.classes[%d].objectiveS: %g is not above 0", i, class.LatencyObjective)
		}
		if !(class.Deadline > 0) {
			return fmt.Errorf("settings.classes[%d].deadlineS: %g is not above 0", i, class.Deadline)
		}
		if immutableFields(class) != immutableFields(classes[i]) {
			return fmt.Errorf("settings.classes[%d]: differs in more than objectiveS, deadlineS, worth and lateWorth, "+
				"which needs a restart", i)
		}
	}
	return nil
}

// immutableFields returns the class with those fields zeroed that a running core can change.
func immutableFields(class decision.Class) decision.Class {
	class.LatencyObjective = 0
	class.Deadline = 0
	class.PriorityWeight = 0
	class.LateValue = 0
	return class
}

// ErrEnded is returned for a change that is posted after the loop has ended.
var ErrEnded = errors.New("the broker's loop has ended")

// Configure applies a change and returns once it is in force. The loop applies it atomically: a query accepted before the
// change keeps the old settings until it ends, a query accepted after it uses the new ones. Queries in flight that exceed a
// lowered limit are not ended. On an error the old settings remain in force. It returns ErrEnded if the loop has ended.
func (b *Broker) Configure(c Change) error { return b.ConfigureAsync(c, func() {})() }

// ConfigureAsync posts a change without waiting; the returned function waits for the result and may be called once. It allows a
// change to be posted to several loops before waiting for any. The loop calls applied when the change comes into force, so that
// the owner of a shared limiter can resize it at that point.
func (b *Broker) ConfigureAsync(c Change, applied func()) (wait func() error) {
	result := make(chan error, 1)
	b.post(func() {
		err := b.configure(c)
		if err == nil {
			applied()
		}
		result <- err
	})
	return func() error {
		select {
		case err := <-result:
			return err
		case <-b.stopped:
			return ErrEnded
		}
	}
}

// configure applies a change on the loop.
func (b *Broker) configure(c Change) error {
	settings := &b.options.Settings
	if err := c.validate(settings.Classes); err != nil {
		return err
	}
	if b.options.SharedLimiter == nil {
		b.options.ConcurrencyLimit = c.ConcurrencyLimit
	}
	if slices.Equal(c.Classes, settings.Classes) {
		return nil // the Decider needs no event
	}
	settings.Classes = slices.Clone(c.Classes) // replaced, not modified: queries and the Decider may still refer to the old slice
	b.enqueueEvent(decision.ClassesChanged{Classes: settings.Classes})
	return nil
}

// LongestDeadline returns the longest deadline among the classes in force and the classes of queries in flight. The shutdown
// plan of the process depends on it. It is 0 if the loop has ended.
func (b *Broker) LongestDeadline() time.Duration {
	seconds := make(chan float64, 1)
	b.post(func() { seconds <- b.longestDeadline() })
	select {
	case longest := <-seconds:
		return secondsToDuration(longest)
	case <-b.stopped:
		return 0
	}
}

// longestDeadline implements LongestDeadline on the loop. It returns seconds.
func (b *Broker) longestDeadline() float64 {
	longest := 0.0
	for _, class := range b.options.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	for _, q := range b.queries {
		longest = max(longest, q.class.Deadline)
	}
	return longest
}
