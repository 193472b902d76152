package distribution

import "time"

const (
	// StreamTimeout is how long a stream may go without an update: three heartbeat intervals and 0.2 s of network latency.
	StreamTimeout = 3*HeartbeatInterval + 200*time.Millisecond
	// ConnectTimeout is how long the first update of a stream may take: three round trips of 150 ms between regions, and
	// twice that time for a control machine that has many streams to open. With the longest backoff and three control
	// machines that do not answer, a follower still reaches the fourth within PropagationDeadline: 3 s + 3 * 1.5 s.
	ConnectTimeout = 1500 * time.Millisecond
	// ConfirmationTimeout is how old a control machine's last confirmation by a quorum may be before the follower fails over.
	// It is longer than an election, and short enough to reach another control machine within PropagationDeadline.
	ConfirmationTimeout = 5 * time.Second

	// maxFailoverDelay is the maximum delay of a failover. It spreads the brokers of a fleet that fail over together.
	maxFailoverDelay = 1500 * time.Millisecond
	// maxNextCandidateDelay is the maximum delay before the next candidate of a round if the previous one sent no update.
	maxNextCandidateDelay = 100 * time.Millisecond
	// minFallbackInterval and maxFallbackInterval bound the fallback interval. If no candidate has a recent confirmation, the
	// follower stays with the best one for one to two intervals before it tries the others again; the interval doubles each
	// time. A follower that is partitioned from the quorum for an hour tries the other candidates about ten times.
	minFallbackInterval = 30 * time.Second
	maxFallbackInterval = 5 * time.Minute
)

// streamTimeoutAt returns when the current stream times out.
func (f *Follower) streamTimeoutAt() time.Time {
	if f.lastUpdateAt.IsZero() {
		return latest(f.openedAt.Add(ConnectTimeout), f.graceUntil)
	}
	return latest(f.lastUpdateAt.Add(StreamTimeout), f.graceUntil)
}

// failoverAt returns when the follower leaves the current control machine because its confirmation is too old. It returns the
// zero time if there is no other candidate, or no update on the current stream yet.
func (f *Follower) failoverAt() time.Time {
	if f.lastUpdateAt.IsZero() || len(f.candidates) < 2 {
		return time.Time{}
	}
	expiresAt := f.candidates[f.current].confirmedAt.Add(ConfirmationTimeout)
	at := latest(expiresAt, f.lastUpdateAt, f.graceUntil)
	if f.inFallback {
		return latest(at, f.fallbackUntil)
	}
	return at
}

// openStream opens a stream to the preselected candidate, or otherwise to the first untried one.
func (f *Follower) openStream(now time.Time) {
	if !f.preselected {
		f.current = f.candidates.firstUntried()
	}
	f.preselected = false
	f.lastStream++
	f.stream = f.lastStream
	f.pendingOpen = true
	f.openedAt = now
	f.lastUpdateAt = time.Time{}
	f.graceUntil = time.Time{}
	f.lastReportAt = now
	f.lastSequence = 0
	f.reportDue = true
	f.counts.StreamsOpened++
}

// closeStream leaves the current stream. The next call of Ready returns it as the stream to close, unless no call of Ready has
// returned it as the stream to open.
func (f *Follower) closeStream() {
	if !f.pendingOpen {
		f.pendingClose = f.stream
	}
	f.stream = 0
	f.pendingOpen = false
}

// abandonStream leaves a stream that has timed out or ended and schedules the next one: after a backoff if the stream had
// received an update or was a fallback, otherwise within maxNextCandidateDelay.
func (f *Follower) abandonStream(now time.Time) {
	wasInUse := f.inFallback || !f.lastUpdateAt.IsZero()
	f.closeStream()
	f.leaveFallback()
	f.candidates[f.current].tried = true
	if wasInUse {
		f.scheduleConnect(now, f.backoff.Next(0))
	} else {
		f.scheduleConnect(now, f.nextCandidateDelay())
	}
}

// failOver leaves a control machine that sends updates but whose confirmation is too old, unless all candidates have been
// tried in this round and none was better.
func (f *Follower) failOver(now time.Time) {
	f.leaveFallback()
	current := &f.candidates[f.current]
	current.tried = true
	current.reached = true
	if f.candidates.firstUntried() < 0 && f.candidates.mostRecentlyConfirmed() == f.current {
		f.enterFallback(now)
		return
	}
	f.counts.Failovers++
	f.closeStream()
	f.scheduleConnect(now, f.backoff.Next(maxFailoverDelay))
}

// scheduleConnect schedules a stream to the next untried candidate after a delay. At the end of a round it enters fallback
// with the best candidate reached; if none was reached, it starts a new round after a backoff.
func (f *Follower) scheduleConnect(now time.Time, delay time.Duration) {
	if f.candidates.firstUntried() >= 0 {
		f.connectAt = now.Add(delay)
		return
	}
	if best := f.candidates.mostRecentlyConfirmed(); best >= 0 {
		f.enterFallback(now)
		f.current = best
		f.preselected = true
	} else {
		f.candidates.startRound()
		delay = f.backoff.Next(0)
	}
	f.connectAt = now.Add(delay)
}

// enterFallback starts to use an unconfirmed candidate, for one to two fallback intervals.
func (f *Follower) enterFallback(now time.Time) {
	jitter := time.Duration(f.rng.Int64N(int64(f.fallbackInterval)))
	f.inFallback = true
	f.fallbackUntil = now.Add(f.fallbackInterval + jitter)
	f.fallbackInterval = min(2*f.fallbackInterval, maxFallbackInterval)
}

// leaveFallback ends the fallback, if the follower is in one, and starts a new round.
func (f *Follower) leaveFallback() {
	if f.inFallback {
		f.inFallback = false
		f.candidates.startRound()
	}
}

// nextCandidateDelay returns a random delay before the next candidate of a round.
func (f *Follower) nextCandidateDelay() time.Duration {
	return time.Duration(f.rng.Int64N(int64(maxNextCandidateDelay)))
}
