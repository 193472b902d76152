package distribution

import (
	"fmt"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// revisionState tracks the revisions that a follower has accepted: at most one is in force, one is being applied and one is
// pending. Their numbers increase in this order.
type revisionState struct {
	inForce      uint64 // number of the revision in force; 0: the startup configuration file
	inForceSince time.Time
	rejection    *configpb.Refusal  // rejection (NACK) of a revision above inForce; nil: none
	applying     uint64             // number of the revision that the driver is applying; 0: none
	pending      *configpb.Revision // revision to apply next; nil: none

	latest         uint64 // highest revision number accepted; 0: none
	latestChecksum uint64 // checksum of the latest revision's document
}

// accept makes a revision pending, and reports whether it replaces another pending one. It panics unless the revision's number
// is above that of the latest one.
func (r *revisionState) accept(revision *configpb.Revision) (replaced bool) {
	if revision.GetNumber() <= r.latest {
		panic(fmt.Sprintf("distribution: accepted revision %d, but the latest one is %d", revision.GetNumber(), r.latest))
	}
	replaced = r.pending != nil
	r.pending = revision
	r.latest = revision.GetNumber()
	r.latestChecksum = revision.GetChecksum()
	return replaced
}

// startNext returns the pending revision and marks it as being applied. It returns nil if no revision is pending or another
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

// applied records that the revision that was being applied is in force.
func (r *revisionState) applied(now time.Time, number uint64) {
	r.finishApplying(number)
	r.inForce = number
	r.inForceSince = now
	r.rejection = nil
}

// rejected records the rejection of the revision that was being applied.
func (r *revisionState) rejected(number uint64, key, reason string) {
	r.finishApplying(number)
	r.rejection = configpb.NewRejection(number, key, reason)
}

// finishApplying clears the revision that is being applied. It panics if number is not that of this revision, or is
// not above the number of the revision in force.
func (r *revisionState) finishApplying(number uint64) {
	if number == 0 || number != r.applying {
		panic(fmt.Sprintf("distribution: revision %d finished, but %d is being applied", number, r.applying))
	}
	if number <= r.inForce {
		panic(fmt.Sprintf("distribution: revision %d finished, but %d is already in force", number, r.inForce))
	}
	r.applying = 0
}
