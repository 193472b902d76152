package distribution

import (
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// revisions are those of a follower: one in force, at most one under application, at most one that waits for it.
// Their numbers rise in this order.
type revisions struct {
	inForce   uint64 // 0: the file of the start
	since     time.Time
	rejection *configpb.Refusal // of a revision above inForce; nil: none
	applying  uint64            // was handed out; 0: none
	waiting   *configpb.Revision

	inHand   uint64 // the highest that was accepted
	checksum uint64 // of its document
}

// accept takes a revision above the one in hand, and tells whether it replaces one that waited.
func (r *revisions) accept(revision *configpb.Revision) (replaced bool) {
	if revision.GetNumber() <= r.inHand {
		panic("distribution: a revision goes back")
	}
	replaced = r.waiting != nil
	r.waiting = revision
	r.inHand, r.checksum = revision.GetNumber(), revision.GetChecksum()
	return replaced
}

// handOut returns the revision that is to be applied next, once; nil: none, or one is under application.
func (r *revisions) handOut() *configpb.Revision {
	if r.applying != 0 || r.waiting == nil {
		return nil
	}
	revision := r.waiting
	r.waiting = nil
	r.applying = revision.GetNumber()
	return revision
}

func (r *revisions) applied(now time.Time, number uint64) {
	r.finish(number)
	r.inForce, r.since = number, now
	r.rejection = nil
}

func (r *revisions) rejected(number uint64, key, reason string) {
	r.finish(number)
	r.rejection = configpb.NewRejection(number, key, reason)
}

// finish ends the application of a revision.
func (r *revisions) finish(number uint64) {
	if number == 0 || number != r.applying {
		panic("distribution: this revision is not under application")
	}
	if number <= r.inForce {
		panic("distribution: the revision in force goes back")
	}
	r.applying = 0
}
