// Package listwatch decides how a broker watches the endpoint list: when a watch counts as broken, when to call again, and
// which calls stay open meanwhile. It does no I/O and keeps no clock: a driver hands in the time and what happened, and
// opens and closes calls as the returned actions say.
//
// The list's clock: an empty line comes every 2 s, so a watch without a message for longer is broken. An update that it
// misses is in force 6 s after its last message, received or not (4 s after a change of address). A pushed update is in
// force from the moment at which the agent has it. An agent that is silent answers the calls that are open as soon as it
// has an update, and only those. So a silent call is not closed for a new one: it stays open until another has brought a
// message, and a broker misses nothing while it waits to call again.
package listwatch

import (
	"slices"
	"time"

	"mothrouter/internal/backoff"
)

const (
	// SilenceTimeout is how long a watch may be without a message: an empty line comes every 2 s.
	SilenceTimeout = 2600 * time.Millisecond
	// CallTimeout is how long a call may take from its connect to its first message. An overloaded discovery serves calls
	// one by one, so it is as long as the clock allows.
	CallTimeout           = 2200 * time.Millisecond
	updateDeadline        = 5700 * time.Millisecond // after the last word, or the begin of a call: 6 s, less what taking the news in may last
	addressChangeDeadline = 3700 * time.Millisecond // after a move: 4 s, less the same
	maxCalls              = 2                       // open at once, beside those of a former address
)

// Action is what the driver has to do about one call.
type Action struct {
	Call  int
	Close bool // else: open it
}

type call struct {
	id              int
	startedAt       time.Time
	receivedMessage bool
	formerAddress   bool // at a former address: its updates are applied, but it is no watch any more
	suspect         bool // it has been silent for too long, and another call is open or scheduled
}

// Watch is one broker's watch. Make it with New.
type Watch struct {
	backoff       *backoff.Backoff
	calls         []call // in the order of their beginning
	lastCallID    int    // id of the latest
	lastMessageAt time.Time
	callDeadline  time.Time // the next call has to start by then, if one is scheduled; zero: none has started yet
	callAt        time.Time // zero: no call is scheduled
	actions       []Action
}

// New returns a watch that makes its first call after a wait.
func New(waits *backoff.Backoff, now time.Time) *Watch {
	w := &Watch{backoff: waits}
	w.scheduleCall(now)
	return w
}

// scheduleCall schedules the next call after a wait that ends early enough for its answer. It guards against waits that grow
// while calls fail: an update that discovery could not send is in force 6 s after it could, so calls start no further apart
// than leaves the next one its time within that, whatever became of those before.
func (w *Watch) scheduleCall(now time.Time) {
	timeLeft := time.Duration(0) // nothing bounds the wait before the first call
	if !w.callDeadline.IsZero() {
		if timeLeft = w.callDeadline.Sub(now); timeLeft <= 0 {
			w.callAt = now
			return
		}
	}
	w.callAt = now.Add(w.backoff.Next(timeLeft))
}

// WakeAt is when Tick has to be called next at the latest; zero: not before something happens.
func (w *Watch) WakeAt() time.Time {
	if !w.callAt.IsZero() {
		return w.callAt
	}
	if c := w.currentCall(); c != nil {
		return w.silenceDeadline(c)
	}
	return time.Time{}
}

// currentCall is the call that is the watch, or nil.
func (w *Watch) currentCall() *call {
	if n := len(w.calls); n > 0 && !w.calls[n-1].formerAddress {
		return &w.calls[n-1]
	}
	return nil
}

func (w *Watch) silenceDeadline(c *call) time.Time {
	if c.receivedMessage {
		return w.lastMessageAt.Add(SilenceTimeout)
	}
	return c.startedAt.Add(CallTimeout)
}

// Tick looks at the time and returns what to do, as do the other methods.
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

func (w *Watch) open(now time.Time) {
	mine := 0
	for _, c := range w.calls {
		if !c.formerAddress {
			mine++
		}
	}
	for _, c := range w.calls {
		if !c.formerAddress && mine >= maxCalls { // the oldest goes; the one behind it goes on listening
			w.close(c.id)
			mine--
		}
	}
	w.lastCallID++
	w.callDeadline = now.Add(updateDeadline - CallTimeout)
	w.calls = append(w.calls, call{id: w.lastCallID, startedAt: now})
	w.actions = append(w.actions, Action{Call: w.lastCallID})
}

func (w *Watch) close(id int) {
	w.calls = slices.DeleteFunc(slices.Clone(w.calls), func(c call) bool { return c.id == id })
	w.actions = append(w.actions, Action{Call: id, Close: true})
}

func (w *Watch) takeActions() []Action {
	todo := w.actions
	w.actions = nil
	return todo
}

// MessageReceived tells that a call has brought a message. That call is the watch from now on, and the others are closed.
func (w *Watch) MessageReceived(now time.Time, id int) []Action {
	i := slices.IndexFunc(w.calls, func(c call) bool { return c.id == id })
	if i < 0 || w.calls[i].formerAddress {
		return nil
	}
	w.calls[i].receivedMessage, w.calls[i].suspect = true, false
	w.lastMessageAt, w.callDeadline, w.callAt = now, now.Add(updateDeadline-CallTimeout), time.Time{}
	w.backoff.Succeeded()
	for _, c := range slices.Clone(w.calls) {
		if c.id != id {
			w.close(c.id)
		}
	}
	return w.takeActions()
}

// CallEnded tells that a call has ended by itself or could not be made.
func (w *Watch) CallEnded(now time.Time, id int) []Action {
	c := w.currentCall()
	watch := c != nil && c.id == id && !c.suspect // else another call is planned or under way
	w.calls = slices.DeleteFunc(w.calls, func(c call) bool { return c.id == id })
	if watch {
		if c := w.currentCall(); c != nil {
			c.suspect = true
		}
		w.scheduleCall(now)
	}
	return w.takeActions()
}

// AddressChanged tells that the list is to be watched at another address. Updates of the old one are applied until the new
// one has sent a message.
func (w *Watch) AddressChanged(now time.Time) []Action {
	for _, c := range slices.Clone(w.calls) {
		if c.formerAddress { // of the address before that: moves in a row must not add up
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
