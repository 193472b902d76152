package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
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

// Discovery is the agent of discovery on a broker's machine. It answers each call at once, with the whole list. Nothing changes
// on it.
type Discovery struct {
	Record *Record

	listener net.Listener

	mu   sync.Mutex
	list List
}

// Listen starts the agent with a list.
func (d *Discovery) Listen(list List) (err error) {
	d.list = list
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
	list := d.List()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	d.Record.Line("discovery answers a watch since %d with version %d", since, list.Version)
	for line := chunk(list); ; line = chunk(nil) {
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
		time.Sleep(2 * time.Second)
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
