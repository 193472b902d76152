// Package vigil decides how a broker keeps watch over the server list: when a watch counts as broken, when to call
// again, and which calls stay open meanwhile. It does no I/O and keeps no clock: a driver hands in the time and what
// happened, and opens and closes calls as it is told.
//
// The list's clock: an empty line comes every 2 s, so a watch without a whole word for longer is broken. What it
// misses binds 6 s after its last word, whether or not it came (4 s after a new configuration). What is pushed binds
// from the moment at which the agent has it. An agent that is silent answers the calls that are open as soon as it has
// something to tell, and only those. So a silent call is not given up for a new one: it stays open until another has
// spoken, and a broker is never deaf while it waits to call again.
package vigil

import (
	"slices"
	"time"

	"cloverhook/internal/backoff"
)

const (
	// Silence is how long a watch may be without a whole word: an empty line comes every 2 s.
	Silence = 2600 * time.Millisecond
	// CallLimit is how long a call may take from its connect to its first word. An overbooked discovery serves in
	// turn, so it is as long as the clock allows.
	CallLimit = 2200 * time.Millisecond
	binds     = 5700 * time.Millisecond // after the last word, or the begin of a call: 6 s, less what taking the news in may last
	moveBinds = 3700 * time.Millisecond // after a move: 4 s, less the same
	mostCalls = 2                       // open at once, beside those of a former address
)

// Action is what the driver has to do about one call.
type Action struct {
	Call  int
	Close bool // else: open it
}

type call struct {
	id     int
	begun  time.Time
	spoke  bool
	former bool // at an address from before a move: what it tells is taken, but it is no watch any more
	doubt  bool // it has been silent for too long, and another call is under way or waited for
}

// Vigil is one broker's watch. Make it with New.
type Vigil struct {
	waits *backoff.Backoff
	calls []call // in the order of their beginning
	last  int    // id of the latest
	heard time.Time
	by    time.Time // the next call has to begin by then, if one is waited for; zero: none has begun yet
	next  time.Time // when to call; zero: no call is waited for
	todo  []Action
}

// New returns a watch that makes its first call after a wait.
func New(waits *backoff.Backoff, now time.Time) *Vigil {
	v := &Vigil{waits: waits}
	v.plan(now)
	return v
}

// plan has the next call made after a wait that ends early enough for its answer. Guards against waits that grow while
// calls fail: a change that discovery could not tell binds 6 s after it could, so calls begin no further apart than
// leaves the next one its time within that, whatever became of those before.
func (v *Vigil) plan(now time.Time) {
	if !v.by.IsZero() && !v.by.After(now) {
		v.next = now
		return
	}
	left := time.Duration(0)
	if !v.by.IsZero() {
		left = v.by.Sub(now)
	}
	v.next = now.Add(v.waits.Next(left))
}

// Wake is when Tick has to be called next at the latest; zero: not before something happens.
func (v *Vigil) Wake() time.Time {
	if !v.next.IsZero() {
		return v.next
	}
	if c := v.latest(); c != nil {
		return v.patience(c)
	}
	return time.Time{}
}

// latest is the call that the watch rests on, or nil.
func (v *Vigil) latest() *call {
	if n := len(v.calls); n > 0 && !v.calls[n-1].former {
		return &v.calls[n-1]
	}
	return nil
}

func (v *Vigil) patience(c *call) time.Time {
	if c.spoke {
		return v.heard.Add(Silence)
	}
	return c.begun.Add(CallLimit)
}

// Tick looks at the time and returns what to do, as do the other methods.
func (v *Vigil) Tick(now time.Time) []Action {
	if c := v.latest(); c != nil && !c.doubt && !now.Before(v.patience(c)) {
		c.doubt = true
		v.plan(now)
	}
	if !v.next.IsZero() && !now.Before(v.next) {
		v.next = time.Time{}
		v.open(now)
	}
	return v.take()
}

func (v *Vigil) open(now time.Time) {
	mine := 0
	for _, c := range v.calls {
		if !c.former {
			mine++
		}
	}
	for _, c := range v.calls {
		if !c.former && mine >= mostCalls { // the oldest goes; the one behind it goes on listening
			v.close(c.id)
			mine--
		}
	}
	v.last++
	v.by = now.Add(binds - CallLimit)
	v.calls = append(v.calls, call{id: v.last, begun: now})
	v.todo = append(v.todo, Action{Call: v.last})
}

func (v *Vigil) close(id int) {
	v.calls = slices.DeleteFunc(slices.Clone(v.calls), func(c call) bool { return c.id == id })
	v.todo = append(v.todo, Action{Call: id, Close: true})
}

func (v *Vigil) take() []Action {
	todo := v.todo
	v.todo = nil
	return todo
}

// Word tells that a call has brought a whole word. Whichever speaks is the watch, and the others are closed.
func (v *Vigil) Word(now time.Time, id int) []Action {
	i := slices.IndexFunc(v.calls, func(c call) bool { return c.id == id })
	if i < 0 || v.calls[i].former {
		return nil
	}
	v.calls[i].spoke, v.calls[i].doubt = true, false
	v.heard, v.by, v.next = now, now.Add(binds-CallLimit), time.Time{}
	v.waits.Succeeded()
	for _, c := range slices.Clone(v.calls) {
		if c.id != id {
			v.close(c.id)
		}
	}
	return v.take()
}

// Ended tells that a call has ended by itself or could not be made.
func (v *Vigil) Ended(now time.Time, id int) []Action {
	c := v.latest()
	watch := c != nil && c.id == id && !c.doubt // else another call is planned or under way
	v.calls = slices.DeleteFunc(v.calls, func(c call) bool { return c.id == id })
	if watch {
		if c := v.latest(); c != nil {
			c.doubt = true
		}
		v.plan(now)
	}
	return v.take()
}

// Moved tells that the list is to be followed at another address. What the old one tells until the new one has spoken
// is still taken.
func (v *Vigil) Moved(now time.Time) []Action {
	for _, c := range slices.Clone(v.calls) {
		if c.former { // of the address before that: moves in a row must not add up
			v.close(c.id)
		}
	}
	for i := range v.calls {
		v.calls[i].former = true
	}
	v.by = now.Add(moveBinds - CallLimit)
	v.waits.Succeeded() // the new address has not failed yet
	v.plan(now)
	return v.take()
}
