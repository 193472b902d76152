// Package discovery watches the endpoint list: it drives httpwire's line reader over a socket, as listwatch decides.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mothrouter/internal/backoff"
	"mothrouter/internal/broker"
	"mothrouter/internal/endpoints/listwatch"
	"mothrouter/internal/transport/httpwire"
)

// dialTimeout is as long as a call may take: a first packet that is lost is sent again after a second.
const dialTimeout = listwatch.CallTimeout

// Watcher watches the list and hands its updates to Update. It drives a listwatch, which decides when to call and which calls
// stay open.
type Watcher struct {
	Addr      string // where the first watch goes; ChangeAddress names another
	NameTable NameTable
	Since     int64 // version of the list as known
	Update    func(broker.EndpointUpdate)
	Log       *slog.Logger
	// Backoff decides when a watch is started. All brokers share one discovery.
	Backoff *backoff.Backoff

	once       sync.Once
	newAddress chan string // the latest one that ChangeAddress named, until Run takes it
}

func (w *Watcher) init() { w.once.Do(func() { w.newAddress = make(chan string, 1) }) }

// ChangeAddress has the list watched at another address from now on, from the version last received. The list stays.
func (w *Watcher) ChangeAddress(addr string) {
	w.init()
	for {
		select {
		case w.newAddress <- addr:
			return
		case <-w.newAddress: // one that Run has not come to
		}
	}
}

// message is what a call has brought: the text of an object or, empty, an empty line; or its end.
type message struct {
	call int
	text []byte
	err  error
}

// Run watches the list until ctx ends. Each call has a goroutine that only reads and ends with it; Run's own owns the list's
// version and the listwatch.
func (w *Watcher) Run(ctx context.Context) {
	w.init()
	if w.Backoff == nil {
		w.Backoff = backoff.New(1, rand.Uint64())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{
		Watcher: w, ctx: ctx, addr: w.Addr, watch: listwatch.New(w.Backoff, time.Now()),
		messages: make(chan message), open: map[int]context.CancelFunc{},
	}
	for ctx.Err() == nil {
		r.awaitEvent()
	}
}

// run is what a Watcher owns while it runs.
type run struct {
	*Watcher
	ctx      context.Context
	addr     string
	watch    *listwatch.Watch
	messages chan message
	open     map[int]context.CancelFunc // by call
}

// awaitEvent waits for the next event and acts on it.
func (r *run) awaitEvent() {
	var due <-chan time.Time
	if at := r.watch.WakeAt(); !at.IsZero() {
		t := time.NewTimer(time.Until(at))
		defer t.Stop()
		due = t.C
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
	for _, a := range actions {
		if a.Close {
			r.Log.Info("silent endpoint watch closed", "since", r.Since)
			r.open[a.Call]()
			delete(r.open, a.Call)
			continue
		}
		ctx, end := context.WithCancel(r.ctx)
		r.open[a.Call] = end
		go runCall(ctx, a.Call, r.addr, r.Since, r.messages)
	}
}

// handleMessage takes up what a call has brought, and ends the call after an error.
func (r *run) handleMessage(m message) {
	end := r.open[m.call]
	if end == nil {
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
	end()
	delete(r.open, m.call)
	r.perform(r.watch.CallEnded(time.Now(), m.call))
}

// runCall makes one call and hands on what it brings, until it or ctx ends.
func runCall(ctx context.Context, id int, addr string, since int64, words chan<- message) {
	say := func(text []byte, end error) {
		select {
		case words <- message{id, bytes.Clone(text), end}:
		case <-ctx.Done():
		}
	}
	d := net.Dialer{Timeout: dialTimeout}
	sock, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		say(nil, err)
		return
	}
	defer sock.Close()
	defer context.AfterFunc(ctx, func() { sock.Close() })()
	sock.SetWriteDeadline(time.Now().Add(dialTimeout))
	if _, err := fmt.Fprintf(sock, "GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		since, addr); err != nil {
		say(nil, err)
		return
	}
	var in httpwire.LineReader
	var object httpwire.Object
	for {
		n, err := sock.Read(in.Grow())
		if err != nil {
			say(nil, err)
			return
		}
		in.Advance(n)
		for {
			line, ok, err := in.Next()
			if err == nil && ok && in.Status() != 200 {
				err = fmt.Errorf("discovery answers %d", in.Status())
			}
			var text []byte
			whole := false
			if err == nil && ok {
				text, whole, err = object.Add(line)
			}
			if err != nil {
				say(nil, err)
				return
			}
			if !ok {
				break
			}
			if whole {
				say(text, nil)
			}
		}
		if in.Done() {
			say(nil, errors.New("discovery ended the watch"))
			return
		}
	}
}

func (w *Watcher) apply(line []byte) error {
	var m Message
	if err := json.Unmarshal(line, &m); err != nil {
		return fmt.Errorf("a line of the watch: %w", err)
	}
	l, err := w.NameTable.EndpointUpdate(m)
	if err != nil {
		return err
	}
	if m.Version < w.Since {
		// Guards against an agent that has fallen behind: its list would bring back servers that drain or are removed.
		return fmt.Errorf("version %d is older than what is known", m.Version)
	}
	w.Since = m.Version
	w.Update(l)
	return nil
}
