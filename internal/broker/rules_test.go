package broker_test

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// logBuffer collects the log lines of a broker.
type logBuffer chan string

// Write implements io.Writer.
func (l logBuffer) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

func TestRuleViolationIsLoggedWithDetails(t *testing.T) {
	lines := make(logBuffer, 10)
	h := newHarnessWith(t, broker.Options{Log: slog.New(slog.NewTextHandler(lines, nil))})
	_, part, _, request := h.submit("q", nonIdempotent, 1, time.Second)
	h.perform(decision.Send{ID: part, Server: "s0"}) // shard 1 is held by replica sets 1 and 2
	awaitEvent[decision.AttemptFinished](h)
	line := strings.ReplaceAll(<-lines, `\"`, `"`)
	require.Contains(t, line, `msg="attempt blocked by a safety rule"`)
	require.Contains(t, line, `query "q", shard 1, server "s0", deadline `+
		request.ReceivedAt.Add(time.Second).Format(time.RFC3339Nano)+`: replica set 0 does not hold shard 1`)
	require.Contains(t, line, `server=s0 query=q`)
}

func TestRulesBlockAttemptsAtServersWithoutTheShard(t *testing.T) {
	h := newHarness(t)
	_, part, _, _ := h.submit("q", nonIdempotent, 1, time.Second)
	requireBlocked := func(server string) {
		t.Helper()
		h.perform(decision.Send{ID: part, Server: server})
		require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
		require.Empty(t, h.sentCalls)
	}
	requireBlocked("unknown")
	requireBlocked("s0") // shard 1 is held by replica sets 1 and 2
	h.send(part, "s2").Finish(callResult(decision.OK))
	require.Equal(t, decision.OK, awaitEvent[decision.AttemptFinished](h).Status)
}

func TestNonIdempotentPartsThatMayHaveRunAreNotRetried(t *testing.T) {
	for status, retryAllowed := range map[decision.Status]bool{
		decision.Overloaded: true, decision.Unreachable: true, decision.NotSent: true,
		decision.Error: false, decision.Reset: false, decision.TimedOut: false,
	} {
		h := newHarness(t)
		query, part, answer, _ := h.submit("q", nonIdempotent, 1, time.Second)
		call := h.send(part, "s1")
		require.True(t, call.TryStart())
		call.Finish(callResult(status))
		awaitEvent[decision.AttemptFinished](h)
		h.perform(decision.Send{ID: part, Server: "s2"})
		if retryAllowed {
			(<-h.sentCalls).Finish(callResult(decision.Overloaded))
		}
		awaitEvent[decision.AttemptFinished](h)
		require.Empty(t, h.sentCalls)
		// A rejection tells the client that a retry is safe, so a query that may have run is not rejected.
		h.perform(decision.Reject{ID: query, RetryAfter: 0.5})
		want := broker.Result{Outcome: broker.Failed}
		if retryAllowed {
			want = broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}
		}
		require.Equal(t, want, <-answer)
	}
}

func TestRulesLimitAttemptsOfAPart(t *testing.T) {
	h := newHarness(t)
	_, part, _, _ := h.submit("q", idempotent, 1, time.Second)
	call := h.send(part, "s1")
	h.perform(decision.Send{ID: part, Server: "s2"}) // while an attempt is in flight
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	call.Finish(callResult(decision.Error))
	awaitEvent[decision.AttemptFinished](h)
	h.send(part, "s2").Finish(callResult(decision.Error))
	awaitEvent[decision.AttemptFinished](h)
	h.perform(decision.Send{ID: part, Server: "s1"}) // beyond MaxAttempts
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Empty(t, h.sentCalls)
}
