package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// A call's end that the loop has not come to yet counts all the same: an attempt of an nonIdempotent part has begun, so that
// its query has failed, whatever that end will say.
func TestNoRejectionWhileAStartedCallIsUnread(t *testing.T) {
	h := newHarness(t)
	other := make(blockingClient)
	h.broker.Submit(&broker.Request{ID: "other", Class: idempotent, ReceivedAt: time.Now(), Timeout: 3 * time.Second}, other)
	otherID := awaitEvent[decision.Query](h).ID
	id, part, c, _ := h.submit("q", nonIdempotent, 1, 3*time.Second)
	call := h.send(part, "s1")
	require.True(t, call.TryStart())
	h.perform(decision.Reject{ID: otherID}, decision.Reject{ID: id})
	<-other // the loop waits here, between the two refusals
	call.Finish(callResult(decision.Reset))
	other <- struct{}{}
	require.Equal(t, broker.Failed, (<-c).Outcome)
}

// A call that has not begun when its query is refused must not begin between the look at it and its end.
func TestNoAttemptStartsDuringRejection(t *testing.T) {
	h := newHarness(t)
	id, first, c, _ := h.submit("q", nonIdempotent, 2, 3*time.Second)
	calls := []*broker.Call{h.send(first, "s1"), h.send(first+1, "s2")}
	for range cap(h.cancelled) {
		h.cancelled <- nil // so that the loop waits where it cancels the first call
	}
	h.perform(decision.Reject{ID: id})
	require.Eventually(t, calls[0].Finished, 2*time.Second, time.Millisecond)
	require.False(t, calls[0].TryStart())
	begun := calls[1].TryStart()
	for range cap(h.cancelled) {
		<-h.cancelled
	}
	outcome := (<-c).Outcome
	require.False(t, begun && outcome == broker.Rejected, "the client may send again what runs")
	require.Equal(t, begun, outcome == broker.Failed)
	require.Equal(t, !begun, outcome == broker.Rejected)
}
