package broker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// Every query, in flight or accepted after SetShutdownDeadline, gets a final answer before that deadline: an answer from its
// answered parts, a rejection or a failure.
func TestShutdownDeadlineAnswersEveryQuery(t *testing.T) {
	// The virtual clock is needed because a busy machine may exceed the time bounds of the test.
	synctest.Test(t, testShutdownDeadlineAnswersEveryQuery)
}

func testShutdownDeadlineAnswersEveryQuery(t *testing.T) {
	h := newHarness(t)
	_, part, firstAnswer, _ := h.submit("q", partial, 1, 4*time.Second)
	h.send(part, "s1").Finish(callResult(decision.OK))
	awaitEvent[decision.AttemptFinished](h)
	_, part, secondAnswer, _ := h.submit("q2", nonIdempotent, 1, 4*time.Second)
	require.True(t, h.send(part, "s1").TryStart())
	shutdownDeadline := time.Now().Add(100 * time.Millisecond)
	h.broker.SetShutdownDeadline(shutdownDeadline)
	query, _, thirdAnswer, _ := h.submit("q3", idempotent, 1, 4*time.Second)
	require.NotZero(t, query)
	require.Equal(t, broker.Result{Complete: true, Values: []broker.Value{{1, []byte("v")}}}, <-firstAnswer)
	require.Equal(t, broker.Result{Outcome: broker.Failed}, <-secondAnswer)
	require.Equal(t, broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}, <-thirdAnswer)
	require.WithinRange(t, time.Now(), shutdownDeadline.Add(-50*time.Millisecond), shutdownDeadline)
	lastAnswer := make(client, 1)
	h.broker.Submit(&broker.Request{ID: "q4", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 1)}, lastAnswer)
	require.Equal(t, broker.Rejected, (<-lastAnswer).Outcome, "a query submitted too close to the shutdown deadline")
}
