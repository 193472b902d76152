package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// entry is a record server on the list, in discovery's form.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is one message of discovery.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the agent that tells one broker the list of record servers.
type discovery struct {
	listener net.Listener
	indent   string // of each level; empty: an object stands on one line

	mu       sync.Mutex
	now      list              // the whole list
	changes  []list            // every change since the start
	told     map[int]time.Time // when a version was first written, by version
	changed  chan struct{}     // closed at each change
	watches  int
	conns    map[net.Conn]struct{}
	endedAt  int  // watches that were open when so many changes had been made have ended
	endCalls int  // so many calls end without telling
	ending   bool // the open watches end at the next change instead of telling it
}

// calls returns how many watches were opened.
func (d *discovery) calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// endInsteadOfTelling makes the open watches end at the next change. Later calls are answered at once.
func (d *discovery) endInsteadOfTelling() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ending = true
}

func startDiscovery(first list, indent string) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: l, indent: indent, now: first, told: map[int]time.Time{}, changed: make(chan struct{}),
		conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// change applies changed entries and tells them.
func (d *discovery) change(changed []entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now.Version++
	update := list{Version: d.now.Version, Servers: changed}
	byID := map[string]entry{}
	for _, e := range changed {
		byID[e.ID] = e
	}
	var kept []entry
	for _, e := range d.now.Servers {
		if next, ok := byID[e.ID]; ok {
			e = next
			delete(byID, e.ID)
		}
		if e.State != "left" {
			kept = append(kept, e)
		}
	}
	for _, e := range changed {
		if _, isNew := byID[e.ID]; isNew && e.State != "left" {
			kept = append(kept, e)
		}
	}
	d.now.Servers = kept
	d.changes = append(d.changes, update)
	ends := d.ending
	d.ending = false
	if ends {
		d.endedAt = len(d.changes)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// toldAt returns when a version, or one after it, was first written to the broker; zero: it was not.
func (d *discovery) toldAt(version int) (at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for v, t := range d.told {
		if v >= version && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	return at
}

func (d *discovery) encode(l list) []byte {
	if l.Servers == nil {
		l.Servers = []entry{}
	}
	var text []byte
	var err error
	if d.indent == "" {
		text, err = json.Marshal(l)
	} else {
		text, err = json.MarshalIndent(l, "", d.indent)
	}
	if err != nil {
		panic(err) // a list can always be encoded
	}
	return append(text, '\n')
}

// serve answers one call: the whole list, or a watch.
func (d *discovery) serve(c net.Conn) {
	d.mu.Lock()
	d.conns[c] = struct{}{}
	d.mu.Unlock()
	defer func() {
		c.Close()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if request.URL.Query().Get("follow") != "1" {
		d.mu.Lock()
		whole := d.now
		d.mu.Unlock()
		whole.Full = true
		text := d.encode(whole)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
			len(text))
		if _, err := c.Write(append([]byte(head), text...)); err != nil {
			return
		}
		return
	}
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	d.mu.Lock()
	ends := d.endCalls > 0
	if ends {
		d.endCalls--
		d.watches++
	}
	d.mu.Unlock()
	if !ends {
		d.follow(c)
	}
}

// follow writes the whole list, then each change, and an empty line every 2 s while there is none.
func (d *discovery) follow(c net.Conn) {
	d.mu.Lock()
	d.watches++
	next := d.now
	next.Full = true
	next.Servers = append([]entry(nil), d.now.Servers...)
	sent := len(d.changes)
	d.mu.Unlock()
	for {
		if !d.tell(c, next) {
			return
		}
		for {
			d.mu.Lock()
			changed := d.changed
			pending := sent < len(d.changes)
			if pending && sent < d.endedAt {
				d.mu.Unlock()
				return
			}
			if pending {
				next = d.changes[sent]
				sent++
			}
			d.mu.Unlock()
			if pending {
				break
			}
			select {
			case <-changed:
			case <-time.After(2 * time.Second):
				if writeChunk(c, []byte("\n")) != nil {
					return
				}
			}
		}
	}
}

// tell writes one message and records when.
func (d *discovery) tell(c net.Conn, l list) bool {
	if writeChunk(c, d.encode(l)) != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.told[l.Version].IsZero() {
		d.told[l.Version] = time.Now()
	}
	return true
}

// writeChunk writes one chunk in pieces of at most 32 KiB.
func writeChunk(c net.Conn, text []byte) error {
	for len(text) > 0 {
		n := min(len(text), 32<<10)
		c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

func (d *discovery) close() { d.listener.Close() }

// leave accepts no new connection from now on, and closes the open ones 1.5 s later.
func (d *discovery) leave() {
	d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for c := range d.conns {
			c.Close()
		}
	})
}

// entryOf returns the entry of a record server.
func entryOf(s *recordServer, state string) entry {
	return entry{ID: s.id, Addr: s.listener.Addr().String(), Zone: "bern-1", Kind: "std-2c", Cell: s.cell, State: state,
		Weight: 1}
}
