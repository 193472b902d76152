package controlserver

import (
	"errors"

	"mothrouter/internal/controlplane/consensus"
)

// maxWaitingPublishers is how many publishers wait for the outcomes of all requests: four for each that the log takes.
const maxWaitingPublishers = 4 * consensus.MaxProposals

// Errors of publications.
var (
	errTooManyPublishers    = errors.New("too many publications wait")
	errRequestReused        = errors.New("the request is waiting with another document")
	errFirstRevisionPending = errors.New("the first revision is being published")
)

// publications are the requests that wait for their outcome, by request id.
type publications map[uint64]*publication

type publication struct {
	checksum   uint64 // of the document
	publishers []chan<- consensus.ProposalOutcome
}

// check tells whether a publisher can wait for a request. A request whose outcome is awaited already must have the same
// document. Before there is a revision one request is taken at a time: there is nothing yet to compare documents with.
func (p publications) check(request, checksum, newest uint64) error {
	before := p[request]
	switch {
	case before != nil && before.checksum != checksum:
		return errRequestReused
	case p.waitingCount() >= maxWaitingPublishers:
		return errTooManyPublishers
	case before == nil && newest == 0 && len(p) > 0:
		return errFirstRevisionPending
	}
	return nil
}

// add has a publisher wait. The channel has to be of capacity 1.
func (p publications) add(request, checksum uint64, waiting chan<- consensus.ProposalOutcome) {
	if p[request] == nil {
		p[request] = &publication{checksum: checksum}
	}
	p[request].publishers = append(p[request].publishers, waiting)
}

// finish tells an outcome to all who wait for it.
func (p publications) finish(outcome consensus.ProposalOutcome) {
	done := p[outcome.Request]
	if done == nil {
		return
	}
	delete(p, outcome.Request)
	for _, waiting := range done.publishers {
		waiting <- outcome
	}
}

func (p publications) waitingCount() (count int) {
	for _, one := range p {
		count += len(one.publishers)
	}
	return count
}
