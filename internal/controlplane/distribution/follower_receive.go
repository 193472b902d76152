package distribution

import (
	"errors"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// UpdateCounts are what came to a follower, and what became of its streams.
type UpdateCounts struct {
	Updates   uint64 // well-formed ones of the present stream, with a revision or without
	Accepted  uint64 // revisions
	Skipped   uint64 // revisions that were accepted and replaced by a newer one before they were handed out
	Foreign   uint64 // updates of another stream than the present one
	Malformed uint64 // updates that are nil or contradict themselves
	Oversized uint64 // revisions with a document of more than MaxDocument
	Torn      uint64 // revisions without a document, or with one that is not what the checksum names
	Older     uint64 // revisions below the one in hand
	Doubled   uint64 // revisions that are in hand
	Conflicts uint64 // updates with the number in hand and another content
	Behind    uint64 // updates of a control machine that lacks the revision in hand

	Opened      uint64 // streams
	Ended       uint64 // streams that the other side or the network ended
	Silent      uint64 // streams that were given up as silent
	Unconfirmed uint64 // streams that were left because no quorum confirmed the control machine
}

// Receive takes an update of a stream. What cannot be used is counted and dropped, and is no sign of life.
func (f *Follower) Receive(now time.Time, stream StreamID, update *configpb.Update) {
	if stream == 0 || stream != f.stream {
		f.counts.Foreign++
		return
	}
	if !f.wellFormed(update) {
		return
	}
	if f.lastReceived.IsZero() {
		f.waits.Succeeded()
		f.machines[f.machine].confirmed = f.opened
	}
	f.lastReceived = now
	f.counts.Updates++
	f.newest = max(f.newest, update.GetNewest())
	if update.GetRevision() != nil {
		f.acceptRevision(update.GetRevision())
	}
	if f.conflicts(update) {
		f.counts.Conflicts++
	}
	f.acceptConfirmation(now, update)
}

// wellFormed tells whether an update is whole, and counts it otherwise.
func (f *Follower) wellFormed(update *configpb.Update) bool {
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
	case errors.Is(err, ErrTooLarge):
		f.counts.Oversized++
		return false
	case errors.Is(err, ErrNoNumber):
		f.counts.Malformed++
		return false
	default:
		f.counts.Torn++
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
	return update.GetReport() > 0 && update.GetReport() <= f.sequence
}

// acceptRevision accepts a whole revision if its number is above the one in hand.
func (f *Follower) acceptRevision(revision *configpb.Revision) {
	r := &f.revisions
	switch number := revision.GetNumber(); {
	case number < r.inHand:
		f.counts.Older++
	case number > r.inHand:
		f.counts.Accepted++
		if r.accept(revision) {
			f.counts.Skipped++
		}
	case revision.GetChecksum() == r.checksum:
		f.counts.Doubled++
	}
}

// conflicts tells whether an update names another content for the revision in hand.
func (f *Follower) conflicts(update *configpb.Update) bool {
	r := &f.revisions
	return r.inHand != 0 && update.GetNewest() == r.inHand && update.GetNewestChecksum() != r.checksum
}

// acceptConfirmation notes when a quorum last confirmed the present machine. Updates that lack the revision in hand, or
// have another content for it, confirm nothing: a machine that goes on with them is left like an unconfirmed one. The
// age counts from when the update was sent at the earliest: it may have been held up by the network or by a pause of this process.
func (f *Follower) acceptConfirmation(now time.Time, update *configpb.Update) {
	m := &f.machines[f.machine]
	m.reached = true
	at := earliest(now, f.sentAt(update)).Add(-time.Duration(update.GetConfirmedMs()) * time.Millisecond)
	behind := update.GetNewest() < f.revisions.inHand
	switch {
	case behind || f.conflicts(update):
		if behind {
			f.counts.Behind++
		}
		return
	case update.GetConfirmedMs() == NeverConfirmed:
		m.confirmed = time.Time{}
		return
	}
	m.confirmed = at
	f.confirmed = latest(f.confirmed, m.confirmed)
	if now.Sub(at) <= UnconfirmedLimit {
		f.quiescentSince, f.interval = false, reconsiderFirst
		f.machines.newRound()
	}
}

// Applied tells that the revision that Ready handed out is in force.
func (f *Follower) Applied(now time.Time, number uint64) {
	f.revisions.applied(now, number)
	f.report = true
}

// RevisionRejected tells that the revision that Ready handed out cannot be applied, by which key and why. The one before stays
// in force, and a newer one is tried.
func (f *Follower) RevisionRejected(_ time.Time, number uint64, key, reason string) {
	f.revisions.rejected(number, key, reason)
	f.report = true
}
