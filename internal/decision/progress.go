package decision

// The progress of a query: whether to respond, reject it or send its parts.

import "mothrouter/internal/completeness"

// progress is the state of a query's current phase.
type progress struct {
	completeness.Tally          // weights of answered, pending and lost parts
	completeness.Thresholds     // weights of answered parts that an answer needs
	attemptsInFlight        int // of the parts of the current phase
}

// progressOf returns the progress of a query's current phase.
func (p *Policy) progressOf(q *query) progress {
	var tally completeness.Tally
	attemptsInFlight := 0
	for _, pt := range q.parts {
		attemptsInFlight += pt.attemptsInFlight
		switch {
		case pt.answered:
			tally.AddAnswered(pt.Weight)
		case p.isPending(pt):
			tally.AddPending(pt.Weight)
		default:
			tally.AddLost()
		}
	}
	thresholds := q.class.Thresholds(q.phase == secondPhase)
	return progress{Tally: tally, Thresholds: thresholds, attemptsInFlight: attemptsInFlight}
}

// isPending reports whether an unanswered part may still be answered.
func (p *Policy) isPending(pt *part) bool {
	if pt.givenUp {
		return false
	}
	return pt.attemptsInFlight > 0 || p.mayAttempt(pt)
}

// advance performs the next step of a query: it answers, rejects or fails the query, or sends parts.
func (p *Policy) advance(q *query) {
	awaitsParts := len(q.parts) == 0 && q.phase == secondPhase && p.now < q.expiresAt
	if q.ended || awaitsParts {
		p.wakeAt(q.expiresAt)
		return
	}
	current := p.progressOf(q)
	complete := current.Tally.Complete(current.Thresholds)
	enough := current.Enough(current.Thresholds)
	late := p.now >= q.expiresAt || p.now >= q.objectiveAt && enough
	switch {
	case complete || enough && (late || current.CannotComplete(current.Thresholds)):
		p.respond(q, complete, current.Answered)
	case late || current.CannotAnswer(current.Thresholds):
		p.rejectOrFail(q)
	case p.crashesServers(q, current):
		p.quarantine(q)
		p.rejectOrFail(q)
	case !q.admitted && (p.isPoison(q) || p.admissionRejects(q)):
		p.rejectOrFail(q)
	default:
		q.admitted = true
		p.sendParts(q, current.Answered)
		p.wakeForDeadlines(q)
	}
}

// wakeForDeadlines requests batches for the times at which a query may be answered in part or must end.
func (p *Policy) wakeForDeadlines(q *query) {
	p.wakeAt(q.expiresAt)
	if p.now < q.objectiveAt {
		p.wakeAt(q.objectiveAt)
	}
}

// respond answers a query from its answered parts, whose total weight is answeredWeight. If this ends the
// first of two phases, the query remains open for the parts of the second phase.
func (p *Policy) respond(q *query, complete bool, answeredWeight float64) {
	hasSecondPhase := q.class.SecondPhaseFanout != 0 && answeredWeight != 0
	if q.phase == secondPhase || !hasSecondPhase {
		allComplete := complete && (q.phase == firstPhase || q.firstPhaseComplete)
		p.finish(q, Respond{ID: q.ID, Complete: allComplete})
		return
	}
	p.finishParts(q)
	p.emit(Respond{ID: q.ID, Complete: complete})
	q.firstPhaseComplete = complete
	q.phase = secondPhase
	q.parts = nil
	p.wakeAt(q.expiresAt)
}
