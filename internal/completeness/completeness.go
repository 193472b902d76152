// Package completeness compares the weights of a query's answered parts with the thresholds for an answer. It makes no
// decisions and does no I/O.
package completeness

// Epsilon is the tolerance for rounding errors in sums of weights. It is smaller than the tolerance that the platform allows.
const Epsilon = 1e-6

// Thresholds are the weights of answered parts that an answer needs. The weights of all parts sum to 1.
type Thresholds struct {
	Complete float64 // for a complete answer
	Min      float64 // for any answer; if it is not below Complete, there are no partial answers
	AllParts bool    // a complete answer needs every part, even parts of weight 0
}

// RequireAllParts returns thresholds for which a complete answer needs every part. It keeps the minimum for a partial answer.
func (t Thresholds) RequireAllParts() Thresholds {
	if t.Min >= t.Complete {
		t.Min = 1
	}
	return Thresholds{Complete: 1, Min: t.Min, AllParts: true}
}

// Tally sums the weights of a query's parts. The zero value has no parts.
type Tally struct {
	Answered   float64 // weight of the answered parts
	pending    float64 // weight of the parts that may still be answered
	unanswered int     // number of pending and lost parts
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

// Complete reports whether the answered parts suffice for a complete answer.
func (t *Tally) Complete(thresholds Thresholds) bool {
	if thresholds.AllParts {
		return t.unanswered == 0
	}
	return t.Answered >= thresholds.Complete-Epsilon
}

// Enough reports whether the answered parts suffice for a complete or partial answer.
func (t *Tally) Enough(thresholds Thresholds) bool {
	if t.Complete(thresholds) {
		return true
	}
	return thresholds.Min < thresholds.Complete && t.Answered >= thresholds.Min-Epsilon
}

// CannotComplete reports whether too many parts are lost for a complete answer.
func (t *Tally) CannotComplete(thresholds Thresholds) bool {
	if thresholds.AllParts && t.unanswered == 0 {
		return false
	}
	return t.Answered+t.pending < thresholds.Complete-Epsilon
}

// CannotAnswer reports whether too many parts are lost for any answer.
func (t *Tally) CannotAnswer(thresholds Thresholds) bool {
	if !t.CannotComplete(thresholds) {
		return false
	}
	return thresholds.Min >= thresholds.Complete || t.Answered+t.pending < thresholds.Min-Epsilon
}
