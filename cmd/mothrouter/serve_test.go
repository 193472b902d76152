package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
)

// countingCore is a core that counts submitted requests.
type countingCore struct {
	core
	submitted int
}

func (c *countingCore) Submit(*broker.Request, broker.Client) { c.submitted++ }

type resultChannel chan broker.Result

func (c resultChannel) Finish(r broker.Result) { c <- r }

// While the HTTP front rejects requests, those of the Flight front are rejected too, at once and with Retry-After.
func TestDrainAwareCoreRejectsWhileDraining(t *testing.T) {
	inner := &countingCore{}
	rejects := false
	core := &drainAwareCore{inner, func() bool { return rejects }, 0.5}
	results := make(resultChannel, 1)
	core.Submit(&broker.Request{}, results)
	require.Equal(t, 1, inner.submitted)
	rejects = true
	core.Submit(&broker.Request{}, results)
	require.Equal(t, 1, inner.submitted)
	require.Equal(t, broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}, <-results)
}
