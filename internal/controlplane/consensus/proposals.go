package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// proposals holds the pending proposals of this member: those it has appended as leader that are not applied yet.
type proposals struct {
	deadlines map[uint64]time.Time // by request id, at most MaxProposals
	outcomes  []ProposalOutcome    // not yet returned by Advance
}

func newProposals() proposals {
	return proposals{deadlines: make(map[uint64]time.Time)}
}

// has reports whether a proposal with the request id is pending.
func (p *proposals) has(request uint64) bool {
	_, found := p.deadlines[request]
	return found
}

// isFull reports whether MaxProposals proposals are pending.
func (p *proposals) isFull() bool { return len(p.deadlines) >= MaxProposals }

func (p *proposals) add(request uint64, deadline time.Time) { p.deadlines[request] = deadline }

// finish records the outcome of a request. It does nothing if the request is not pending.
func (p *proposals) finish(outcome ProposalOutcome) {
	if !p.has(outcome.Request) {
		return
	}
	delete(p.deadlines, outcome.Request)
	p.outcomes = append(p.outcomes, outcome)
}

// expire ends the proposals whose deadline has passed, with ErrTimeout.
func (p *proposals) expire(now time.Time) {
	for _, request := range p.requests() {
		if now.Before(p.deadlines[request]) {
			continue
		}
		err := fmt.Errorf("%w: request %x not applied within %v", ErrTimeout, request, ProposalTimeout)
		p.finish(ProposalOutcome{Request: request, Err: err})
	}
}

// abandonAll ends all pending proposals with ErrOutcomeUnknown, after this member gained or lost the leadership.
func (p *proposals) abandonAll() {
	for _, request := range p.requests() {
		p.finish(ProposalOutcome{Request: request, Err: ErrOutcomeUnknown})
	}
}

// requests returns the pending request ids in ascending order, which makes the order of outcomes deterministic.
func (p *proposals) requests() []uint64 { return slices.Sorted(maps.Keys(p.deadlines)) }

func (p *proposals) hasOutcomes() bool { return len(p.outcomes) > 0 }

// drainOutcomes returns the outcomes recorded since the previous call.
func (p *proposals) drainOutcomes() []ProposalOutcome {
	outcomes := p.outcomes
	p.outcomes = nil
	return outcomes
}
