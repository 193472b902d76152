// Package discovery watches the endpoint list over HTTP. It drives package httpwire's line reader over a socket; package
// listwatch decides when to call.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"mothrouter/internal/backoff"
	"mothrouter/internal/broker"
	"mothrouter/internal/endpoints/listwatch"
)

// Watcher watches the endpoint list and passes its updates to Update. The exported fields must not change once Run is called.
type Watcher struct {
	Addr      string // address host:port of discovery at the start; ChangeAddress sets another
	NameTable NameTable
	Since     int64                       // version of the list that Update has received last
	Update    func(broker.EndpointUpdate) // is called from Run's goroutine
	Log       *slog.Logger
	Backoff   *backoff.Backoff // of the calls; nil: that of a single broker. All brokers share one discovery.

	once       sync.Once
	newAddress chan string // the latest that ChangeAddress has set, until Run takes it
}

// init prepares what ChangeAddress and Run share, whichever is called first.
func (w *Watcher) init() { w.once.Do(func() { w.newAddress = make(chan string, 1) }) }

// ChangeAddress has the list watched at another address, from the version received last. The list stays. Any goroutine may call
// it; it does not wait for Run.
func (w *Watcher) ChangeAddress(addr string) {
	w.init()
	for {
		select {
		case w.newAddress <- addr:
			return
		case <-w.newAddress: // an earlier one that Run has not taken
		}
	}
}

// message is what a call has received, or its end.
type message struct {
	call int    // id of the call
	text []byte // a JSON object; empty: a keepalive
	err  error  // why the call has ended; nil: it goes on
}

// Run watches the list until ctx ends. Each call has a goroutine that only reads and ends with it; Run's own owns the list's
// version and the listwatch.Watch.
func (w *Watcher) Run(ctx context.Context) {
	w.init()
	if w.Backoff == nil {
		w.Backoff = backoff.New(1, rand.Uint64())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{
		Watcher:  w,
		ctx:      ctx,
		addr:     w.Addr,
		watch:    listwatch.New(w.Backoff, time.Now()),
		messages: make(chan message),
		open:     map[int]context.CancelFunc{},
	}
	for ctx.Err() == nil {
		r.handleNextEvent()
	}
}

// run is the state of a Watcher while it runs. Run's goroutine owns it.
type run struct {
	*Watcher
	ctx      context.Context
	addr     string // where the next call goes
	watch    *listwatch.Watch
	messages chan message               // of all calls
	open     map[int]context.CancelFunc // ends a call, by its id
}

// handleNextEvent waits for the next event and handles it.
func (r *run) handleNextEvent() {
	var due <-chan time.Time
	if at := r.watch.WakeAt(); !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-r.ctx.Done():
	case r.addr = <-r.newAddress:
		r.perform(r.watch.AddressChanged(time.Now()))
	case <-due:
		r.perform(r.watch.Tick(time.Now()))
	case m := <-r.messages:
		r.handleMessage(m)
	}
}

// perform opens and closes calls.
func (r *run) perform(actions []listwatch.Action) {
	for _, action := range actions {
		if action.Close {
			r.Log.Info("silent endpoint watch closed", "since", r.Since)
			r.end(action.Call)
			continue
		}
		ctx, cancel := context.WithCancel(r.ctx)
		r.open[action.Call] = cancel
		c := &call{id: action.Call, addr: r.addr, since: r.Since, messages: r.messages}
		go c.run(ctx)
	}
}

// end ends an open call.
func (r *run) end(id int) {
	r.open[id]()
	delete(r.open, id)
}

// handleMessage handles what a call has received, and ends the call after an error.
func (r *run) handleMessage(m message) {
	if r.open[m.call] == nil {
		return // closed meanwhile
	}
	err := m.err
	if err == nil && len(m.text) > 0 {
		err = r.apply(m.text)
	}
	if err == nil {
		r.perform(r.watch.MessageReceived(time.Now(), m.call))
		return
	}
	r.Log.Info("endpoint watch ended", "error", err, "since", r.Since)
	r.end(m.call)
	r.perform(r.watch.CallEnded(time.Now(), m.call))
}

// OlderVersionError is a message with an older version than that of the list.
type OlderVersionError struct {
	Version int64 // of the message
	Since   int64 // of the list
}

// Error returns both versions.
func (e *OlderVersionError) Error() string {
	return fmt.Sprintf("version %d is older than version %d of the endpoint list", e.Version, e.Since)
}

// apply passes an update on. Guards against an agent that lags behind: its list would bring back servers that drain or are
// removed.
func (w *Watcher) apply(text []byte) error {
	var m Message
	if err := json.Unmarshal(text, &m); err != nil {
		return fmt.Errorf("message of discovery: %w", err)
	}
	update, err := w.NameTable.EndpointUpdate(m)
	if err != nil {
		return err
	}
	if m.Version < w.Since {
		return &OlderVersionError{Version: m.Version, Since: w.Since}
	}
	w.Since = m.Version
	w.Update(update)
	return nil
}
