package main_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
)

// classRequest returns a query of a class over one partition, with a deadline of 2 s.
func classRequest(class, id string) string {
	return strings.ReplaceAll(queryRequest(id), "usage-lookup", class)
}

// awaitAttempts waits until the record server has received n attempts.
func (b *servingBroker) awaitAttempts(n int) {
	b.t.Helper()
	require.Eventually(b.t, func() bool {
		count, _ := b.ledger.attempts()
		return count >= n
	}, waitTimeout, time.Millisecond)
}

// Guards against a part that runs twice because its query's id comes again after its client has left (issue 42, picture c).
func TestIDOfDepartedClientRunsOnce(t *testing.T) {
	for _, flags := range [][]string{nil, {"-cores", coresFile}} {
		t.Run(strings.Join(flags, " "), func(t *testing.T) {
			b := startServingBroker(t, flags...)
			b.ledger.serviceTime = 200 * time.Millisecond
			for n := range 8 {
				id := fmt.Sprintf("charge-post-%d", n)
				before, _ := b.ledger.attempts()
				departed := b.dial()
				fmt.Fprint(departed, classRequest("charge-post", id))
				b.awaitAttempts(before + 1)
				departed.Close()
				time.Sleep(20 * time.Millisecond)
				returned := b.dial()
				answer := returned.roundTrip(classRequest("charge-post", id))
				require.NotEmpty(t, answer, "the request has no answer")
			}
		})
	}
}

// Guards against attempts for a client that has closed its connection with much of what it sent still unread, also while
// others send at full speed (issue 42, picture c).
func TestClosedConnectionSendsNothingOn(t *testing.T) {
	for _, requests := range []int{200, 2000, 20000} {
		for _, flags := range [][]string{nil, {"-cores", coresFile}} {
			t.Run(fmt.Sprint(requests, flags), func(t *testing.T) {
				b := startServingBroker(t, flags...)
				b.requireNothingSentOn(requests, func() {})
			})
		}
	}
	for _, name := range []string{"nested bodies", "unknown classes"} {
		t.Run("beside "+name, func(t *testing.T) {
			b := startServingBroker(t)
			endFlood := startRequestFlood(b.listen, floodClients, floodRequests[name])
			time.Sleep(floodLead)
			b.requireNothingSentOn(200, endFlood)
		})
	}
}

// requireNothingSentOn has clients write a number of queries, without waiting for answers, and close; endFlood is called
// after half of the observation. It requires that no attempt begins later than a departed client allows.
func (b *servingBroker) requireNothingSentOn(requests int, endFlood func()) {
	const (
		clients     = 12
		observation = 500 * time.Millisecond
	)
	var text strings.Builder
	var conns []*clientConn
	for client := range clients {
		text.Reset()
		for n := range requests {
			text.WriteString(queryRequest(fmt.Sprintf("left-%d-%d", client, n)))
		}
		conn := b.dial()
		conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		fmt.Fprint(conn, text.String())
		conns = append(conns, conn)
	}
	closedAt := time.Now()
	for _, conn := range conns {
		conn.Close()
	}
	time.Sleep(observation)
	endFlood()
	time.Sleep(observation)
	_, lastStartedAt := b.ledger.attempts()
	require.Less(b.t, lastStartedAt.Sub(closedAt), departGrace, "an attempt began after the clients had left")
}

// departures are the ways in which clients that wait for answers leave, by front. Each has as many queries in flight as the front
// allows a client, and writes more than the broker reads at once before it closes.
var departures = map[string]func(b *floodedBroker, id string) (leave func()){
	"HTTP": func(b *floodedBroker, id string) func() {
		conn := b.dial()
		fmt.Fprint(conn, queryRequest(id))
		return func() {
			conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			fmt.Fprint(conn, strings.Repeat(queryRequest(id), 2000))
			conn.Close()
		}
	},
	"Flight": func(b *floodedBroker, id string) func() {
		conn := b.writeCalls(id)
		return func() {
			conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			framer := http2.NewFramer(conn, nil)
			for n, err := uint32(100), error(nil); n < 300 && err == nil; n++ {
				err = writeReset(framer, n)
			}
			conn.Close()
		}
	},
}

// Guards against retries for a client that has left while its first attempts ran, with its close behind bytes that are read slowly.
func TestDepartedClientGetsNoRetry(t *testing.T) {
	for front, arrive := range departures {
		for _, flags := range [][]string{nil, {"-cores", coresFile}} {
			t.Run(strings.Join(append([]string{front}, flags...), " "), func(t *testing.T) {
				b := startFloodedBrokerWith(t, brokerOptions{flags: flags})
				b.ledger.serviceTime = 400 * time.Millisecond
				endFlood := startRequestFlood(b.listen, floodClients, nestedBodyRequest)
				defer endFlood()
				time.Sleep(floodLead)
				var leave []func()
				for client := range 3 * floodClients {
					leave = append(leave, arrive(b, fmt.Sprint("left-", client)))
				}
				b.awaitAttempts(len(leave))
				var leaving sync.WaitGroup
				for _, leaveOne := range leave {
					leaving.Go(leaveOne)
				}
				leaving.Wait()
				closedAt := time.Now()
				time.Sleep(floodDuration / 2)
				attempts, lastStartedAt := b.ledger.attempts()
				t.Log("attempts:", attempts, "the last one after the close:", lastStartedAt.Sub(closedAt))
				require.Less(t, lastStartedAt.Sub(closedAt), departGrace, "an attempt began after the clients had left")
			})
		}
	}
}
