package controlplanetest

import (
	"fmt"
	"slices"
	"time"
)

// Publication is one request to publish a document.
type Publication struct {
	Request   uint64
	Checksum  uint64 // of its document
	StartedAt time.Time
	EndedAt   time.Time
	Number    uint64 // of its acknowledgement; 0: there was none, it may be committed or not
}

// Applied is a revision that a follower has put in force.
type Applied struct {
	Follower string
	Number   uint64
	Checksum uint64
	At       time.Time
}

// Stored is a revision that a control machine had stored at the end of the test.
type Stored struct {
	Machine  string
	Number   uint64
	Checksum uint64
}

// Disconnection is a time in which a follower could reach no control machine that has a quorum.
type Disconnection struct {
	Follower string
	From, To time.Time
}

// History is what publishers, followers and machines saw during a test.
type History struct {
	Publications   []Publication
	Applied        []Applied // in the order of time for each follower
	Stored         []Stored
	Machines       []string // that have to hold all revisions at the end
	Followers      []string
	Disconnections []Disconnection
}

// Check returns the violations that all checkers find.
func (h *History) Check(inForceWithin time.Duration) (faults []error) {
	faults = append(faults, h.CheckUniqueContents()...)
	faults = append(faults, h.CheckUniqueNumbers()...)
	faults = append(faults, h.CheckPublicationOrder()...)
	faults = append(faults, h.CheckNoRollback()...)
	faults = append(faults, h.CheckNoRevisionLost()...)
	return append(faults, h.CheckInForce(inForceWithin)...)
}

// claim is the statement of a publisher, follower or machine that a revision's number has a content.
type claim struct {
	holder           string
	number, checksum uint64
}

func (h *History) claims() (list []claim) {
	for _, p := range h.Publications {
		if p.Number != 0 {
			list = append(list, claim{fmt.Sprintf("publisher of request %x", p.Request), p.Number, p.Checksum})
		}
	}
	for _, a := range h.Applied {
		list = append(list, claim{a.Follower, a.Number, a.Checksum})
	}
	for _, x := range h.Stored {
		list = append(list, claim{x.Machine, x.Number, x.Checksum})
	}
	return list
}

// CheckUniqueContents checks that each number has the same content at all publishers, followers and machines, and that
// this content was published.
func (h *History) CheckUniqueContents() (faults []error) {
	published := map[uint64]bool{}
	for _, p := range h.Publications {
		published[p.Checksum] = true
	}
	first := map[uint64]claim{}
	for _, c := range h.claims() {
		if !published[c.checksum] {
			faults = append(faults, fmt.Errorf("%s has revision %d with content %x that was not published", c.holder, c.number,
				c.checksum))
		}
		before, found := first[c.number]
		if !found {
			first[c.number] = c
		} else if before.checksum != c.checksum {
			faults = append(faults, fmt.Errorf("revision %d has content %x at %s and %x at %s", c.number, before.checksum,
				before.holder, c.checksum, c.holder))
		}
	}
	return faults
}

// CheckUniqueNumbers checks that no two requests to publish were acknowledged with the same number.
func (h *History) CheckUniqueNumbers() (faults []error) {
	requests := map[uint64]uint64{} // by number
	for _, p := range h.Publications {
		if p.Number == 0 {
			continue
		}
		if before, found := requests[p.Number]; found && before != p.Request {
			faults = append(faults, fmt.Errorf("requests %x and %x both have number %d", before, p.Request, p.Number))
		}
		requests[p.Number] = p.Request
	}
	return faults
}

// CheckPublicationOrder checks that a revision that was acknowledged before another publication began has the lower
// number.
func (h *History) CheckPublicationOrder() (faults []error) {
	for _, a := range h.Publications {
		for _, b := range h.Publications {
			if a.Number != 0 && b.Number != 0 && a.EndedAt.Before(b.StartedAt) && a.Number >= b.Number {
				faults = append(faults, fmt.Errorf("revision %d was acknowledged before the publication of %d began",
					a.Number, b.Number))
			}
		}
	}
	return faults
}

// CheckNoRollback checks that numbers increase at each follower.
func (h *History) CheckNoRollback() (faults []error) {
	newest := map[string]uint64{}
	for _, a := range h.Applied {
		if a.Number <= newest[a.Follower] {
			faults = append(faults, fmt.Errorf("%s put revision %d in force after %d", a.Follower, a.Number,
				newest[a.Follower]))
		}
		newest[a.Follower] = max(newest[a.Follower], a.Number)
	}
	return faults
}

// CheckNoRevisionLost checks that at the end each machine has stored all revisions without gaps, up to the newest that
// any publisher, follower or machine knows.
func (h *History) CheckNoRevisionLost() (faults []error) {
	newest := uint64(0)
	for _, c := range h.claims() {
		newest = max(newest, c.number)
	}
	held := map[string]map[uint64]bool{}
	for _, x := range h.Stored {
		if held[x.Machine] == nil {
			held[x.Machine] = map[uint64]bool{}
		}
		held[x.Machine][x.Number] = true
	}
	for _, machine := range h.Machines {
		for number := uint64(1); number <= newest; number++ {
			if !held[machine][number] {
				faults = append(faults, fmt.Errorf("%s has lost revision %d of %d", machine, number, newest))
			}
		}
	}
	return faults
}

// CheckInForce checks that each acknowledged revision, or a later one, is in force at each follower within a time of its
// acknowledgement, or of the end of a disconnection that overlaps this time.
func (h *History) CheckInForce(within time.Duration) (faults []error) {
	for _, p := range h.Publications {
		if p.Number == 0 {
			continue
		}
		for _, follower := range h.Followers {
			due := h.due(follower, p.EndedAt, within)
			i := slices.IndexFunc(h.Applied, func(a Applied) bool {
				return a.Follower == follower && a.Number >= p.Number
			})
			switch {
			case i < 0:
				faults = append(faults, fmt.Errorf("%s never had revision %d in force", follower, p.Number))
			case h.Applied[i].At.After(due):
				faults = append(faults, fmt.Errorf("%s had revision %d in force %v after it was due", follower, p.Number,
					h.Applied[i].At.Sub(due)))
			}
		}
	}
	return faults
}

// due returns when a revision has to be in force at a follower. Disconnections are in the order of time.
func (h *History) due(follower string, acknowledged time.Time, within time.Duration) time.Time {
	due := acknowledged.Add(within)
	for _, x := range h.Disconnections {
		overlaps := x.From.Before(due) && x.To.After(acknowledged)
		if x.Follower == follower && overlaps && x.To.Add(within).After(due) {
			due = x.To.Add(within)
		}
	}
	return due
}
