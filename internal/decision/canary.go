package decision

// Canary parts: a few parts of a query that are sent ahead of the others.

const (
	// canaryTimeFraction is the fraction of the time from receipt to the objective that the other parts wait:
	// three quarters are left for them.
	canaryTimeFraction = 0.25
	// minCanaryParts is the least number of canary parts: of fewer, one slow server would decide.
	minCanaryParts = 8
	// maxCanaryMissing is the fraction of the canary parts that may be unanswered when the others are sent.
	maxCanaryMissing = 0.3
	// partsPerCanary is the number of parts to one canary part where that gives more than minCanaryParts: 5 %
	// of the load are risked at most.
	partsPerCanary = 20
	// minFanout is the number of parts from which a query has a large fan-out: at least four parts to one of
	// minCanaryParts canaries.
	minFanout = 32
	// minBlindHalfLife is a half-life of service times in seconds. Where it is longer, a broker meets each
	// server so rarely that it does not see the fleet's present load.
	minBlindHalfLife = 3.0
)

// sendNoPart is the stride of a query whose canary parts were too slow.
const sendNoPart = 0

// needsCanary reports whether a query loads a large part of a fleet whose present load this broker does not
// see.
func (p *Policy) needsCanary(q *query) bool {
	return q.phase == firstPhase && len(q.parts) >= minFanout &&
		p.fleet.ServiceTime.HalfLife > minBlindHalfLife
}

// canaryStride returns the distance of the parts that may be sent now: 1 for all of them, more for canary
// parts, sendNoPart if the query shall be rejected. A query with a large fan-out sends canary parts first: if
// they are late, the others would be late too and delay those of other queries. In quarantine one part goes
// first.
func (p *Policy) canaryStride(q *query, answered float64) int {
	inQuarantine := answered == 0 && (q.resets > 0 || p.now < p.quarantineUntil[q.Class])
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
		return sendNoPart
	case !inTime || q.fannedOut:
		return 1
	case inQuarantine:
		stride = len(q.parts)
	}
	p.wakeAt(until)
	return stride
}

// unansweredParts returns how many of the parts at a stride are neither answered nor given up.
func (q *query) unansweredParts(stride int) int {
	unanswered := 0
	for i := 0; i < len(q.parts); i += stride {
		if !q.parts[i].answered && !q.parts[i].givenUp {
			unanswered++
		}
	}
	return unanswered
}
