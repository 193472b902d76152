package distribution

import (
	"errors"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// UpdateCounts are what came to a follower, and what became of its streams.
type UpdateCounts struct {
	Updates     uint64 // well-formed ones of the present stream, with a revision or without
	Accepted    uint64 // revisions
	Skipped     uint64 // revisions that were accepted and replaced by a newer one before they were handed out
	WrongStream uint64 // updates of another stream than the present one
	Malformed   uint64 // updates that are nil or contradict themselves
	Oversized   uint64 // revisions with a document of more than MaxDocument
	Corrupt     uint64 // revisions without a document, or with one that is not what the checksum names
	Stale       uint64 // revisions below the one in hand
	Duplicate   uint64 // revisions that are in hand
	Conflicts   uint64 // updates with the number in hand and another content
	Lagging     uint64 // updates of a control machine that lacks the revision in hand

	StreamsOpened   uint64 // streams
	StreamsEnded    uint64 // streams that the other side or the network ended
	StreamsTimedOut uint64 // streams that were given up as silent
	Failovers       uint64 // streams that were left because no quorum confirmed the control machine
}

// UpdateReceived takes an update of a stream. What cannot be used is counted and dropped, and is no sign of life.
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

// validateUpdate tells whether an update is whole, and counts it otherwise.
func (f *Follower) validateUpdate(update *configpb.Update) bool {
	if update == nil || update.GetNewest() == 0 && update.GetNewestChecksum() != 0 || !f.acknowledgesReport(update) {
		f.counts.Malformed++
		return false
	}
	revision := update.GetRevision()
	if revision == nil {
		return true
	}
	switch err := CheckRevision(revision); {
	case err == nil:
	case errors.Is(err, ErrDocumentTooLarge):
		f.counts.Oversized++
		return false
	case errors.Is(err, ErrNoRevisionNumber):
		f.counts.Malformed++
		return false
	default:
		f.counts.Corrupt++
		return false
	}
	if revision.GetNumber() != update.GetNewest() || revision.GetChecksum() != update.GetNewestChecksum() {
		f.counts.Malformed++
		return false
	}
	return true
}

// acknowledgesReport tells whether an update names a report of the present stream.
func (f *Follower) acknowledgesReport(update *configpb.Update) bool {
	return update.GetReport() > 0 && update.GetReport() <= f.lastSequence
}

// acceptRevision accepts a whole revision if its number is above the one in hand.
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

// conflictsWithLatest tells whether an update names another content for the revision in hand.
func (f *Follower) conflictsWithLatest(update *configpb.Update) bool {
	r := &f.revisions
	return r.latest != 0 && update.GetNewest() == r.latest && update.GetNewestChecksum() != r.latestChecksum
}

// recordConfirmation notes when a quorum last confirmed the present machine. Updates that lack the revision in hand, or
// have another content for it, confirm nothing: a machine that goes on with them is left like an unconfirmed one. The
// age counts from when the update was sent at the earliest: it may have been held up by the network or by a pause of this process.
func (f *Follower) recordConfirmation(now time.Time, update *configpb.Update) {
	m := &f.machines[f.current]
	m.reached = true
	at := earliest(now, f.earliestSentAt(update)).Add(-time.Duration(update.GetConfirmedMs()) * time.Millisecond)
	lagging := update.GetNewest() < f.revisions.latest
	switch {
	case lagging || f.conflictsWithLatest(update):
		if lagging {
			f.counts.Lagging++
		}
		return
	case update.GetConfirmedMs() == NeverConfirmed:
		m.confirmedAt = time.Time{}
		return
	}
	m.confirmedAt = at
	f.confirmedAt = latest(f.confirmedAt, m.confirmedAt)
	if now.Sub(at) <= ConfirmationTimeout {
		f.keepsBest, f.reconsiderInterval = false, minReconsiderInterval
		f.machines.startRound()
	}
}

// RevisionApplied tells that the revision that Ready handed out is in force.
func (f *Follower) RevisionApplied(now time.Time, number uint64) {
	f.revisions.applied(now, number)
	f.reportDue = true
}

// RevisionRejected tells that the revision that Ready handed out cannot be applied, by which key and why. The one before stays
// in force, and a newer one is tried.
func (f *Follower) RevisionRejected(_ time.Time, number uint64, key, reason string) {
	f.revisions.rejected(number, key, reason)
	f.reportDue = true
}
