package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is a record server on the list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// List is a message of discovery.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery is the agent of discovery on a broker's machine. It answers each call at once, with the whole list first.
type Discovery struct {
	Record *Record

	listener net.Listener

	mu      sync.Mutex
	list    List
	watches map[*watch]struct{}
}

type watch struct {
	conn    net.Conn
	changes chan List
}

// Listen starts the agent with a list.
func (d *Discovery) Listen(list List) (err error) {
	d.list, d.watches = list, map[*watch]struct{}{}
	if d.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			conn, err := d.listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return nil
}

// Address returns where the agent listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// List returns the whole list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Version: d.list.Version, Full: true, Servers: append([]Entry(nil), d.list.Servers...)}
}

// SetAddress sets the address of a record server, before any broker has asked for the list.
func (d *Discovery) SetAddress(id, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.list.Servers {
		if d.list.Servers[i].ID == id {
			d.list.Servers[i].Addr = address
		}
	}
}

// Change gives the agent a change of one record server. Open watches are told of it, or end instead.
func (d *Discovery) Change(id, state string, endInstead bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	change := List{Version: d.list.Version}
	for i := range d.list.Servers {
		if d.list.Servers[i].ID == id {
			d.list.Servers[i].State = state
			change.Servers = append(change.Servers, d.list.Servers[i])
		}
	}
	d.Record.Line("discovery has version %d: %s is %s", d.list.Version, id, state)
	for w := range d.watches {
		if endInstead {
			d.Record.Line("a watch ends instead of telling version %d", d.list.Version)
			w.conn.Close()
			continue
		}
		w.changes <- change
	}
}

func (d *Discovery) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if request.URL.Query().Get("follow") != "1" {
		body, _ := json.Marshal(d.List()) // strings and numbers alone
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
		return
	}
	since, _ := strconv.ParseInt(request.URL.Query().Get("since"), 10, 64)
	w := &watch{conn: conn, changes: make(chan List, 64)}
	d.mu.Lock()
	d.watches[w] = struct{}{}
	first := List{Version: d.list.Version, Full: true, Servers: append([]Entry(nil), d.list.Servers...)}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, w)
		d.mu.Unlock()
	}()
	d.Record.Line("discovery answers a watch since %d with version %d", since, first.Version)
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(first)); err != nil {
		return
	}
	for {
		line := chunk(nil)
		select {
		case change := <-w.changes:
			line = chunk(change)
		case <-time.After(2 * time.Second):
		}
		if _, err := fmt.Fprint(conn, line); err != nil {
			return
		}
	}
}

// chunk returns an object as a chunk with one line, or an empty line for nil.
func chunk(object any) string {
	var line strings.Builder
	if object != nil {
		body, _ := json.Marshal(object) // strings and numbers alone
		line.Write(body)
	}
	line.WriteByte('\n')
	return fmt.Sprintf("%x\r\n%s\r\n", line.Len(), line.String())
}
