package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	mothflight "mothrouter/internal/transport/flight"
	"mothrouter/internal/transport/frame"
)

// attemptLedger is what all stand-in record servers of a run see together. It watches the rules.
type attemptLedger struct {
	t     *testing.T
	mu    sync.Mutex
	parts map[string]*partAttempts
}

type partAttempts struct{ started, inFlight, ran int }

// cancelGrace is how long a record server may still work on what another one's attempt has replaced: the word that it is
// given up and the next attempt go by different connections.
const cancelGrace = 50 * time.Millisecond

// serveAttempt is one attempt at a record server: some work, and at some parts' first try a full queue.
// It ends once it is given up; end is "" then.
func (l *attemptLedger) serveAttempt(id string, dropped <-chan struct{}) (end string) {
	h := fnv.New32()
	h.Write([]byte(id))
	l.mu.Lock()
	p := l.parts[id]
	if p == nil {
		p = &partAttempts{}
		l.parts[id] = p
	}
	p.started++
	p.inFlight++
	if p.inFlight > 1 {
		time.AfterFunc(cancelGrace, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			assert.LessOrEqual(l.t, p.inFlight, 1, "%s has two attempts out", id)
		})
	}
	assert.LessOrEqual(l.t, p.started, 4, "%s has too many attempts", id)
	full := p.started == 1 && h.Sum32()%9 == 0
	failed := p.started == 1 && h.Sum32()%9 == 1 && !strings.HasPrefix(id, "charge-post")
	if !full {
		p.ran++
		assert.False(l.t, p.ran > 1 && strings.HasPrefix(id, "charge-post"), "%s ran twice", id)
	}
	l.mu.Unlock()
	given := false
	select {
	case <-time.After(time.Duration(5+h.Sum32()%10) * time.Millisecond):
	case <-dropped:
		given = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p.inFlight--
	if given {
		return ""
	}
	return map[[2]bool]string{{true, false}: "full", {false, true}: "failed", {false, false}: "done"}[[2]bool{full, failed}]
}

// serveFrames serves a listener as a record server that speaks frames.
func (l *attemptLedger) serveFrames(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			var in frame.Reader
			var out sync.Mutex
			drops := map[string]chan struct{}{}
			defer func() {
				for _, drop := range drops {
					close(drop)
				}
			}()
			for {
				n, err := c.Read(in.Grow())
				if err != nil {
					return
				}
				in.Advance(n)
				for {
					m, ok, err := in.Next()
					if err != nil || !ok {
						break
					}
					id, _, _ := bytes.Cut(m.Body, []byte{' '})
					name := string(id)
					if drop := drops[name]; m.Type == 'C' && drop != nil {
						close(drop)
						delete(drops, name)
					}
					if m.Type == 'S' {
						drop := make(chan struct{})
						drops[name] = drop
						go func() {
							end := l.serveAttempt(name, drop)
							if end == "" {
								return
							}
							out.Lock()
							defer out.Unlock()
							c.Write(frame.Append(nil, 'R', name+" "+end+" 1 inflight=1,util=0.2\nv"))
						}()
					}
				}
			}
		}()
	}
}

// serveFlight answers a part as a record server that speaks Flight.
func (l *attemptLedger) serveFlight(t mothflight.PartTicket, s flight.FlightService_DoGetServer) error {
	switch l.serveAttempt(t.ID, s.Context().Done()) {
	case "":
		return s.Context().Err()
	case "full":
		st, err := status.New(codes.Unavailable, "full").WithDetails(&errdetails.RetryInfo{})
		if err != nil {
			return err
		}
		return st.Err()
	case "failed":
		return status.Error(codes.Aborted, "failed")
	}
	return sendValue(s, "v")
}

const (
	loadClients      = 8
	queriesPerClient = 20
	maxServedTime    = time.Second // an answer that takes longer does not count
)

// servedFraction has workers ask queries one after the other, every second one by Flight if mixed, and returns the
// share of them that was served whole and in time.
func servedFraction(t *testing.T, mixed bool) float64 {
	p := newPlayer(t)
	l := &attemptLedger{t: t, parts: map[string]*partAttempts{}}
	speaks := ""
	for i := range 4 {
		name := fmt.Sprint("s", i)
		if mixed && i%2 == 1 {
			p.flightServer(name, l.serveFlight)
			speaks += fmt.Sprintf("%q,", name)
		} else {
			go l.serveFrames(p.listener(name))
		}
	}
	c := p.startFlight(speaks, "s0", "s1", "s2", "s3")
	var wg sync.WaitGroup
	served := make([]int, loadClients)
	for w := range loadClients {
		wg.Go(func() {
			conn, err := net.Dial("tcp", p.listen)
			if !assert.NoError(t, err) {
				return
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			for i := range queriesPerClient {
				class := []string{"usage-lookup", "charge-post", "tariff-report"}[i%3]
				id, parts, started := fmt.Sprintf("%s-%d-%d", class, w, i), []int{5, 1, 8}[i%3], time.Now()
				ok := false
				if mixed && w%2 == 1 {
					a, err := fetchAnswer(shortContext(t), c, queryTicket(id, class, parts))
					ok = err == nil && a.closing.Complete && len(a.values) == parts
				} else {
					ok = queryHTTP(t, conn, in, id, class, parts)
				}
				if ok && time.Since(started) < maxServedTime {
					served[w]++
				}
			}
			conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err = in.ReadByte() // no query has a second answer
			assert.ErrorContains(t, err, "i/o timeout")
		})
	}
	wg.Wait()
	sum := 0
	for _, n := range served {
		sum += n
	}
	return float64(sum) / (loadClients * queriesPerClient)
}

func queryHTTP(t *testing.T, conn net.Conn, in *bufio.Reader, id, class string, parts int) bool {
	body := queryTicket(id, class, parts) // its targets and query are the platform's body
	p := &exchangePlayer{t: t, readers: map[string]*bufio.Reader{"a": in}}
	conn.Write(encodeMessage("a", fmt.Sprintf("POST /%s HTTP/1.1\nX-Request-Id: %s\nX-Deadline: 3000m\nContent-Length: auto\n\n%s",
		class, id, body)))
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	m, err := p.readMessage("a")
	assert.NoError(t, err, "%s has no final answer in its time", id)
	return strings.HasPrefix(m, "HTTP/1.1 200") && strings.Contains(m, `"whole":true`) && strings.Count(m, `"value"`) == parts
}

// Both protocols together break no rule, and serve as well as HTTP alone.
func TestMixedProtocolsServeSameFractionAsHTTP(t *testing.T) {
	alone := servedFraction(t, false)
	mixed := servedFraction(t, true)
	t.Logf("served: HTTP alone %.3f, both protocols %.3f", alone, mixed)
	require.Greater(t, alone, 0.9)
	require.InDelta(t, alone, mixed, 0.02)
}
