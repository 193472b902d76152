// Package listwatch decides how a broker watches the endpoint list: when a watch is broken, when to call again, and which
// calls stay open meanwhile. It does no I/O and keeps no clock: a driver passes the time and the events, and opens and closes
// calls as the returned actions say.
//
// Discovery sends an empty line every 2 s as a keepalive, so a watch without a message for longer is broken. An update that it
// misses is in force 6 s after the last message (4 s after a change of address), received or not. A pushed update is in force
// from the moment at which the agent has it. An agent that has been silent answers the calls that are open as soon as it has
// an update, and only those. So a silent call stays open until another one has received a message, and a broker misses nothing
// while it waits to call again.
package listwatch

import (
	"slices"
	"time"

	"mothrouter/internal/backoff"
)

const (
	// SilenceTimeout is the longest time between two messages of a watch: a keepalive comes every 2 s.
	SilenceTimeout = 2600 * time.Millisecond
	// CallTimeout is the longest time from the start of a call to its first message. An overloaded discovery serves calls one
	// by one, so it is as long as updateDeadline allows.
	CallTimeout = 2200 * time.Millisecond
	// updateDeadline is when an update that a watch missed must be applied, after the last message or the start of a call: 6 s,
	// less the time to apply it.
	updateDeadline = 5700 * time.Millisecond
	// addressChangeDeadline is the same after a change of address: 4 s, less the time to apply it.
	addressChangeDeadline = 3700 * time.Millisecond
	// maxCalls is the limit of open calls, without those to a former address.
	maxCalls = 2
)

// Action is what the driver has to do about one call.
type Action struct {
	Call  int  // id of the call, from 1
	Close bool // false: open it
}

// call is an open call.
type call struct {
	id              int
	startedAt       time.Time
	receivedMessage bool
	formerAddress   bool // the call goes to a former address: its updates are applied, but it is not the watch
	suspect         bool // the call has timed out, and another call is open or scheduled
}

// Watch is a broker's watch of the endpoint list. Make it with New. It is not safe for concurrent use.
type Watch struct {
	backoff       *backoff.Backoff
	calls         []call // in the order of their start
	lastCallID    int
	lastMessageAt time.Time
	callDeadline  time.Time // the next call has to start by then, if one is scheduled; zero: none has started yet
	callAt        time.Time // start of the next call; zero: none is scheduled
	actions       []Action  // not yet returned
}

// New returns a watch that makes its first call after a wait.
func New(waits *backoff.Backoff, now time.Time) *Watch {
	w := &Watch{backoff: waits}
	w.scheduleCall(now)
	return w
}

// scheduleCall schedules the next call after a wait. The wait ends early enough for the call to time out before
// callDeadline: an update that discovery could not send is in force 6 s after it could, however many calls have failed, so
// the growing waits of the backoff must not delay a call beyond that.
func (w *Watch) scheduleCall(now time.Time) {
	timeLeft := time.Duration(0) // no limit of the wait before the first call
	if !w.callDeadline.IsZero() {
		timeLeft = w.callDeadline.Sub(now)
		if timeLeft <= 0 {
			w.callAt = now
			return
		}
	}
	w.callAt = now.Add(w.backoff.Next(timeLeft))
}

// WakeAt returns when to call Tick next, if no event comes before; zero: not before an event.
func (w *Watch) WakeAt() time.Time {
	if !w.callAt.IsZero() {
		return w.callAt
	}
	if c := w.currentCall(); c != nil {
		return w.silenceDeadline(c)
	}
	return time.Time{}
}

// currentCall returns the latest call, unless it goes to a former address; nil: there is none.
func (w *Watch) currentCall() *call {
	if n := len(w.calls); n > 0 && !w.calls[n-1].formerAddress {
		return &w.calls[n-1]
	}
	return nil
}

// silenceDeadline returns when a call without a further message has timed out.
func (w *Watch) silenceDeadline(c *call) time.Time {
	if c.receivedMessage {
		return w.lastMessageAt.Add(SilenceTimeout)
	}
	return c.startedAt.Add(CallTimeout)
}

// Tick times out a silent call and starts a call that is due. It returns what the driver has to do.
func (w *Watch) Tick(now time.Time) []Action {
	if c := w.currentCall(); c != nil && !c.suspect && !now.Before(w.silenceDeadline(c)) {
		c.suspect = true
		w.scheduleCall(now)
	}
	if !w.callAt.IsZero() && !now.Before(w.callAt) {
		w.callAt = time.Time{}
		w.open(now)
	}
	return w.takeActions()
}

// open opens a call, and closes the oldest where there would be more than maxCalls.
func (w *Watch) open(now time.Time) {
	var current []int // ids of the calls to the present address
	for _, c := range w.calls {
		if !c.formerAddress {
			current = append(current, c.id)
		}
	}
	for len(current) >= maxCalls {
		w.close(current[0])
		current = current[1:]
	}
	w.lastCallID++
	w.callDeadline = now.Add(updateDeadline - CallTimeout)
	w.calls = append(w.calls, call{id: w.lastCallID, startedAt: now})
	w.actions = append(w.actions, Action{Call: w.lastCallID})
}

// close closes a call.
func (w *Watch) close(id int) {
	w.remove(id)
	w.actions = append(w.actions, Action{Call: id, Close: true})
}

// remove removes a call from those that are open. It keeps the list that a caller ranges over.
func (w *Watch) remove(id int) {
	w.calls = slices.DeleteFunc(slices.Clone(w.calls), func(c call) bool { return c.id == id })
}

// takeActions returns the actions that have not been returned.
func (w *Watch) takeActions() []Action {
	actions := w.actions
	w.actions = nil
	return actions
}

// MessageReceived handles a message of a call. The call becomes the watch, and all others are closed. A message of a call
// that is not open, or that goes to a former address, changes nothing. It returns what the driver has to do.
func (w *Watch) MessageReceived(now time.Time, id int) []Action {
	i := slices.IndexFunc(w.calls, func(c call) bool { return c.id == id })
	if i < 0 || w.calls[i].formerAddress {
		return nil
	}
	w.calls[i].receivedMessage = true
	w.calls[i].suspect = false
	w.lastMessageAt = now
	w.callDeadline = now.Add(updateDeadline - CallTimeout)
	w.callAt = time.Time{}
	w.backoff.Succeeded()
	for _, c := range w.calls {
		if c.id != id {
			w.close(c.id)
		}
	}
	return w.takeActions()
}

// CallEnded handles a call that ended by itself or could not be made. It returns what the driver has to do.
func (w *Watch) CallEnded(now time.Time, id int) []Action {
	current := w.currentCall()
	wasWatch := current != nil && current.id == id && !current.suspect // else another call is scheduled or open
	w.remove(id)
	if !wasWatch {
		return w.takeActions()
	}
	if c := w.currentCall(); c != nil {
		c.suspect = true
	}
	w.scheduleCall(now)
	return w.takeActions()
}

// AddressChanged starts to watch the list at another address. Updates of the old one are applied until the new one has sent a
// message. It returns what the driver has to do.
func (w *Watch) AddressChanged(now time.Time) []Action {
	for _, c := range w.calls {
		if c.formerAddress { // of the address before the last: changes in a row must not accumulate calls
			w.close(c.id)
		}
	}
	for i := range w.calls {
		w.calls[i].formerAddress = true
	}
	w.callDeadline = now.Add(addressChangeDeadline - CallTimeout)
	w.backoff.Succeeded() // the new address has not failed yet
	w.scheduleCall(now)
	return w.takeActions()
}
