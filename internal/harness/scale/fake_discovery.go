package scale

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	changeInterval    = 100 * time.Millisecond
	changeCount       = 20
	listTimeout       = 10 * time.Second // for all watchers to receive the full list
	heartbeatInterval = 2 * time.Second  // between the empty lines that the discovery service sends
	maxWatchers       = 4096
)

// startChanges tells the child, which runs a fake discovery service, to start sending changes.
func (c *child) startChanges() error {
	_, err := io.WriteString(c.in, "change\n")
	return err
}

// serveDiscovery runs a fake discovery service until its standard input is closed. The service sends a full list of servers
// to each watch and, after its parent has written a line, changes of one server. The version of a change is the time at
// which it is sent, in Unix nanoseconds.
func serveDiscovery(servers int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	fmt.Println(l.Addr())
	fmt.Println(childReady)
	d := &fakeDiscovery{fullList: encodeList(servers, 1)}
	go d.accept(l)
	go d.sendHeartbeats()
	in := bufio.NewReader(os.Stdin)
	if _, err := in.ReadString('\n'); err != nil {
		return nil // the parent closed the input without calling startChanges
	}
	go d.sendChanges()
	_, err = io.Copy(io.Discard, in)
	return err
}

// fakeDiscovery is a fake discovery service with a fixed list of servers.
type fakeDiscovery struct {
	fullList []byte
	mu       sync.Mutex
	conns    []net.Conn
}

func (d *fakeDiscovery) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go d.serveWatch(c)
	}
}

// serveWatch reads the request of a watch, sends the full list and registers the watch for changes. Watches beyond
// maxWatchers are not registered.
func (d *fakeDiscovery) serveWatch(c net.Conn) {
	if err := readRequestHead(c); err != nil {
		c.Close()
		return
	}
	head := []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	if _, err := c.Write(append(head, encodeChunk(d.fullList)...)); err != nil {
		c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) < maxWatchers {
		d.conns = append(d.conns, c)
	}
}

// readRequestHead reads an HTTP request up to the empty line that ends its head.
func readRequestHead(c net.Conn) error {
	in := bufio.NewReaderSize(c, maxRequestHead)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.TrimSpace(line) == "" {
			return nil
		}
	}
}

func encodeChunk(data []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data) }

// sendChanges sends changeCount changes to all watches, one at each changeInterval.
func (d *fakeDiscovery) sendChanges() {
	for range changeCount {
		time.Sleep(changeInterval)
		d.broadcast(encodeChange(0, time.Now().UnixNano()))
	}
}

// sendHeartbeats sends an empty line to all watches at each heartbeatInterval until the process exits.
func (d *fakeDiscovery) sendHeartbeats() {
	for {
		time.Sleep(heartbeatInterval)
		d.broadcast([]byte("\n"))
	}
}

// broadcast sends data to all watches as one chunk.
func (d *fakeDiscovery) broadcast(data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.Write(encodeChunk(data))
	}
}
