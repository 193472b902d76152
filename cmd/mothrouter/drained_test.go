package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
)

// taker is a core that keeps what it is handed.
type taker struct {
	core
	taken int
}

func (t *taker) Submit(*broker.Request, broker.Client) { t.taken++ }

type answers chan broker.Result

func (a answers) Finish(r broker.Result) { a <- r }

// A drain that refuses requests refuses those of the other front too, at once and with when to come back.
func TestADrainBindsTheOtherFront(t *testing.T) {
	inner, refuses := &taker{}, false
	d := &drainAwareCore{inner, func() bool { return refuses }, 0.5}
	a := make(answers, 1)
	d.Submit(&broker.Request{}, a)
	require.Equal(t, 1, inner.taken)
	refuses = true
	d.Submit(&broker.Request{}, a)
	require.Equal(t, 1, inner.taken)
	require.Equal(t, broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}, <-a)
}
