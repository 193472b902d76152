package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// A started call whose result is still in the inbox may have run, whatever the result is. If its part is not idempotent, a
// Reject action must end the query with a failure.
func TestNoRejectionWhileResultIsInInbox(t *testing.T) {
	h := newHarness(t)
	blocker := make(blockingClient)
	h.broker.Submit(&broker.Request{ID: "other", Class: idempotent, ReceivedAt: time.Now(), Timeout: 3 * time.Second}, blocker)
	otherID := awaitEvent[decision.Query](h).ID
	id, part, answer, _ := h.submit("q", nonIdempotent, 1, 3*time.Second)
	call := h.send(part, "s1")
	require.True(t, call.TryStart())
	h.perform(decision.Reject{ID: otherID}, decision.Reject{ID: id})
	<-blocker // the loop is blocked between the two rejections
	call.Finish(callResult(decision.Reset))
	blocker <- struct{}{}
	require.Equal(t, broker.Failed, (<-answer).Outcome)
}

// While the core rejects a query, a queued call must not start after the core has checked which calls have started.
func TestNoAttemptStartsDuringRejection(t *testing.T) {
	h := newHarness(t)
	id, first, answer, _ := h.submit("q", nonIdempotent, 2, 3*time.Second)
	calls := []*broker.Call{h.send(first, "s1"), h.send(first+1, "s2")}
	for range cap(h.cancelledCalls) {
		h.cancelledCalls <- nil // fill the channel, so that the loop blocks in Cancel of the first call
	}
	h.perform(decision.Reject{ID: id})
	require.Eventually(t, calls[0].Finished, 2*time.Second, time.Millisecond)
	require.False(t, calls[0].TryStart())
	started := calls[1].TryStart()
	for range cap(h.cancelledCalls) {
		<-h.cancelledCalls
	}
	outcome := (<-answer).Outcome
	require.False(t, started && outcome == broker.Rejected, "a call started although its query was rejected: a retry by the client could run the part twice")
	require.Equal(t, started, outcome == broker.Failed)
	require.Equal(t, !started, outcome == broker.Rejected)
}
