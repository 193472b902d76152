// Package completeness compares the weights of a query's answered parts with the thresholds of an answer. It decides nothing
// and does no I/O.
package completeness

// Slack allows for the rounding of sums of weights. The platform's rules tolerate more.
const Slack = 1e-6

// Thresholds are the weights of answered parts that an answer needs. The weights of a query's parts sum to 1.
type Thresholds struct {
	Complete  float64 // for a complete answer
	Min       float64 // for any answer; if it is not below Complete, there are no partial answers
	EveryPart bool    // a complete answer needs every part, whatever its weight
}

// OfEveryPart returns thresholds whose complete answer needs every part. The minimum for a partial answer stays.
func (t Thresholds) OfEveryPart() Thresholds {
	if t.Min >= t.Complete {
		t.Min = 1
	}
	return Thresholds{Complete: 1, Min: t.Min, EveryPart: true}
}

// Tally sums the weights of a query's parts. Its zero value has none.
type Tally struct {
	Answered   float64 // weight of the answered parts
	pending    float64 // weight of the parts that may still be answered
	unanswered int     // parts, pending or lost
}

// AddAnswered adds an answered part.
func (t *Tally) AddAnswered(weight float64) { t.Answered += weight }

// AddPending adds a part that may still be answered.
func (t *Tally) AddPending(weight float64) {
	t.pending += weight
	t.unanswered++
}

// AddLost adds a part that will not be answered.
func (t *Tally) AddLost() { t.unanswered++ }

// Complete reports whether the answered parts make a complete answer.
func (t *Tally) Complete(at Thresholds) bool {
	if at.EveryPart {
		return t.unanswered == 0
	}
	return t.Answered >= at.Complete-Slack
}

// Enough reports whether the answered parts make an answer, complete or partial.
func (t *Tally) Enough(at Thresholds) bool {
	if t.Complete(at) {
		return true
	}
	return at.Min < at.Complete && t.Answered >= at.Min-Slack
}

// CannotComplete reports whether too many parts are lost for a complete answer.
func (t *Tally) CannotComplete(at Thresholds) bool {
	if at.EveryPart && t.unanswered == 0 {
		return false
	}
	return t.Answered+t.pending < at.Complete-Slack
}

// CannotAnswer reports whether too many parts are lost for any answer.
func (t *Tally) CannotAnswer(at Thresholds) bool {
	if !t.CannotComplete(at) {
		return false
	}
	return at.Min >= at.Complete || t.Answered+t.pending < at.Min-Slack
}
