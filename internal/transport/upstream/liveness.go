package upstream

import "time"

// A part that must not run twice is lost where its connection breaks, so it goes by one that is proven alive, else by a new
// one. On the platform, connections were reset at the next request once they had been idle for a tenth of a second.
const (
	minQuietTime   = 2 * time.Millisecond // servers close some connections right behind an answer
	provenAliveFor = 80 * time.Millisecond
)

// A connection on which answers are due and nothing was received for longer than answers take gets no more calls: the
// machine, or the path of this one connection, may have dropped off the network, which shows nowhere else.
const (
	// MaxSilence is the longest such time, and the one while no answer has told how long they take.
	MaxSilence = 400 * time.Millisecond

	minSilence    = 20 * time.Millisecond
	silenceFactor = 8    // times the mean latency of answers
	latencyWeight = 0.05 // of one answer in that mean
)

// isSilent tells that an answer has been due for longer than a limit, and nothing was received. The caller holds mu.
func (cn *conn) isSilent(limit time.Duration) bool {
	return !cn.awaitingSince.IsZero() && time.Since(cn.awaitingSince) > limit
}

// isReserved tells that a part that must not run twice is in flight on the connection, alone. The caller holds mu.
func (cn *conn) isReserved() bool {
	if len(cn.calls) == 1 {
		for _, j := range cn.calls {
			return j.call.NonIdempotent
		}
	}
	return false
}

// isProvenAlive tells that nothing is in flight on the connection, and that it very likely lives: something was received
// lately, but not only just now. The caller holds mu.
func (cn *conn) isProvenAlive() bool {
	age := time.Since(cn.lastReceived)
	return !cn.isBusy() && age >= minQuietTime && age <= cn.link.opt.ProvenAliveFor
}

// isBusy tells that something is in flight or queued. The caller holds mu.
func (cn *conn) isBusy() bool {
	return len(cn.calls)+len(cn.healthChecks)+len(cn.queue)+len(cn.pendingCancels) > 0
}

// recordLatency records how long an answer took. The caller holds mu.
func (l *Link) recordLatency(took time.Duration) {
	if l.meanLatency == 0 {
		l.meanLatency = took
	}
	l.meanLatency += time.Duration(latencyWeight * float64(took-l.meanLatency))
}

// silenceTimeout is for how long nothing may be received before a connection counts as silent. The caller holds mu.
func (l *Link) silenceTimeout() time.Duration {
	if l.meanLatency == 0 {
		return MaxSilence
	}
	return min(max(silenceFactor*l.meanLatency, minSilence), MaxSilence)
}
