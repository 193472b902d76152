package decision

// Canary parts: a few parts of a query that go ahead of the others.

const (
	canaryTimeFraction = 0.25 // of the time to the objective that the other parts wait
	minCanaryParts     = 8
	maxCanaryMissing   = 0.3 // fraction of the canary parts that may be missing then
	partsPerCanary     = 20  // one in so many goes ahead, where that is more than minCanaryParts
	minFanout          = 32  // parts of a query with a large fan-out
	minBlindHalfLife   = 3.0 // of service times, in seconds, from which a broker sees too little of the fleet
)

// needsCanary tells of a query that loads much of a fleet of which this broker sees too little.
func (p *Policy) needsCanary(q *query) bool {
	return q.phase == firstPhase && len(q.parts) >= minFanout &&
		p.fleet.ServiceTime.HalfLife > minBlindHalfLife
}

// canaryStride tells which parts of a query may go: all (1), each so many-th, or none any more (0). Where the
// fan-out is large a few go ahead, since what was seen of the fleet is old: if they come back late, the rest
// would be late and make others late. In quarantine a single part goes ahead for a while.
func (p *Policy) canaryStride(q *query, answered float64) int {
	inQuarantine := answered == 0 && (q.resets > 0 || p.now < p.quarantineUntil[q.Class])
	largeFanout := p.needsCanary(q)
	if q.fannedOut || !inQuarantine && !largeFanout {
		return 1
	}
	until := q.receivedAt + canaryTimeFraction*(q.objectiveAt-q.receivedAt)
	canaries := max(len(q.parts)/partsPerCanary, minCanaryParts)
	stride := max(len(q.parts)/canaries, 1)
	missing := 0
	for i := 0; i < len(q.parts); i += stride {
		if !q.parts[i].answered && !q.parts[i].givenUp {
			missing++
		}
	}
	inTime := p.now < until
	q.fannedOut = largeFanout && inTime && float64(missing) <= maxCanaryMissing*float64(canaries)
	switch {
	case !inTime && largeFanout:
		return 0
	case !inTime || q.fannedOut:
		return 1
	case inQuarantine:
		stride = len(q.parts)
	}
	p.wakeAt(until)
	return stride
}
