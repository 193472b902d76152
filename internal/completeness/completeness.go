// Package completeness tells how complete the answer to a query is, from the weights of its parts. It decides nothing and
// does no I/O.
package completeness

// Slack is the rounding of sums of weights; the rules allow more.
const Slack = 1e-6

// Thresholds are the weights that an answer needs. A query's weights sum to 1.
type Thresholds struct {
	Complete  float64 // that of a complete answer
	Min       float64 // that of any answer; at or above Complete, nothing less is answered
	EveryPart bool    // a complete answer needs every part, whatever its weight
}

// OfEveryPart are thresholds of which a complete answer needs every part. The least that is answered stays.
func (t Thresholds) OfEveryPart() Thresholds {
	if t.Min >= t.Complete {
		t.Min = 1
	}
	return Thresholds{Complete: 1, Min: t.Min, EveryPart: true}
}

// Tally sums the weights of a query's parts. Its zero value has none.
type Tally struct {
	Answered   float64 // weight of the parts that are in
	pending    float64 // of those that may still come in
	unanswered int     // parts that are not in
}

// AddAnswered counts a part that is in.
func (t *Tally) AddAnswered(weight float64) { t.Answered += weight }

// AddPending counts a part that may still come in.
func (t *Tally) AddPending(weight float64) {
	t.pending += weight
	t.unanswered++
}

// AddLost counts a part that cannot come in any more.
func (t *Tally) AddLost() { t.unanswered++ }

// Complete tells whether the parts that are in make a complete answer.
func (t *Tally) Complete(at Thresholds) bool {
	if at.EveryPart {
		return t.unanswered == 0
	}
	return t.Answered >= at.Complete-Slack
}

// Enough tells whether the parts that are in make an answer, complete or not.
func (t *Tally) Enough(at Thresholds) bool {
	return t.Complete(at) || at.Min < at.Complete && t.Answered >= at.Min-Slack
}

// CannotComplete tells that too many parts are lost for a complete answer.
func (t *Tally) CannotComplete(at Thresholds) bool {
	if at.EveryPart && t.unanswered == 0 {
		return false
	}
	return t.Answered+t.pending < at.Complete-Slack
}

// CannotAnswer tells that too many parts are lost for any answer.
func (t *Tally) CannotAnswer(at Thresholds) bool {
	return t.CannotComplete(at) && (at.Min >= at.Complete || t.Answered+t.pending < at.Min-Slack)
}
