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

// loadQueries are the queries that a client sends in turn: a class and a number of parts.
var loadQueries = []struct {
	class string
	parts int
}{{"usage-lookup", 5}, {"charge-post", 1}, {"tariff-report", 8}}

// queryFunc sends a query and reports whether its answer is complete.
type queryFunc func(id, class string, parts int) bool

// servedFraction runs clients that send one query after the other, and returns the fraction of queries with a complete
// answer within maxServedTime. With mixed, every second record server and every second client speaks Flight.
func servedFraction(t *testing.T, mixed bool) float64 {
	replayer := newReplayer(t)
	ledger := newAttemptLedger(t)
	flightServers := ""
	for i := range 4 {
		name := fmt.Sprint("s", i)
		if mixed && i%2 == 1 {
			replayer.startFlightServer(name, ledger.serveFlight)
			flightServers += fmt.Sprintf("%q,", name)
		} else {
			go ledger.serveFrames(replayer.listener(name))
		}
	}
	flightClient := replayer.startFlight(flightServers, "s0", "s1", "s2", "s3")
	var clients sync.WaitGroup
	served := make([]int, loadClients)
	for i := range loadClients {
		clients.Go(func() {
			if mixed && i%2 == 1 {
				served[i] = countServed(i, flightQuery(t, flightClient))
			} else {
				served[i] = countServedHTTP(t, replayer.listen, i)
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

// countServed sends the queries of a client and returns how many were served: completely and within maxServedTime.
func countServed(client int, query queryFunc) (served int) {
	for i := range queriesPerClient {
		q := loadQueries[i%len(loadQueries)]
		startedAt := time.Now()
		complete := query(fmt.Sprintf("%s-%d-%d", q.class, client, i), q.class, q.parts)
		if complete && time.Since(startedAt) < maxServedTime {
			served++
		}
	}
	return served
}

// countServedHTTP calls countServed with queries over one HTTP connection. It checks that no query gets a second answer.
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

// flightQuery returns a queryFunc that sends queries over Flight.
func flightQuery(t *testing.T, client flight.Client) queryFunc {
	return func(id, class string, parts int) bool {
		a, err := fetchAnswer(shortContext(t), client, queryTicket(id, class, parts))
		return err == nil && a.metadata.Complete && len(a.values) == parts
	}
}

// queryHTTP sends a query over an HTTP connection and reports whether its answer is complete.
func queryHTTP(t *testing.T, conn net.Conn, in *bufio.Reader, id, class string, parts int) bool {
	body := queryTicket(id, class, parts) // the body over HTTP has the same targets and query
	conn.Write(encodeMessage("client", fmt.Sprintf(
		"POST /%s HTTP/1.1\nX-Request-Id: %s\nX-Deadline: 3000m\nContent-Length: auto\n\n%s", class, id, body)))
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := readHTTP(in)
	assert.NoError(t, err, "%s has no final answer within 3 s", id)
	return strings.HasPrefix(answer, "HTTP/1.1 200") && strings.Contains(answer, `"whole":true`) &&
		strings.Count(answer, `"value"`) == parts
}

// With both protocols the broker serves the same fraction of queries as with HTTP alone, and violates no rule that the attempt
// ledger checks.
func TestMixedProtocolsServeSameFractionAsHTTP(t *testing.T) {
	httpOnly := servedFraction(t, false)
	mixed := servedFraction(t, true)
	t.Logf("served: HTTP alone %.3f, both protocols %.3f", httpOnly, mixed)
	require.Greater(t, httpOnly, 0.9)
	require.InDelta(t, httpOnly, mixed, 0.02)
}
