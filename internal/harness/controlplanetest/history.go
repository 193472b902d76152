package controlplanetest

import (
	"fmt"
	"slices"
	"time"
)

// Publication is one request to publish a document, with its outcome.
type Publication struct {
	Request   uint64 // id of the request
	Checksum  uint64 // of the document
	StartedAt time.Time
	EndedAt   time.Time // of the acknowledgement or the error
	Number    uint64    // number of the acknowledged revision; 0: not acknowledged, it may be committed or not
}

// AppliedRevision is a revision that a follower has put in force.
type AppliedRevision struct {
	Follower  string
	Number    uint64
	Checksum  uint64 // of the document
	AppliedAt time.Time
}

// StoredRevision is a revision that a control machine had stored at the end of the test.
type StoredRevision struct {
	Machine  string
	Number   uint64
	Checksum uint64 // of the document
}

// Disconnection is a period in which a follower could not reach any control machine that has a quorum.
type Disconnection struct {
	Follower string
	From, To time.Time
}

// History is what publishers, followers and control machines observed during a test.
type History struct {
	Publications   []Publication
	Applied        []AppliedRevision // for each follower in the order in which it applied them
	Stored         []StoredRevision
	Machines       []string        // names of the machines, which must have stored all revisions at the end
	Followers      []string        // names of the followers
	Disconnections []Disconnection // sorted by time
}

// Check runs all checks and returns the violations that they find.
func (h *History) Check(inForceWithin time.Duration) (violations []error) {
	violations = append(violations, h.CheckConsistentContents()...)
	violations = append(violations, h.CheckUniqueNumbers()...)
	violations = append(violations, h.CheckPublicationOrder()...)
	violations = append(violations, h.CheckNoRollback()...)
	violations = append(violations, h.CheckNoRevisionLost()...)
	return append(violations, h.CheckInForce(inForceWithin)...)
}

// observation is the checksum of a revision's document, as observed by a publisher, follower or control machine.
type observation struct {
	observer string
	number   uint64
	checksum uint64
}

// observations returns the observations of all publishers with an acknowledgement, all followers and all machines.
func (h *History) observations() (list []observation) {
	for _, p := range h.Publications {
		if p.Number != 0 {
			list = append(list, observation{fmt.Sprintf("publisher of request %x", p.Request), p.Number, p.Checksum})
		}
	}
	for _, a := range h.Applied {
		list = append(list, observation{a.Follower, a.Number, a.Checksum})
	}
	for _, stored := range h.Stored {
		list = append(list, observation{stored.Machine, stored.Number, stored.Checksum})
	}
	return list
}

// CheckConsistentContents checks that each revision has the same document at all publishers, followers and machines, and that
// this document was published.
func (h *History) CheckConsistentContents() (violations []error) {
	publishedChecksums := map[uint64]bool{}
	for _, p := range h.Publications {
		publishedChecksums[p.Checksum] = true
	}
	firstByNumber := map[uint64]observation{}
	for _, o := range h.observations() {
		if !publishedChecksums[o.checksum] {
			violations = append(violations, fmt.Errorf("%s has revision %d with checksum %x, which was not published",
				o.observer, o.number, o.checksum))
		}
		first, found := firstByNumber[o.number]
		if !found {
			firstByNumber[o.number] = o
		} else if first.checksum != o.checksum {
			violations = append(violations, fmt.Errorf("revision %d has checksum %x at %s and %x at %s", o.number,
				first.checksum, first.observer, o.checksum, o.observer))
		}
	}
	return violations
}

// CheckUniqueNumbers checks that no two requests to publish were acknowledged with the same number.
func (h *History) CheckUniqueNumbers() (violations []error) {
	requests := map[uint64]uint64{} // request ids by revision number
	for _, p := range h.Publications {
		if p.Number == 0 {
			continue
		}
		if other, found := requests[p.Number]; found && other != p.Request {
			violations = append(violations, fmt.Errorf("requests %x and %x were both acknowledged as revision %d", other, p.Request,
				p.Number))
		}
		requests[p.Number] = p.Request
	}
	return violations
}

// CheckPublicationOrder checks that a revision that was acknowledged before another publication started has the lower number of
// the two.
func (h *History) CheckPublicationOrder() (violations []error) {
	for _, earlier := range h.Publications {
		for _, later := range h.Publications {
			if earlier.Number != 0 && later.Number != 0 && earlier.EndedAt.Before(later.StartedAt) &&
				earlier.Number >= later.Number {
				violations = append(violations, fmt.Errorf("revision %d was acknowledged before the publication of revision %d started",
					earlier.Number, later.Number))
			}
		}
	}
	return violations
}

// CheckNoRollback checks that each follower applies revisions with increasing numbers.
func (h *History) CheckNoRollback() (violations []error) {
	newestByFollower := map[string]uint64{}
	for _, a := range h.Applied {
		if a.Number <= newestByFollower[a.Follower] {
			violations = append(violations, fmt.Errorf("%s put revision %d in force after revision %d", a.Follower, a.Number,
				newestByFollower[a.Follower]))
		}
		newestByFollower[a.Follower] = max(newestByFollower[a.Follower], a.Number)
	}
	return violations
}

// CheckNoRevisionLost checks that at the end each machine has stored all revisions without gaps, up to the newest revision that
// any publisher, follower or machine has observed.
func (h *History) CheckNoRevisionLost() (violations []error) {
	newest := uint64(0)
	for _, o := range h.observations() {
		newest = max(newest, o.number)
	}
	storedNumbers := map[string]map[uint64]bool{} // revision numbers by machine
	for _, revision := range h.Stored {
		if storedNumbers[revision.Machine] == nil {
			storedNumbers[revision.Machine] = map[uint64]bool{}
		}
		storedNumbers[revision.Machine][revision.Number] = true
	}
	for _, machine := range h.Machines {
		for number := uint64(1); number <= newest; number++ {
			if !storedNumbers[machine][number] {
				violations = append(violations, fmt.Errorf("%s has not stored revision %d, the newest is %d", machine, number, newest))
			}
		}
	}
	return violations
}

// CheckInForce checks that each acknowledged revision, or a later one, is in force at each follower within the given time after
// its acknowledgement, or after the end of a disconnection that overlaps this time.
func (h *History) CheckInForce(within time.Duration) (violations []error) {
	for _, p := range h.Publications {
		if p.Number == 0 {
			continue
		}
		for _, follower := range h.Followers {
			deadline := h.inForceDeadline(follower, p.EndedAt, within)
			i := slices.IndexFunc(h.Applied, func(a AppliedRevision) bool {
				return a.Follower == follower && a.Number >= p.Number
			})
			switch {
			case i < 0:
				violations = append(violations, fmt.Errorf("%s never put revision %d or a later one in force", follower, p.Number))
			case h.Applied[i].AppliedAt.After(deadline):
				violations = append(violations, fmt.Errorf("%s put revision %d in force %v after the deadline", follower, p.Number,
					h.Applied[i].AppliedAt.Sub(deadline)))
			}
		}
	}
	return violations
}

// inForceDeadline returns the time by which a revision must be in force at a follower.
func (h *History) inForceDeadline(follower string, acknowledgedAt time.Time, within time.Duration) time.Time {
	deadline := acknowledgedAt.Add(within)
	for _, d := range h.Disconnections { // sorted by time, because each one can extend the deadline into the next
		overlaps := d.From.Before(deadline) && d.To.After(acknowledgedAt)
		if d.Follower == follower && overlaps && d.To.Add(within).After(deadline) {
			deadline = d.To.Add(within)
		}
	}
	return deadline
}
