package upstream

import "time"

// A non-idempotent part fails if its connection does, so it uses a connection that is proven alive, else a new one. In
// production, connections that had been idle for 100 ms or more were reset at the next request.
const (
	minQuietTime   = 2 * time.Millisecond  // since the last answer: servers close some connections right after one
	provenAliveFor = 80 * time.Millisecond // since the last message; the default of Options.ProvenAliveFor
)

// A connection that awaits answers and has received nothing for longer than silenceTimeout gets no more calls: the server, or
// the network path of this connection, may be partitioned, which TCP does not report.
const (
	// MaxSilence is the upper bound of silenceTimeout, and its value until the latency of the first answer is measured.
	MaxSilence = 400 * time.Millisecond

	minSilence    = 20 * time.Millisecond
	silenceFactor = 8    // multiple of the mean latency of answers after which a connection counts as silent
	latencyWeight = 0.05 // weight of one answer in that mean
)

// isSilent reports whether an answer has been outstanding for longer than limit with nothing received. The caller holds mu.
func (cn *conn) isSilent(limit time.Duration) bool {
	return !cn.awaitingSince.IsZero() && time.Since(cn.awaitingSince) > limit
}

// isReserved reports whether the only call in flight is a non-idempotent one. The caller holds mu.
func (cn *conn) isReserved() bool {
	if len(cn.calls) == 1 {
		for _, j := range cn.calls {
			return j.call.NonIdempotent
		}
	}
	return false
}

// isProvenAlive reports whether the connection is idle and very likely alive: its last message is between minQuietTime and
// ProvenAliveFor old. The caller holds mu.
func (cn *conn) isProvenAlive() bool {
	age := time.Since(cn.lastReceived)
	return !cn.isBusy() && age >= minQuietTime && age <= cn.link.opt.ProvenAliveFor
}

// isBusy reports whether anything is in flight or queued. The caller holds mu.
func (cn *conn) isBusy() bool {
	return len(cn.calls)+len(cn.healthChecks)+len(cn.queue)+len(cn.pendingCancels) > 0
}

// recordLatency adds the latency of an answer to the mean. The caller holds mu.
func (l *Link) recordLatency(took time.Duration) {
	if l.meanLatency == 0 {
		l.meanLatency = took
	}
	l.meanLatency += time.Duration(latencyWeight * float64(took-l.meanLatency))
}

// silenceTimeout returns how long a connection that awaits answers may receive nothing before it counts as silent. The
// caller holds mu.
func (l *Link) silenceTimeout() time.Duration {
	if l.meanLatency == 0 {
		return MaxSilence
	}
	return min(max(silenceFactor*l.meanLatency, minSilence), MaxSilence)
}
