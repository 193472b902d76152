package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
)

// recordingCore is a core that counts submitted requests.
type recordingCore struct {
	core
	submitted int
}

func (t *recordingCore) Submit(*broker.Request, broker.Client) { t.submitted++ }

type resultChannel chan broker.Result

func (a resultChannel) Finish(r broker.Result) { a <- r }

// While the HTTP front rejects requests, those of the Flight front are rejected too, at once and with Retry-After.
func TestDrainAwareCoreRejectsWhileDraining(t *testing.T) {
	inner, refuses := &recordingCore{}, false
	d := &drainAwareCore{inner, func() bool { return refuses }, 0.5}
	a := make(resultChannel, 1)
	d.Submit(&broker.Request{}, a)
	require.Equal(t, 1, inner.submitted)
	refuses = true
	d.Submit(&broker.Request{}, a)
	require.Equal(t, 1, inner.submitted)
	require.Equal(t, broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}, <-a)
}
