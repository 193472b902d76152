package controlserver

import (
	"errors"
	"fmt"

	"mothrouter/internal/controlplane/consensus"
)

// maxWaitingPublishers is the maximum number of publishers that wait for an outcome: four per pending proposal.
const maxWaitingPublishers = 4 * consensus.MaxProposals

// Errors of publications.checkAdmission.
var (
	errTooManyPublishers    = errors.New("too many publishers wait")
	errRequestReused        = errors.New("the request is pending with another document")
	errFirstRevisionPending = errors.New("the first revision is being published")
)

// publications are the pending publications by request id.
type publications map[uint64]*publication

// publication is a pending publication.
type publication struct {
	checksum uint64                             // of the document
	waiters  []chan<- consensus.ProposalOutcome // one per waiting publisher; capacity 1
}

// checkAdmission returns the error that prevents a publisher from waiting for a request, or nil. A retry of a pending
// request must have the same document. Before the first revision, newest is 0 and one request is admitted at a time:
// there is no revision to compare documents with.
func (p publications) checkAdmission(request, checksum, newest uint64) error {
	pending := p[request]
	switch {
	case pending != nil && pending.checksum != checksum:
		return errRequestReused
	case p.waitingCount() >= maxWaitingPublishers:
		return fmt.Errorf("%w: the limit is %d", errTooManyPublishers, maxWaitingPublishers)
	case pending == nil && newest == 0 && len(p) > 0:
		return errFirstRevisionPending
	}
	return nil
}

// add registers a publisher that waits for the outcome of a request. The channel must have capacity 1.
func (p publications) add(request, checksum uint64, waiter chan<- consensus.ProposalOutcome) {
	if p[request] == nil {
		p[request] = &publication{checksum: checksum}
	}
	p[request].waiters = append(p[request].waiters, waiter)
}

// finish sends an outcome to all publishers that wait for it, and removes the publication.
func (p publications) finish(outcome consensus.ProposalOutcome) {
	finished := p[outcome.Request]
	if finished == nil {
		return
	}
	delete(p, outcome.Request)
	for _, waiter := range finished.waiters {
		waiter <- outcome
	}
}

// waitingCount returns the number of waiting publishers.
func (p publications) waitingCount() int {
	total := 0
	for _, pending := range p {
		total += len(pending.waiters)
	}
	return total
}
