// Package discovery watches the endpoint list of the discovery service over HTTP. It reads responses from a socket with the
// line reader of package httpwire. Package listwatch decides when to open and close calls.
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

// Watcher watches the endpoint list and passes its updates to Update. The exported fields must not be changed after Run is
// called.
type Watcher struct {
	Addr      string // initial address of discovery as host:port; see ChangeAddress
	NameTable NameTable
	Since     int64                       // version of the endpoint list that Update received last
	Update    func(broker.EndpointUpdate) // called in the goroutine of Run
	Log       *slog.Logger
	Backoff   *backoff.Backoff // waits between calls, as all brokers share one discovery service; nil: those of a single broker

	once       sync.Once
	newAddress chan string // the latest address set by ChangeAddress, until Run receives it
}

// init creates the channel that ChangeAddress and Run share. Either may be called first.
func (w *Watcher) init() { w.once.Do(func() { w.newAddress = make(chan string, 1) }) }

// ChangeAddress sets the address at which the endpoint list is watched. The new watch starts from the version received last,
// and the current list is kept. ChangeAddress may be called from any goroutine and does not wait for Run.
func (w *Watcher) ChangeAddress(addr string) {
	w.init()
	for {
		select {
		case w.newAddress <- addr:
			return
		case <-w.newAddress: // discard an earlier address that Run has not received yet
		}
	}
}

// callEvent is a message received by a call, or the end of the call.
type callEvent struct {
	call    int    // ID of the call
	text    []byte // JSON object; empty: a keepalive
	err     error  // error that ended the call; nil: the call continues
	reached bool   // whether discovery has answered the call with statusOK
}

// Run watches the endpoint list until ctx is cancelled. Each call has its own goroutine, which only sends the request and reads
// the response, and ends with the call. The goroutine of Run owns the version of the list and the listwatch.Watch.
func (w *Watcher) Run(ctx context.Context) {
	w.init()
	if w.Backoff == nil {
		w.Backoff = backoff.New(1, rand.Uint64())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runState{
		Watcher: w,
		ctx:     ctx,
		addr:    w.Addr,
		watch:   listwatch.New(w.Backoff, time.Now()),
		events:  make(chan callEvent),
		cancel:  map[int]context.CancelFunc{},
	}
	for ctx.Err() == nil {
		r.handleNextEvent()
	}
}

// runState is the state of a Watcher while it runs. It is owned by the goroutine of Run.
type runState struct {
	*Watcher
	ctx    context.Context
	addr   string // address of the next call
	watch  *listwatch.Watch
	events chan callEvent             // events of all calls
	cancel map[int]context.CancelFunc // functions that end the open calls, by call ID
}

// handleNextEvent waits for the next event and handles it.
func (r *runState) handleNextEvent() {
	var wake <-chan time.Time
	if at := r.watch.WakeAt(); !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		wake = timer.C
	}
	select {
	case <-r.ctx.Done():
	case r.addr = <-r.newAddress:
		r.perform(r.watch.AddressChanged(time.Now()))
	case <-wake:
		r.perform(r.watch.Tick(time.Now()))
	case event := <-r.events:
		r.handleCallEvent(event)
	}
}

// perform opens and closes calls according to actions.
func (r *runState) perform(actions []listwatch.Action) {
	for _, action := range actions {
		if action.Close {
			r.Log.Info("superseded endpoint watch closed", "since", r.Since)
			r.endCall(action.Call)
			continue
		}
		ctx, cancel := context.WithCancel(r.ctx)
		r.cancel[action.Call] = cancel
		c := &call{id: action.Call, addr: r.addr, since: r.Since, events: r.events}
		go c.run(ctx)
	}
}

// endCall ends an open call.
func (r *runState) endCall(id int) {
	r.cancel[id]()
	delete(r.cancel, id)
}

// handleCallEvent handles a message of a call or the end of a call. It ends the call after an error.
func (r *runState) handleCallEvent(event callEvent) {
	if r.cancel[event.call] == nil {
		return // the call has been closed in the meantime
	}
	err := event.err
	if err == nil && len(event.text) > 0 {
		err = r.apply(event.text)
	}
	if err == nil {
		r.perform(r.watch.MessageReceived(time.Now(), event.call))
		return
	}
	r.Log.Info("endpoint watch ended", "error", err, "since", r.Since)
	r.endCall(event.call)
	r.perform(r.watch.CallEnded(time.Now(), event.call, event.reached))
}

// OlderVersionError is the error of a message whose version is older than that of the current endpoint list.
type OlderVersionError struct {
	Version int64 // version of the message
	Since   int64 // version of the current list
}

// Error returns a message with both versions.
func (e *OlderVersionError) Error() string {
	return fmt.Sprintf("discovery sent version %d, older than version %d of the current endpoint list", e.Version, e.Since)
}

// apply parses a message and passes the update to Update. It rejects older versions, because the list of an agent that lags
// behind would restore servers that are draining or removed.
func (w *Watcher) apply(text []byte) error {
	var m Message
	if err := json.Unmarshal(text, &m); err != nil {
		return fmt.Errorf("cannot parse message from discovery: %w", err)
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
