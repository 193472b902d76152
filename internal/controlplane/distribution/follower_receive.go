package distribution

import (
	"errors"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// UpdateCounts holds a follower's counters of updates, of the revisions in them and of streams.
type UpdateCounts struct {
	Updates     uint64 // valid updates on the current stream, with or without a revision
	Accepted    uint64 // revisions accepted
	Skipped     uint64 // revisions accepted, but replaced by a newer one before they were applied
	WrongStream uint64 // updates on a stream other than the current one
	Malformed   uint64 // updates that are nil or have inconsistent fields
	Oversized   uint64 // revisions with a document larger than MaxDocument
	Corrupt     uint64 // revisions whose document is empty or does not match its checksum
	Stale       uint64 // revisions with a lower number than the latest accepted one
	Duplicate   uint64 // revisions equal to the latest accepted one
	Conflicts   uint64 // updates with the number of the latest accepted revision, but a different checksum
	Lagging     uint64 // updates from a control machine whose newest revision is below the latest accepted one

	StreamsOpened   uint64
	StreamsEnded    uint64 // streams ended by the control machine or the network
	StreamsTimedOut uint64 // streams without an update for StreamTimeout, or without a first update for ConnectTimeout
	Failovers       uint64 // streams left because the control machine's confirmation was too old
}

// UpdateReceived handles an update on a stream. An invalid update, or one on a stream other than the current one, is counted
// and dropped; it does not extend the stream's timeout.
func (f *Follower) UpdateReceived(now time.Time, stream StreamID, update *configpb.Update) {
	if stream == 0 || stream != f.stream {
		f.counts.WrongStream++
		return
	}
	if !f.validateUpdate(update) {
		return
	}
	if f.lastUpdateAt.IsZero() {
		f.backoff.Succeeded()
		f.candidates[f.current].confirmedAt = f.openedAt
	}
	f.lastUpdateAt = now
	f.counts.Updates++
	f.newest = max(f.newest, update.GetNewest())
	if update.GetRevision() != nil {
		f.acceptRevision(update.GetRevision())
	}
	if f.conflictsWithLatest(update) {
		f.counts.Conflicts++
	}
	f.recordConfirmation(now, update)
}

// validateUpdate reports whether an update is valid, and counts it if it is not.
func (f *Follower) validateUpdate(update *configpb.Update) bool {
	if update == nil || !f.acknowledgesReport(update) {
		f.counts.Malformed++
		return false
	}
	if update.GetNewest() == 0 && update.GetNewestChecksum() != 0 {
		f.counts.Malformed++
		return false
	}
	revision := update.GetRevision()
	if revision == nil {
		return true
	}
	if err := CheckRevision(revision); err != nil {
		f.countInvalidRevision(err)
		return false
	}
	if revision.GetNumber() != update.GetNewest() || revision.GetChecksum() != update.GetNewestChecksum() {
		f.counts.Malformed++
		return false
	}
	return true
}

// countInvalidRevision counts a revision for which CheckRevision returned an error.
func (f *Follower) countInvalidRevision(err error) {
	switch {
	case errors.Is(err, ErrDocumentTooLarge):
		f.counts.Oversized++
	case errors.Is(err, ErrNoRevisionNumber):
		f.counts.Malformed++
	default:
		f.counts.Corrupt++
	}
}

// acknowledgesReport reports whether an update acknowledges a status report of the current stream.
func (f *Follower) acknowledgesReport(update *configpb.Update) bool {
	return update.GetReport() > 0 && update.GetReport() <= f.lastSequence
}

// acceptRevision accepts a valid revision if its number is above that of the latest one, and counts it.
func (f *Follower) acceptRevision(revision *configpb.Revision) {
	r := &f.revisions
	switch number := revision.GetNumber(); {
	case number < r.latest:
		f.counts.Stale++
	case number > r.latest:
		f.counts.Accepted++
		if r.accept(revision) {
			f.counts.Skipped++
		}
	case revision.GetChecksum() == r.latestChecksum:
		f.counts.Duplicate++
	}
}

// conflictsWithLatest reports whether an update has the number of the latest revision but a different checksum.
func (f *Follower) conflictsWithLatest(update *configpb.Update) bool {
	r := &f.revisions
	return r.latest != 0 && update.GetNewest() == r.latest && update.GetNewestChecksum() != r.latestChecksum
}

// recordConfirmation records when a quorum last confirmed the newest revision of the current control machine. An update that
// lags behind the latest revision or conflicts with it does not count as a confirmation, so that the follower leaves a control
// machine that keeps sending such updates like an unconfirmed one. The confirmation's age is subtracted from the earliest time
// at which the update can have been sent, because the network or a pause of this process may have delayed the update.
func (f *Follower) recordConfirmation(now time.Time, update *configpb.Update) {
	current := &f.candidates[f.current]
	current.reached = true
	if update.GetNewest() < f.revisions.latest {
		f.counts.Lagging++
		return
	}
	if f.conflictsWithLatest(update) {
		return
	}
	if update.GetConfirmedMs() == NeverConfirmed {
		current.confirmedAt = time.Time{}
		return
	}
	age := time.Duration(update.GetConfirmedMs()) * time.Millisecond
	current.confirmedAt = earliest(now, f.earliestSentAt(update)).Add(-age)
	f.confirmedAt = latest(f.confirmedAt, current.confirmedAt)
	if now.Sub(current.confirmedAt) <= ConfirmationTimeout {
		f.inFallback = false
		f.fallbackInterval = minFallbackInterval
		f.candidates.startRound()
	}
}

// RevisionApplied records that the revision returned by Ready has been applied. It panics if number is that of another
// revision.
func (f *Follower) RevisionApplied(now time.Time, number uint64) {
	f.revisions.applied(now, number)
	f.reportDue = true
}

// RevisionRejected records that the revision returned by Ready has been rejected because of the value of key in its document.
// The previous revision stays in force. It panics if number is that of another revision.
func (f *Follower) RevisionRejected(_ time.Time, number uint64, key, reason string) {
	f.revisions.rejected(number, key, reason)
	f.reportDue = true
}
