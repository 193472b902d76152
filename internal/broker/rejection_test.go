package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// A call whose result the loop has not handled yet counts as started: a query with a non-idempotent part of such a call fails
// instead of being rejected, whatever the result is.
func TestNoRejectionWhileAStartedCallIsUnread(t *testing.T) {
	h := newHarness(t)
	other := make(blockingClient)
	h.broker.Submit(&broker.Request{ID: "other", Class: idempotent, ReceivedAt: time.Now(), Timeout: 3 * time.Second}, other)
	otherID := awaitEvent[decision.Query](h).ID
	id, part, answer, _ := h.submit("q", nonIdempotent, 1, 3*time.Second)
	call := h.send(part, "s1")
	require.True(t, call.TryStart())
	h.perform(decision.Reject{ID: otherID}, decision.Reject{ID: id})
	<-other // the loop waits here, between the two rejections
	call.Finish(callResult(decision.Reset))
	other <- struct{}{}
	require.Equal(t, broker.Failed, (<-answer).Outcome)
}

// A call that has not started when its query is rejected must not start between the check and the end of the query.
func TestNoAttemptStartsDuringRejection(t *testing.T) {
	h := newHarness(t)
	id, first, answer, _ := h.submit("q", nonIdempotent, 2, 3*time.Second)
	calls := []*broker.Call{h.send(first, "s1"), h.send(first+1, "s2")}
	for range cap(h.cancelled) {
		h.cancelled <- nil // so that the loop waits where it cancels the first call
	}
	h.perform(decision.Reject{ID: id})
	require.Eventually(t, calls[0].Finished, 2*time.Second, time.Millisecond)
	require.False(t, calls[0].TryStart())
	started := calls[1].TryStart()
	for range cap(h.cancelled) {
		<-h.cancelled
	}
	outcome := (<-answer).Outcome
	require.False(t, started && outcome == broker.Rejected, "a rejected client may retry a part that is running")
	require.Equal(t, started, outcome == broker.Failed)
	require.Equal(t, !started, outcome == broker.Rejected)
}
