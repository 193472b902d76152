package main_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	loadClients      = 8
	queriesPerClient = 20
	maxServedTime    = time.Second // a slower answer does not count as served
)

// loadQueries are the classes that a client queries in turn, with the parts of a query.
var loadQueries = []struct {
	class string
	parts int
}{{"usage-lookup", 5}, {"charge-post", 1}, {"tariff-report", 8}}

// queryFunc sends a query and reports whether its answer is complete.
type queryFunc func(id, class string, parts int) bool

// servedFraction runs clients that send one query after the other, and returns the fraction of queries with a complete
// answer within maxServedTime. With mixed, every second record server and every second client speaks Flight.
func servedFraction(t *testing.T, mixed bool) float64 {
	p := newPlayer(t)
	ledger := newAttemptLedger(t)
	flightServers := ""
	for i := range 4 {
		name := fmt.Sprint("s", i)
		if mixed && i%2 == 1 {
			p.flightServer(name, ledger.serveFlight)
			flightServers += fmt.Sprintf("%q,", name)
		} else {
			go ledger.serveFrames(p.listener(name))
		}
	}
	flightClient := p.startFlight(flightServers, "s0", "s1", "s2", "s3")
	var clients sync.WaitGroup
	served := make([]int, loadClients)
	for i := range loadClients {
		clients.Go(func() {
			if mixed && i%2 == 1 {
				served[i] = countServed(i, flightQuery(t, flightClient))
			} else {
				served[i] = countServedHTTP(t, p.listen, i)
			}
		})
	}
	clients.Wait()
	sum := 0
	for _, n := range served {
		sum += n
	}
	return float64(sum) / (loadClients * queriesPerClient)
}

// countServed sends the queries of a client and returns how many were served.
func countServed(client int, query queryFunc) (served int) {
	for i := range queriesPerClient {
		q := loadQueries[i%len(loadQueries)]
		started := time.Now()
		complete := query(fmt.Sprintf("%s-%d-%d", q.class, client, i), q.class, q.parts)
		if complete && time.Since(started) < maxServedTime {
			served++
		}
	}
	return served
}

// countServedHTTP is countServed over one HTTP connection, on which no query may have a second answer.
func countServedHTTP(t *testing.T, address string, client int) int {
	conn, err := net.Dial("tcp", address)
	if !assert.NoError(t, err) {
		return 0
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	served := countServed(client, func(id, class string, parts int) bool {
		return queryHTTP(t, conn, in, id, class, parts)
	})
	conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = in.ReadByte()
	assert.ErrorContains(t, err, "i/o timeout")
	return served
}

// flightQuery returns a queryFunc of a Flight client.
func flightQuery(t *testing.T, client flight.Client) queryFunc {
	return func(id, class string, parts int) bool {
		a, err := fetchAnswer(shortContext(t), client, queryTicket(id, class, parts))
		return err == nil && a.closing.Complete && len(a.values) == parts
	}
}

func queryHTTP(t *testing.T, conn net.Conn, in *bufio.Reader, id, class string, parts int) bool {
	body := queryTicket(id, class, parts) // the platform's body has the same targets and query
	conn.Write(encodeMessage("client", fmt.Sprintf(
		"POST /%s HTTP/1.1\nX-Request-Id: %s\nX-Deadline: 3000m\nContent-Length: auto\n\n%s", class, id, body)))
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := readHTTP(in)
	assert.NoError(t, err, "%s has no final answer in its time", id)
	return strings.HasPrefix(answer, "HTTP/1.1 200") && strings.Contains(answer, `"whole":true`) &&
		strings.Count(answer, `"value"`) == parts
}

// Both protocols together serve the same fraction of queries as HTTP alone, and break no rule of the ledger.
func TestMixedProtocolsServeSameFractionAsHTTP(t *testing.T) {
	alone := servedFraction(t, false)
	mixed := servedFraction(t, true)
	t.Logf("served: HTTP alone %.3f, both protocols %.3f", alone, mixed)
	require.Greater(t, alone, 0.9)
	require.InDelta(t, alone, mixed, 0.02)
}
