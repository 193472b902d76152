package controlserver

import (
	"errors"
	"fmt"

	"mothrouter/internal/controlplane/consensus"
)

// maxWaitingPublishers is the maximum number of publishers that wait for an outcome: four for each pending proposal.
const maxWaitingPublishers = 4 * consensus.MaxProposals

// Errors of publications.check.
var (
	errTooManyPublishers    = errors.New("too many publishers wait")
	errRequestReused        = errors.New("the request is pending with another document")
	errFirstRevisionPending = errors.New("the first revision is being published")
)

// publications are the pending publications by request id.
type publications map[uint64]*publication

// publication is a pending publication.
type publication struct {
	checksum   uint64                             // of the document
	publishers []chan<- consensus.ProposalOutcome // of capacity 1
}

// check returns why a publisher cannot wait for a request, or nil. A pending request must have the same document. Before
// the first revision, newest is 0 and one request is admitted at a time: there is no revision to compare documents with.
func (p publications) check(request, checksum, newest uint64) error {
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

// add adds a publisher that waits for a request. The channel has to have capacity 1.
func (p publications) add(request, checksum uint64, publisher chan<- consensus.ProposalOutcome) {
	if p[request] == nil {
		p[request] = &publication{checksum: checksum}
	}
	p[request].publishers = append(p[request].publishers, publisher)
}

// finish sends an outcome to all publishers that wait for it.
func (p publications) finish(outcome consensus.ProposalOutcome) {
	finished := p[outcome.Request]
	if finished == nil {
		return
	}
	delete(p, outcome.Request)
	for _, publisher := range finished.publishers {
		publisher <- outcome
	}
}

// waitingCount returns the number of waiting publishers.
func (p publications) waitingCount() int {
	total := 0
	for _, pending := range p {
		total += len(pending.publishers)
	}
	return total
}
