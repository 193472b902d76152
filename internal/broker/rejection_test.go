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
	r := newHarness(t)
	other := make(blockingClient)
	r.b.Submit(&broker.Request{ID: "other", Class: idempotent, ReceivedAt: time.Now(), Timeout: 3 * time.Second}, other)
	otherID := event[decision.Query](r).ID
	id, part, c, _ := r.take("q", nonIdempotent, 1, 3*time.Second)
	call := r.send(part, "s1")
	require.True(t, call.TryStart())
	r.do(decision.Reject{ID: otherID}, decision.Reject{ID: id})
	<-other // the loop waits here, between the two refusals
	call.Finish(done(decision.Reset))
	other <- struct{}{}
	require.Equal(t, broker.Failed, (<-c).Outcome)
}

// A call that has not begun when its query is refused must not begin between the look at it and its end.
func TestNoAttemptStartsDuringRejection(t *testing.T) {
	r := newHarness(t)
	id, first, c, _ := r.take("q", nonIdempotent, 2, 3*time.Second)
	calls := []*broker.Call{r.send(first, "s1"), r.send(first+1, "s2")}
	for range cap(r.cancelled) {
		r.cancelled <- nil // so that the loop waits where it cancels the first call
	}
	r.do(decision.Reject{ID: id})
	require.Eventually(t, calls[0].Finished, 2*time.Second, time.Millisecond)
	require.False(t, calls[0].TryStart())
	begun := calls[1].TryStart()
	for range cap(r.cancelled) {
		<-r.cancelled
	}
	outcome := (<-c).Outcome
	require.False(t, begun && outcome == broker.Rejected, "the client may send again what runs")
	require.Equal(t, begun, outcome == broker.Failed)
	require.Equal(t, !begun, outcome == broker.Rejected)
}
