package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
)

// A pipelined request counts from when it was received, not from the response to the request before it.
func TestReceivedAtOfPipelinedRequestPrecedesItsTurn(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 8})
	c, in, _ := x.dial()
	fmt.Fprint(c, requestText("q1"), requestText("q2"))
	q := <-x.submissions
	time.Sleep(50 * time.Millisecond)
	q.Finish(broker.Result{Complete: true})
	require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
	q2 := <-x.submissions
	require.Less(t, q2.ReceivedAt.Sub(q.ReceivedAt), 40*time.Millisecond)
}

// A request that waits for its turn counts from its own last byte, not from bytes received behind it.
func TestReceivedAtIsTimeOfRequestsLastByte(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 8})
	c, in, _ := x.dial()
	fmt.Fprint(c, requestText("q1"), requestText("q2"))
	q1 := <-x.submissions
	third := requestText("q3")
	for range 2 {
		time.Sleep(60 * time.Millisecond)
		fmt.Fprint(c, third[:len(third)/2])
		third = third[len(third)/2:]
	}
	time.Sleep(20 * time.Millisecond)
	receivedAt := []time.Time{q1.ReceivedAt}
	for q := range 2 {
		q1.Finish(broker.Result{Complete: true})
		require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in), "request %d", q)
		q1 = <-x.submissions
		receivedAt = append(receivedAt, q1.ReceivedAt)
		if q == 0 {
			fmt.Fprint(c, third)
			time.Sleep(20 * time.Millisecond)
		}
	}
	require.Less(t, receivedAt[1].Sub(receivedAt[0]), 50*time.Millisecond)
	require.Greater(t, receivedAt[2].Sub(receivedAt[0]), 120*time.Millisecond)
}

// Beyond maxReads, reads are merged, and lastByte returns the time of an earlier read, never of a later one.
func TestReadLogIsBoundedAndNeverReturnsLaterTime(t *testing.T) {
	var l readLog
	begin := time.Now()
	const reads = 5 * maxReads
	for i := range reads {
		l.add(1, begin.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, l.reads, maxReads)
	for request := 1; request <= reads; request++ {
		received := begin.Add(time.Duration(request-1) * time.Millisecond)
		require.False(t, l.lastByte(reads-request).After(received), "request %d", request)
	}
}
