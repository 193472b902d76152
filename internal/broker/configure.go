package broker

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"mothrouter/internal/decision"
)

// Change is what a configuration revision changes in a core in service. The core and the caller do not write to it after it
// is posted.
type Change struct {
	Classes          []decision.Class // all of them; LatencyObjective, Deadline, PriorityWeight and LateValue may differ
	ConcurrencyLimit int              // queries and parts in flight, of all loops together; 0: no limit
}

// validate returns why the change cannot be applied while classes are in force, or nil. Its errors name the key of the
// settings, the value and what is allowed.
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

// immutableFields returns the class with the fields zeroed that can change in service.
func immutableFields(class decision.Class) decision.Class {
	class.LatencyObjective = 0
	class.Deadline = 0
	class.PriorityWeight = 0
	class.LateValue = 0
	return class
}

// ErrEnded is the error of a change that is posted to a loop that has ended.
var ErrEnded = errors.New("the loop has ended")

// Configure applies a change and returns once it is in force. It is applied at one point of the loop: a query accepted
// before keeps the settings before, to its end; one accepted after has the new ones. Queries in flight beyond a lower limit
// stay. After an error the settings before are in force. It returns ErrEnded if the loop has ended.
func (b *Broker) Configure(c Change) error { return b.ConfigureAsync(c, func() {})() }

// ConfigureAsync is Configure in two steps, for several loops: it does not wait; wait does, and may be called once. The loop
// calls applied at the point where the change comes into force, so that the owner of a shared limit can resize it there.
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
		return nil // nothing changes for the Decider
	}
	settings.Classes = slices.Clone(c.Classes) // a copy: queries and the Decider may refer to the old slice
	b.enqueueEvent(decision.ClassesChanged{Classes: settings.Classes})
	return nil
}

// LongestDeadline returns the longest deadline of the classes in force and of those of queries in flight. A process that
// shuts down plans by it. It is 0 if the loop has ended.
func (b *Broker) LongestDeadline() time.Duration {
	longest := make(chan float64, 1)
	b.post(func() { longest <- b.longestDeadline() })
	select {
	case deadline := <-longest:
		return secondsToDuration(deadline)
	case <-b.stopped:
		return 0
	}
}

// longestDeadline is LongestDeadline on the loop, in seconds.
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
