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

// logBuffer collects what a broker logs.
type logBuffer chan string

func (l logBuffer) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

func TestRuleViolationNamesPartServerAndDeadline(t *testing.T) {
	lines := make(logBuffer, 10)
	r := newHarnessWith(t, broker.Options{Log: slog.New(slog.NewTextHandler(lines, nil))})
	_, part, _, request := r.take("q", nonIdempotent, 1, time.Second)
	r.do(decision.Send{ID: part, Server: "s0"}) // shard 1 is held by replica sets 1 and 2
	event[decision.AttemptFinished](r)
	line := strings.ReplaceAll(<-lines, `\"`, `"`)
	require.Contains(t, line, `msg="attempt stopped by a rule"`)
	require.Contains(t, line, `query "q", shard 1, server "s0", deadline `+
		request.ReceivedAt.Add(time.Second).Format(time.RFC3339Nano)+`: replica set 0 does not hold shard 1`)
	require.Contains(t, line, `server=s0 query=q`)
}

func TestRulesStopForbiddenSends(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", nonIdempotent, 1, time.Second)
	stopped := func(server string) {
		t.Helper()
		r.do(decision.Send{ID: part, Server: server})
		require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
		require.Empty(t, r.sent)
	}
	stopped("unheard-of")
	stopped("s0") // shard 1 is held by cells 1 and 2
	r.send(part, "s2").Finish(done(decision.OK))
	require.Equal(t, decision.OK, event[decision.AttemptFinished](r).Status)
}

func TestNonIdempotentPartsThatMayHaveRunAreNotRetried(t *testing.T) {
	for status, again := range map[decision.Status]bool{
		decision.Overloaded: true, decision.Unreachable: true, decision.NotSent: true,
		decision.Error: false, decision.Reset: false, decision.TimedOut: false,
	} {
		r := newHarness(t)
		q, part, c, _ := r.take("q", nonIdempotent, 1, time.Second)
		call := r.send(part, "s1")
		require.True(t, call.TryStart())
		call.Finish(done(status))
		event[decision.AttemptFinished](r)
		r.do(decision.Send{ID: part, Server: "s2"})
		if again {
			(<-r.sent).Finish(done(decision.Overloaded))
		}
		event[decision.AttemptFinished](r)
		require.Empty(t, r.sent)
		// Nor is such a query refused: that would tell the client that a repeat is harmless.
		r.do(decision.Reject{ID: q, RetryAfter: 0.5})
		want := broker.Result{Outcome: broker.Failed}
		if again {
			want = broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}
		}
		require.Equal(t, want, <-c)
	}
}

func TestOneAttemptAtATimeAndNoMoreThanAllowed(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", idempotent, 1, time.Second)
	call := r.send(part, "s1")
	r.do(decision.Send{ID: part, Server: "s2"}) // while one is out
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	call.Finish(done(decision.Error))
	event[decision.AttemptFinished](r)
	r.send(part, "s2").Finish(done(decision.Error))
	event[decision.AttemptFinished](r)
	r.do(decision.Send{ID: part, Server: "s1"}) // the fourth of three
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.Empty(t, r.sent)
}
