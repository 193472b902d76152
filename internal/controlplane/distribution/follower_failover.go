package distribution

import "time"

const (
	// StreamTimeout is how long a stream may be without an update: three heartbeats, and 0.2 s of network latency.
	StreamTimeout = 3*Heartbeat + 200*time.Millisecond
	// ConnectTimeout is how long the first update of a stream may take: three round trips of 150 ms between regions, and
	// twice as long for a control machine that has many streams to open. A follower that finds the longest backoff and
	// three machines that do not answer reaches the fourth within PropagationDeadline: 3 s + 3 * 1.5 s.
	ConnectTimeout = 1500 * time.Millisecond
	// ConfirmationTimeout is how old the confirmation of a control machine may be before the follower fails over: longer
	// than an election takes, and short enough to reach another machine within PropagationDeadline.
	ConfirmationTimeout = 5 * time.Second

	// failoverSpread is the time over which the brokers of a fleet spread when they fail over together.
	failoverSpread = 1500 * time.Millisecond
	// maxNextMachineDelay is the longest delay before the next machine of a round, if the last one sent no update.
	maxNextMachineDelay = 100 * time.Millisecond
	// minReconsiderInterval and maxReconsiderInterval bound how long an unconfirmed machine is kept if no machine is
	// confirmed: one to two intervals, doubled each time. A follower that is partitioned from the quorum for an hour
	// tries the other machines about ten times.
	minReconsiderInterval = 30 * time.Second
	maxReconsiderInterval = 5 * time.Minute
)

// streamTimeoutAt returns when the current stream times out.
func (f *Follower) streamTimeoutAt() time.Time {
	if f.lastUpdateAt.IsZero() {
		return latest(f.openedAt.Add(ConnectTimeout), f.graceUntil)
	}
	return latest(f.lastUpdateAt.Add(StreamTimeout), f.graceUntil)
}

// failoverAt returns when the follower leaves the current machine because its confirmation is too old; zero: never.
func (f *Follower) failoverAt() time.Time {
	if f.lastUpdateAt.IsZero() || len(f.machines) < 2 {
		return time.Time{}
	}
	expiresAt := f.machines[f.current].confirmedAt.Add(ConfirmationTimeout)
	at := latest(expiresAt, f.lastUpdateAt, f.graceUntil)
	if f.keepsBest {
		return latest(at, f.reconsiderAt)
	}
	return at
}

// openStream opens a stream to the preselected machine, or to the first untried one.
func (f *Follower) openStream(now time.Time) {
	if !f.preselected {
		f.current = f.machines.firstUntried()
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

// closeStream leaves the current stream. It is for Ready to close, unless Ready has not opened it yet.
func (f *Follower) closeStream() {
	if !f.pendingOpen {
		f.pendingClose = f.stream
	}
	f.stream = 0
	f.pendingOpen = false
}

// abandonStream leaves a stream that has timed out or ended, and schedules the next one: after a backoff if the
// machine was in use, else within maxNextMachineDelay.
func (f *Follower) abandonStream(now time.Time) {
	wasInUse := f.keepsBest || !f.lastUpdateAt.IsZero()
	f.closeStream()
	f.endKeepingBest()
	f.machines[f.current].tried = true
	if wasInUse {
		f.scheduleConnect(now, f.backoff.Next(0))
	} else {
		f.scheduleConnect(now, f.nextMachineDelay())
	}
}

// failOver leaves a machine that answers but is unconfirmed, unless the round has found no better one.
func (f *Follower) failOver(now time.Time) {
	f.endKeepingBest()
	machine := &f.machines[f.current]
	machine.tried = true
	machine.reached = true
	if f.machines.firstUntried() < 0 && f.machines.lastConfirmed() == f.current {
		f.keepBest(now)
		return
	}
	f.counts.Failovers++
	f.closeStream()
	f.scheduleConnect(now, f.backoff.Next(failoverSpread))
}

// scheduleConnect schedules a stream to the next untried machine after a delay. At the end of a round it preselects
// the best machine that was reached; if none was, it starts a new round after a backoff.
func (f *Follower) scheduleConnect(now time.Time, delay time.Duration) {
	if f.machines.firstUntried() >= 0 {
		f.connectAt = now.Add(delay)
		return
	}
	if best := f.machines.lastConfirmed(); best >= 0 {
		f.keepBest(now)
		f.current = best
		f.preselected = true
	} else {
		f.machines.startRound()
		delay = f.backoff.Next(0)
	}
	f.connectAt = now.Add(delay)
}

// keepBest begins to keep an unconfirmed machine, for one to two reconsider intervals.
func (f *Follower) keepBest(now time.Time) {
	jitter := time.Duration(f.rng.Int64N(int64(f.reconsiderInterval)))
	f.keepsBest = true
	f.reconsiderAt = now.Add(f.reconsiderInterval + jitter)
	f.reconsiderInterval = min(2*f.reconsiderInterval, maxReconsiderInterval)
}

// endKeepingBest ends the keeping of an unconfirmed machine, if one is kept, and starts a new round.
func (f *Follower) endKeepingBest() {
	if f.keepsBest {
		f.keepsBest = false
		f.machines.startRound()
	}
}

// nextMachineDelay returns a random delay before the next machine of a round.
func (f *Follower) nextMachineDelay() time.Duration {
	return time.Duration(f.rng.Int64N(int64(maxNextMachineDelay)))
}
