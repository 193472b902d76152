package decision

// Canary parts: a few parts of a query that are sent before the others.

const (
	// canaryTimeFraction is the maximum fraction of the time from receipt to the objective for which the
	// other parts wait for the canary parts. It leaves them three quarters of that time.
	canaryTimeFraction = 0.25
	// minCanaryParts is the minimum number of canary parts. With fewer, a single slow server could decide.
	minCanaryParts = 8
	// maxCanaryMissing is the maximum fraction of unanswered canary parts at which the others are sent.
	maxCanaryMissing = 0.3
	// partsPerCanary is the number of parts per canary part, where that gives more than minCanaryParts, so
	// that at most 5 % of the load is risked.
	partsPerCanary = 20
	// minFanout is the number of parts from which a query has a large fan-out: four per canary part, with the
	// minimum number of canary parts.
	minFanout = 32
	// staleHalfLife is the half-life of service times, in seconds, above which a broker sends parts to each
	// server so rarely that it does not know the fleet's current load.
	staleHalfLife = 3.0
)

// rejectStride is returned by canaryStride for a query whose canary parts were too slow.
const rejectStride = 0

// needsCanary reports whether a query loads a large part of a fleet whose current load this broker does not
// know.
func (p *Policy) needsCanary(q *query) bool {
	return q.phase == firstPhase && len(q.parts) >= minFanout &&
		p.fleet.ServiceTime.HalfLife > staleHalfLife
}

// canaryStride returns the stride between the parts that may be sent now: 1 for all parts, more for canary
// parts only, rejectStride if the query is to be rejected. A query with a large fan-out sends canary parts
// first: if they are late, the others would be late too and delay the parts of other queries. A query of a
// class in quarantine sends one part first.
func (p *Policy) canaryStride(q *query, answeredWeight float64) int {
	inQuarantine := answeredWeight == 0 && (q.resets > 0 || p.now < p.quarantineUntil[q.Class])
	largeFanout := p.needsCanary(q)
	if q.fannedOut || !inQuarantine && !largeFanout {
		return 1
	}
	until := q.receivedAt + canaryTimeFraction*(q.objectiveAt-q.receivedAt)
	inTime := p.now < until
	canaries := max(len(q.parts)/partsPerCanary, minCanaryParts)
	stride := max(len(q.parts)/canaries, 1)
	missing := q.unansweredParts(stride)
	q.fannedOut = largeFanout && inTime && float64(missing) <= maxCanaryMissing*float64(canaries)
	switch {
	case !inTime && largeFanout:
		return rejectStride
	case !inTime || q.fannedOut:
		return 1
	case inQuarantine:
		stride = len(q.parts)
	}
	p.wakeAt(until)
	return stride
}

// unansweredParts returns how many of the parts at a stride, starting with the first, are neither answered
// nor given up.
func (q *query) unansweredParts(stride int) int {
	unanswered := 0
	for i := 0; i < len(q.parts); i += stride {
		if !q.parts[i].answered && !q.parts[i].givenUp {
			unanswered++
		}
	}
	return unanswered
}
