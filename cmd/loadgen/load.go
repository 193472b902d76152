package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readBufferSize = 1 << 16
	answerTimeout  = 4 * time.Second // twice the deadline of a query
)

// load holds what the clients measure. Its methods are safe for concurrent use.
type load struct {
	address   string
	startedAt time.Time
	duration  time.Duration
	scheduled atomic.Int64 // queries that were given a send time so far, with -rate

	mu        sync.Mutex // guards the fields below
	latencies []float64  // seconds from when a query was due until its answer
	lost      int        // queries without a successful answer
}

// lastQueryNumber is the number of the latest query of all loads. The request id of a query is made from its number.
var lastQueryNumber atomic.Int64

// applyLoad runs all clients for a duration and returns what they measured.
func applyLoad(address string, d time.Duration) *load {
	l := &load{address: address, startedAt: time.Now(), duration: d}
	var clientLoops sync.WaitGroup
	for client := range *clients {
		clientLoops.Go(func() { l.runClient(client) })
	}
	clientLoops.Wait()
	return l
}

// runClient sends one query after the other over one connection, until the duration is over or the connection fails.
func (l *load) runClient(client int) {
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		return
	}
	defer conn.Close()
	in := textproto.NewReader(bufio.NewReaderSize(conn, readBufferSize))
	var latencies []float64
	lost := 0
	defer func() { l.add(latencies, lost) }()
	for {
		due := l.nextDue()
		if due.Sub(l.startedAt) > l.duration {
			return
		}
		served, err := sendQuery(conn, in, client, int(lastQueryNumber.Add(1)))
		if served {
			latencies = append(latencies, time.Since(due).Seconds())
		} else {
			lost++
		}
		if err != nil {
			return
		}
	}
}

// nextDue waits until the next query is due and returns when that is: now, or at a fixed rate with -rate.
func (l *load) nextDue() time.Time {
	if *rate <= 0 {
		return time.Now()
	}
	due := l.startedAt.Add(time.Duration(float64(l.scheduled.Add(1)) / *rate * float64(time.Second)))
	time.Sleep(time.Until(due))
	return due
}

func (l *load) add(latencies []float64, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, latencies...)
	l.lost += lost
}

// sendQuery sends a query, reads its answer and reports whether it was served. After an error the connection cannot be
// used any more, and the query was not served.
func sendQuery(conn net.Conn, in *textproto.Reader, client, number int) (served bool, err error) {
	body := queryBody(client + number)
	fmt.Fprintf(conn, "POST /usage-lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: u%d\r\nX-Class: usage-lookup\r\n"+
		"X-Deadline: 2000m\r\nContent-Length: %d\r\n\r\n%s", number, len(body), body)
	conn.SetReadDeadline(time.Now().Add(answerTimeout))
	status, err := in.ReadLine()
	if err != nil {
		return false, err
	}
	head, err := in.ReadMIMEHeader()
	if err != nil {
		return false, err
	}
	length, err := strconv.Atoi(head.Get("Content-Length"))
	if err != nil {
		return false, err
	}
	if _, err := io.CopyN(io.Discard, in.R, int64(length)); err != nil {
		return false, err
	}
	return strings.Contains(status, " 200 "), nil
}

// queryBody returns the body of a query over consecutive shards.
func queryBody(firstShard int) string {
	var body strings.Builder
	body.WriteString(`{"targets":[`)
	for i := range *parts {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"partition":%d,"share":%g}`, (firstShard+i)%*servers, 1/float64(*parts))
	}
	body.WriteString(`],"query":"c41e77d0"}`)
	return body.String()
}
