package distribution

import (
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// revisionState is a follower's progress through the revisions: at most one is in force, one is being applied and one
// is pending. Their numbers increase in this order.
type revisionState struct {
	inForce      uint64 // number; 0: the configuration file of the start
	inForceSince time.Time
	rejection    *configpb.Refusal  // NACK of a revision above inForce; nil: none
	applying     uint64             // number of the revision that the driver applies; 0: none
	pending      *configpb.Revision // applied next; nil: none

	latest         uint64 // highest number accepted; 0: none
	latestChecksum uint64 // of its document
}

// accept makes a revision above the latest one pending, and reports whether it replaces one that was.
func (r *revisionState) accept(revision *configpb.Revision) (replaced bool) {
	if revision.GetNumber() <= r.latest {
		panic("distribution: accepted a revision that is not above the latest one")
	}
	replaced = r.pending != nil
	r.pending = revision
	r.latest = revision.GetNumber()
	r.latestChecksum = revision.GetChecksum()
	return replaced
}

// startNext returns the pending revision and marks it as being applied. It returns nil if none is pending or another
// one is being applied.
func (r *revisionState) startNext() *configpb.Revision {
	if r.applying != 0 || r.pending == nil {
		return nil
	}
	revision := r.pending
	r.pending = nil
	r.applying = revision.GetNumber()
	return revision
}

// applied puts the revision that is being applied in force.
func (r *revisionState) applied(now time.Time, number uint64) {
	r.finish(number)
	r.inForce = number
	r.inForceSince = now
	r.rejection = nil
}

// rejected records the rejection of the revision that is being applied.
func (r *revisionState) rejected(number uint64, key, reason string) {
	r.finish(number)
	r.rejection = configpb.NewRejection(number, key, reason)
}

// finish ends the application of a revision.
func (r *revisionState) finish(number uint64) {
	if number == 0 || number != r.applying {
		panic("distribution: finished a revision that is not being applied")
	}
	if number <= r.inForce {
		panic("distribution: finished a revision that is not above the one in force")
	}
	r.applying = 0
}
