package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
)

// The time of a pipelined request counts from when it was received, not from the response to the request before it.
func TestReceivedAtOfPipelinedRequestPrecedesPreviousResponse(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 8})
	client, in, _ := f.dial()
	fmt.Fprint(client, requestText("q1"), requestText("q2"))
	q1 := <-f.submissions
	time.Sleep(50 * time.Millisecond)
	q1.Finish(broker.Result{Complete: true})
	require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
	q2 := <-f.submissions
	require.Less(t, q2.ReceivedAt.Sub(q1.ReceivedAt), 40*time.Millisecond)
}

// The time of a pipelined request counts from its own last byte, even if bytes of later requests follow before its turn.
func TestReceivedAtIsTimeOfRequestsLastByte(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 8})
	client, in, _ := f.dial()
	fmt.Fprint(client, requestText("q1"), requestText("q2"))
	q := <-f.submissions
	third := requestText("q3")
	for range 2 {
		time.Sleep(60 * time.Millisecond)
		fmt.Fprint(client, third[:len(third)/2])
		third = third[len(third)/2:]
	}
	time.Sleep(20 * time.Millisecond)
	receivedAt := []time.Time{q.ReceivedAt}
	for i := range 2 {
		q.Finish(broker.Result{Complete: true})
		require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in), "request %d", i)
		q = <-f.submissions
		receivedAt = append(receivedAt, q.ReceivedAt)
		if i == 0 {
			fmt.Fprint(client, third)
			time.Sleep(20 * time.Millisecond)
		}
	}
	require.Less(t, receivedAt[1].Sub(receivedAt[0]), 50*time.Millisecond)
	require.Greater(t, receivedAt[2].Sub(receivedAt[0]), 120*time.Millisecond)
}

// Beyond maxReads, reads are merged, and lastByte may return the time of an earlier read, never of a later one.
func TestReadLogIsBoundedAndNeverReturnsLaterTime(t *testing.T) {
	var l readLog
	startedAt := time.Now()
	const reads = 5 * maxReads
	for i := range reads {
		l.add(1, startedAt.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, l.reads, maxReads)
	for request := 1; request <= reads; request++ {
		received := startedAt.Add(time.Duration(request-1) * time.Millisecond)
		require.False(t, l.lastByte(reads-request).After(received), "request %d", request)
	}
}
