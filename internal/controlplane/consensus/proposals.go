package consensus

import (
	"maps"
	"slices"
	"time"
)

// proposals are the commands that this member has appended as leader and that are not applied yet.
type proposals struct {
	deadlines map[uint64]time.Time // by request, at most MaxProposals
	outcomes  []ProposalOutcome    // to be told by the next Advance
}

func newProposals() proposals {
	return proposals{deadlines: make(map[uint64]time.Time)}
}

func (p *proposals) has(request uint64) bool {
	_, found := p.deadlines[request]
	return found
}

func (p *proposals) full() bool { return len(p.deadlines) >= MaxProposals }

func (p *proposals) add(request uint64, deadline time.Time) { p.deadlines[request] = deadline }

// finish books the outcome of a request, if it was waiting.
func (p *proposals) finish(outcome ProposalOutcome) {
	if !p.has(outcome.Request) {
		return
	}
	delete(p.deadlines, outcome.Request)
	p.outcomes = append(p.outcomes, outcome)
}

func (p *proposals) expire(now time.Time) {
	for _, request := range p.requests() {
		if !now.Before(p.deadlines[request]) {
			p.finish(ProposalOutcome{Request: request, Err: ErrTimeout})
		}
	}
}

func (p *proposals) abandonAll() {
	for _, request := range p.requests() {
		p.finish(ProposalOutcome{Request: request, Err: ErrOutcomeUnknown})
	}
}

// requests are sorted, so that the same run gives the same outcomes in the same order.
func (p *proposals) requests() []uint64 { return slices.Sorted(maps.Keys(p.deadlines)) }

func (p *proposals) hasOutcomes() bool { return len(p.outcomes) > 0 }

func (p *proposals) drainOutcomes() []ProposalOutcome {
	outcomes := p.outcomes
	p.outcomes = nil
	return outcomes
}
