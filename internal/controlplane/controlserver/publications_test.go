package controlserver

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/consensus"
)

func TestPublicationsAdmitOneFirstRevision(t *testing.T) {
	p := publications{}
	require.NoError(t, p.checkAdmission(1, 101, 0))
	p.add(1, 101, make(chan consensus.ProposalOutcome, 1))
	require.ErrorIs(t, p.checkAdmission(2, 102, 0), errFirstRevisionPending)
	require.NoError(t, p.checkAdmission(1, 101, 0), "a retry waits for the same outcome")
	require.NoError(t, p.checkAdmission(2, 102, 1), "after the first revision")
}

func TestPublicationsRejectReusedRequest(t *testing.T) {
	p := publications{}
	p.add(1, 101, make(chan consensus.ProposalOutcome, 1))
	require.ErrorIs(t, p.checkAdmission(1, 102, 1), errRequestReused)
}

func TestPublicationsLimitWaitingPublishers(t *testing.T) {
	p := publications{}
	for range maxWaitingPublishers {
		require.NoError(t, p.checkAdmission(1, 101, 1))
		p.add(1, 101, make(chan consensus.ProposalOutcome, 1))
	}
	require.ErrorIs(t, p.checkAdmission(1, 101, 1), errTooManyPublishers)
	require.ErrorIs(t, p.checkAdmission(2, 102, 1), errTooManyPublishers)
	p.finish(consensus.ProposalOutcome{Request: 1})
	require.NoError(t, p.checkAdmission(2, 102, 1))
}

func TestPublicationsNotifyAllPublishersOfARequest(t *testing.T) {
	p := publications{}
	first, second := make(chan consensus.ProposalOutcome, 1), make(chan consensus.ProposalOutcome, 1)
	p.add(1, 101, first)
	p.add(1, 101, second)
	p.finish(consensus.ProposalOutcome{Request: 2})
	require.Empty(t, first)
	p.finish(consensus.ProposalOutcome{Request: 1, Err: consensus.ErrOutcomeUnknown})
	require.ErrorIs(t, (<-first).Err, consensus.ErrOutcomeUnknown)
	require.ErrorIs(t, (<-second).Err, consensus.ErrOutcomeUnknown)
	require.Empty(t, p)
}
