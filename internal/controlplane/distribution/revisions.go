package distribution

import (
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// revisionState are those of a follower: one in force, at most one under application, at most one that waits for it.
// Their numbers rise in this order.
type revisionState struct {
	inForce      uint64 // 0: the file of the start
	inForceSince time.Time
	rejection    *configpb.Refusal // of a revision above inForce; nil: none
	applying     uint64            // was handed out; 0: none
	pending      *configpb.Revision

	latest         uint64 // the highest that was accepted
	latestChecksum uint64 // of its document
}

// accept takes a revision above the one in hand, and tells whether it replaces one that waited.
func (r *revisionState) accept(revision *configpb.Revision) (replaced bool) {
	if revision.GetNumber() <= r.latest {
		panic("distribution: a revision goes back")
	}
	replaced = r.pending != nil
	r.pending = revision
	r.latest, r.latestChecksum = revision.GetNumber(), revision.GetChecksum()
	return replaced
}

// startNext returns the revision that is to be applied next, once; nil: none, or one is under application.
func (r *revisionState) startNext() *configpb.Revision {
	if r.applying != 0 || r.pending == nil {
		return nil
	}
	revision := r.pending
	r.pending = nil
	r.applying = revision.GetNumber()
	return revision
}

func (r *revisionState) applied(now time.Time, number uint64) {
	r.finish(number)
	r.inForce, r.inForceSince = number, now
	r.rejection = nil
}

func (r *revisionState) rejected(number uint64, key, reason string) {
	r.finish(number)
	r.rejection = configpb.NewRejection(number, key, reason)
}

// finish ends the application of a revision.
func (r *revisionState) finish(number uint64) {
	if number == 0 || number != r.applying {
		panic("distribution: this revision is not under application")
	}
	if number <= r.inForce {
		panic("distribution: the revision in force goes back")
	}
	r.applying = 0
}
