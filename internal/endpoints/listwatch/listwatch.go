// Package listwatch decides how a broker watches the endpoint list: when a watch is broken, when to start a new call to
// discovery, and which calls stay open in the meantime. It does no I/O and does not read the clock. A driver passes it the time
// and the events, and opens and closes calls according to the returned actions.
//
// Discovery sends an empty line every 2 s as a keepalive, so a watch that receives no message for longer is broken. An update
// that a broken watch misses takes effect 6 s after the last message (4 s after a change of address), whether the broker has
// received it or not. An update that is pushed to the broker takes effect as soon as the discovery agent that serves the watch
// has it. An agent that has been silent sends its next update to the calls that are open at that time, and only to those. A
// silent call therefore stays open until another call has received a message, so that the broker does not miss updates before
// it calls again.
package listwatch

import (
	"slices"
	"time"

	"mothrouter/internal/backoff"
)

const (
	// SilenceTimeout is the maximum time between two messages of a watch. Discovery sends a keepalive every 2 s.
	SilenceTimeout = 2600 * time.Millisecond
	// CallTimeout is the maximum time from the start of a call to its first message. An overloaded discovery service serves calls
	// one by one, so the timeout is as long as updateDeadline allows.
	CallTimeout = 2200 * time.Millisecond
	// updateDeadline is the time after the last message or the start of a call by which a missed update must be applied: 6 s minus
	// the time to apply it.
	updateDeadline = 5700 * time.Millisecond
	// addressChangeDeadline is the time after a change of address by which a missed update must be applied: 4 s minus the time to
	// apply it.
	addressChangeDeadline = 3700 * time.Millisecond
	// startDeadline is the same after the start: at an upgrade, updates take effect in the new process 2 s after it is ready.
	startDeadline = 1700 * time.Millisecond
	// reopenWait is the maximum wait after a watch or call that has ended although discovery could be reached. A change that discovery
	// has takes effect 250 ms later, and on sockets 300 ms. The wait leaves time for a process that is held up for 150 ms.
	reopenWait = 100 * time.Millisecond
	// reopenBurst is how many calls in a row that end within SilenceTimeout are followed by a wait of reopenWait. Later waits double.
	reopenBurst = 5
	// deadlineFraction is the fraction of the time left until a deadline that a wait may take, so that several calls fit before it.
	deadlineFraction = 4
	// maxDoublings bounds how often a wait doubles; waits are bounded by updateDeadline long before.
	maxDoublings = 10
	// maxCalls is the maximum number of open calls to the current address.
	maxCalls = 2
)

// Action tells the driver to open or close a call.
type Action struct {
	Call  int  // ID of the call, from 1
	Close bool // whether to close the call; false: open it
}

// call is an open call.
type call struct {
	id              int
	startedAt       time.Time
	receivedMessage bool
	formerAddress   bool // whether the call is to a former address; its updates are applied, but it cannot become the watch
	suspect         bool // whether the call has timed out; another call is then open or scheduled
}

// Watch is a broker's watch of the endpoint list. Use New. It is not safe for concurrent use.
type Watch struct {
	backoff          *backoff.Backoff
	calls            []call // open calls, in the order of their start
	lastCallID       int
	lastMessageAt    time.Time
	nextCallDeadline time.Time // latest start of the next call, if one is scheduled; zero: no call has been started yet
	// firstMessageDeadline is when an update of an address that has sent no message yet must be applied; zero: it has sent one.
	firstMessageDeadline time.Time
	endedInARow          int       // calls that have ended within SilenceTimeout, in a row, although discovery could be reached
	nextCallAt           time.Time // start of the next call; zero: no call is scheduled
	pendingActions       []Action  // actions that have not been returned yet
}

// New returns a watch whose first call starts after the initial wait of the backoff.
func New(callBackoff *backoff.Backoff, now time.Time) *Watch {
	w := &Watch{backoff: callBackoff, firstMessageDeadline: now.Add(startDeadline)}
	w.scheduleCall(now)
	return w
}

// scheduleCall schedules the next call after a wait, or now if it is late already. An update that discovery could not send takes
// effect however many calls have failed, so the increasing waits of the backoff must not delay a call beyond maxWait.
func (w *Watch) scheduleCall(now time.Time) {
	if w.nextCallDeadline.IsZero() {
		w.nextCallAt = now.Add(w.backoff.Next(reopenWait)) // the first call: an update that discovery has takes effect at once
		return
	}
	maxWait := w.maxWait(now)
	if maxWait <= 0 {
		w.nextCallAt = now
		return
	}
	w.nextCallAt = now.Add(w.backoff.Next(maxWait))
}

// maxWait returns the maximum wait before the next call, by the time at which an update that the broker may have missed takes
// effect. It is 0 or less if the call is late already.
func (w *Watch) maxWait(now time.Time) time.Duration {
	longest := w.nextCallDeadline.Sub(now)
	if w.endedInARow > 0 {
		doublings := min(max(w.endedInARow-reopenBurst, 0), maxDoublings)
		longest = min(longest, reopenWait<<doublings)
	}
	if left := w.firstMessageDeadline.Sub(now); left > 0 {
		longest = min(longest, max(left/deadlineFraction, reopenWait))
	}
	return longest
}

// WakeAt returns the time at which to call Tick if no event occurs earlier. The zero time means that Tick is not needed before
// the next event.
func (w *Watch) WakeAt() time.Time {
	if !w.nextCallAt.IsZero() {
		return w.nextCallAt
	}
	if c := w.currentCall(); c != nil {
		return w.silenceDeadline(c)
	}
	return time.Time{}
}

// currentCall returns the latest call, or nil if there is none or it is to a former address.
func (w *Watch) currentCall() *call {
	if n := len(w.calls); n > 0 && !w.calls[n-1].formerAddress {
		return &w.calls[n-1]
	}
	return nil
}

// silenceDeadline returns the time at which a call times out if it receives no further message.
func (w *Watch) silenceDeadline(c *call) time.Time {
	if c.receivedMessage {
		return w.lastMessageAt.Add(SilenceTimeout)
	}
	return c.startedAt.Add(CallTimeout)
}

// Tick marks a silent call as timed out and starts a call that is due. It returns the actions for the driver.
func (w *Watch) Tick(now time.Time) []Action {
	if c := w.currentCall(); c != nil && !c.suspect && !now.Before(w.silenceDeadline(c)) {
		c.suspect = true
		w.endedInARow = 0
		w.scheduleCall(now)
	}
	if !w.nextCallAt.IsZero() && !now.Before(w.nextCallAt) {
		w.nextCallAt = time.Time{}
		w.openCall(now)
	}
	return w.takeActions()
}

// openCall opens a call. It closes the oldest call to the current address if there would be more than maxCalls.
func (w *Watch) openCall(now time.Time) {
	var current []int // IDs of the calls to the current address
	for _, c := range w.calls {
		if !c.formerAddress {
			current = append(current, c.id)
		}
	}
	for len(current) >= maxCalls {
		w.closeCall(current[0])
		current = current[1:]
	}
	w.lastCallID++
	w.nextCallDeadline = now.Add(updateDeadline - CallTimeout)
	w.calls = append(w.calls, call{id: w.lastCallID, startedAt: now})
	w.pendingActions = append(w.pendingActions, Action{Call: w.lastCallID})
}

// closeCall closes a call.
func (w *Watch) closeCall(id int) {
	w.removeCall(id)
	w.pendingActions = append(w.pendingActions, Action{Call: id, Close: true})
}

// removeCall removes a call from the open calls. It copies the slice, because callers may be iterating over it.
func (w *Watch) removeCall(id int) {
	w.calls = slices.DeleteFunc(slices.Clone(w.calls), func(c call) bool { return c.id == id })
}

// takeActions returns and clears the pending actions.
func (w *Watch) takeActions() []Action {
	actions := w.pendingActions
	w.pendingActions = nil
	return actions
}

// MessageReceived handles a message of a call. The call becomes the watch, and all other calls are closed. A message of a call
// that is not open or is to a former address has no effect. It returns the actions for the driver.
func (w *Watch) MessageReceived(now time.Time, id int) []Action {
	i := slices.IndexFunc(w.calls, func(c call) bool { return c.id == id })
	if i < 0 || w.calls[i].formerAddress {
		return nil
	}
	w.calls[i].receivedMessage = true
	w.calls[i].suspect = false
	w.lastMessageAt = now
	w.nextCallDeadline = now.Add(updateDeadline - CallTimeout)
	w.nextCallAt = time.Time{}
	w.firstMessageDeadline = time.Time{}
	w.backoff.Succeeded()
	for _, c := range w.calls {
		if c.id != id {
			w.closeCall(c.id)
		}
	}
	return w.takeActions()
}

// CallEnded handles a call that has ended or failed without being closed by an Action. reached is whether discovery has answered the
// call: what it has takes effect at once then. It returns the actions for the driver.
func (w *Watch) CallEnded(now time.Time, id int, reached bool) []Action {
	current := w.currentCall()
	wasCurrent := current != nil && current.id == id && !current.suspect // if false, another call is open or scheduled
	w.removeCall(id)
	if !wasCurrent {
		return w.takeActions()
	}
	if c := w.currentCall(); c != nil {
		c.suspect = true
	}
	w.countEnd(now.Sub(current.startedAt), reached)
	w.scheduleCall(now)
	return w.takeActions()
}

// countEnd counts a call that has ended after it was open for a time.
func (w *Watch) countEnd(open time.Duration, reached bool) {
	if !reached {
		w.endedInARow = 0
		return
	}
	if open >= SilenceTimeout {
		w.endedInARow = 0
	}
	w.endedInARow++
}

// AddressChanged starts to watch the list at another address. Updates from the old address are applied until the new one has
// sent a message. It returns the actions for the driver.
func (w *Watch) AddressChanged(now time.Time) []Action {
	for _, c := range w.calls {
		if c.formerAddress { // close calls to earlier addresses, so that repeated changes do not accumulate calls
			w.closeCall(c.id)
		}
	}
	for i := range w.calls {
		w.calls[i].formerAddress = true
	}
	w.nextCallDeadline = now.Add(addressChangeDeadline - CallTimeout)
	w.firstMessageDeadline = now.Add(addressChangeDeadline)
	w.endedInARow = 0
	w.backoff.Succeeded() // the new address has not failed yet
	w.scheduleCall(now)
	return w.takeActions()
}
