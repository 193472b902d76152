package distribution

import (
	"errors"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// UpdateCounts are a follower's counters of updates, of the revisions in them and of streams.
type UpdateCounts struct {
	Updates     uint64 // valid ones on the current stream, with or without a revision
	Accepted    uint64 // revisions
	Skipped     uint64 // revisions accepted, but replaced by a newer one before they were applied
	WrongStream uint64 // updates on another stream than the current one
	Malformed   uint64 // updates that are nil, or whose fields contradict each other
	Oversized   uint64 // revisions with a document larger than MaxDocument
	Corrupt     uint64 // revisions with an empty document, or one that does not match its checksum
	Stale       uint64 // revisions below the latest one accepted
	Duplicate   uint64 // revisions equal to the latest one accepted
	Conflicts   uint64 // updates with the number of the latest revision accepted, but another checksum
	Lagging     uint64 // updates of a control machine whose newest revision is below the latest one accepted

	StreamsOpened   uint64
	StreamsEnded    uint64 // by the control machine or the network
	StreamsTimedOut uint64 // left by the follower: no update within StreamTimeout, or ConnectTimeout for the first one
	Failovers       uint64 // streams left by the follower: the control machine's confirmation was too old
}

// UpdateReceived handles an update on a stream. An update on another stream than the current one, or one that is not
// valid, is counted and dropped; it does not extend the stream's timeout.
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
		f.machines[f.current].confirmedAt = f.openedAt
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

// validateUpdate reports whether an update is valid, and counts one that is not.
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

// countInvalidRevision counts an error of CheckRevision.
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

// acceptRevision accepts a valid revision if its number is above the latest one, and counts it.
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

// conflictsWithLatest reports whether an update has the number of the latest revision, but another checksum.
func (f *Follower) conflictsWithLatest(update *configpb.Update) bool {
	r := &f.revisions
	return r.latest != 0 && update.GetNewest() == r.latest && update.GetNewestChecksum() != r.latestChecksum
}

// recordConfirmation records when a quorum last confirmed the current machine. An update that lags behind the latest
// revision or conflicts with it confirms nothing, so that a machine which keeps sending such updates is left like an
// unconfirmed one. The age in the update counts from the earliest time at which the update can have been sent, since
// the network or a pause of this process may have delayed it.
func (f *Follower) recordConfirmation(now time.Time, update *configpb.Update) {
	machine := &f.machines[f.current]
	machine.reached = true
	if update.GetNewest() < f.revisions.latest {
		f.counts.Lagging++
		return
	}
	if f.conflictsWithLatest(update) {
		return
	}
	if update.GetConfirmedMs() == NeverConfirmed {
		machine.confirmedAt = time.Time{}
		return
	}
	age := time.Duration(update.GetConfirmedMs()) * time.Millisecond
	machine.confirmedAt = earliest(now, f.earliestSentAt(update)).Add(-age)
	f.confirmedAt = latest(f.confirmedAt, machine.confirmedAt)
	if now.Sub(machine.confirmedAt) <= ConfirmationTimeout {
		f.keepsBest = false
		f.reconsiderInterval = minReconsiderInterval
		f.machines.startRound()
	}
}

// RevisionApplied handles the success of applying the revision that Ready returned. It panics on any other number.
func (f *Follower) RevisionApplied(now time.Time, number uint64) {
	f.revisions.applied(now, number)
	f.reportDue = true
}

// RevisionRejected handles the rejection of the revision that Ready returned, by the key of the document at fault. The
// revision before stays in force. It panics on any other number.
func (f *Follower) RevisionRejected(_ time.Time, number uint64, key, reason string) {
	f.revisions.rejected(number, key, reason)
	f.reportDue = true
}
