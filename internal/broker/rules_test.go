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
