package controlplanetest

import (
	"fmt"
	"slices"
	"time"
)

// Publication is one request to publish a document.
type Publication struct {
	Request  uint64
	Checksum uint64 // of its document
	Began    time.Time
	Ended    time.Time
	Number   uint64 // of its acknowledgement; 0: there was none, it may be committed or not
}

// Applied is one revision that a follower has put in force.
type Applied struct {
	Follower string
	Number   uint64
	Checksum uint64
	At       time.Time
}

// Held is one revision that a control machine had at the end.
type Held struct {
	Machine  string
	Number   uint64
	Checksum uint64
}

// Excuse is a time in which a follower could reach no control machine that a quorum reaches.
type Excuse struct {
	Follower string
	From, To time.Time
}

// History is all that was seen of a run.
type History struct {
	Publications []Publication
	Applied      []Applied // in the order of time for each follower
	Held         []Held
	Machines     []string // that have to hold all revisions at the end
	Followers    []string
	Excuses      []Excuse
}

// Check returns all that contradicts the promises of the control machines: see each checker.
func (h *History) Check(inForceWithin time.Duration) (faults []error) {
	faults = append(faults, h.CheckOneContent()...)
	faults = append(faults, h.CheckOneNumber()...)
	faults = append(faults, h.CheckOrder()...)
	faults = append(faults, h.CheckNeverBack()...)
	faults = append(faults, h.CheckNothingLost()...)
	return append(faults, h.CheckInForce(inForceWithin)...)
}

// content is one statement that a number has a content.
type content struct {
	who              string
	number, checksum uint64
}

func (h *History) contents() (list []content) {
	for _, p := range h.Publications {
		if p.Number != 0 {
			list = append(list, content{fmt.Sprintf("publisher of request %x", p.Request), p.Number, p.Checksum})
		}
	}
	for _, a := range h.Applied {
		list = append(list, content{a.Follower, a.Number, a.Checksum})
	}
	for _, x := range h.Held {
		list = append(list, content{x.Machine, x.Number, x.Checksum})
	}
	return list
}

// CheckOneContent checks that each number has one content, whoever was told of it, and that was published by somebody.
func (h *History) CheckOneContent() (faults []error) {
	published := map[uint64]bool{}
	for _, p := range h.Publications {
		published[p.Checksum] = true
	}
	first := map[uint64]content{}
	for _, c := range h.contents() {
		if !published[c.checksum] {
			faults = append(faults, fmt.Errorf("%s has revision %d with content %x that nobody published", c.who, c.number,
				c.checksum))
		}
		before, found := first[c.number]
		if !found {
			first[c.number] = c
		} else if before.checksum != c.checksum {
			faults = append(faults, fmt.Errorf("revision %d has content %x at %s and %x at %s", c.number, before.checksum,
				before.who, c.checksum, c.who))
		}
	}
	return faults
}

// CheckOneNumber checks that no two requests have the same number.
func (h *History) CheckOneNumber() (faults []error) {
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

// CheckOrder checks that what was acknowledged before another publication began has the lower number.
func (h *History) CheckOrder() (faults []error) {
	for _, a := range h.Publications {
		for _, b := range h.Publications {
			if a.Number != 0 && b.Number != 0 && a.Ended.Before(b.Began) && a.Number >= b.Number {
				faults = append(faults, fmt.Errorf("revision %d was acknowledged before the publication of %d began",
					a.Number, b.Number))
			}
		}
	}
	return faults
}

// CheckNeverBack checks that numbers rise at each follower.
func (h *History) CheckNeverBack() (faults []error) {
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

// CheckNothingLost checks that at the end each machine holds all revisions without gaps, up to the newest that anybody was told
// of.
func (h *History) CheckNothingLost() (faults []error) {
	newest := uint64(0)
	for _, c := range h.contents() {
		newest = max(newest, c.number)
	}
	held := map[string]map[uint64]bool{}
	for _, x := range h.Held {
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
// acknowledgement, or of the end of an excuse that touches this time.
func (h *History) CheckInForce(within time.Duration) (faults []error) {
	for _, p := range h.Publications {
		if p.Number == 0 {
			continue
		}
		for _, follower := range h.Followers {
			due := h.due(follower, p.Ended, within)
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

// due is when what was acknowledged has to be in force at a follower. Excuses are in the order of time.
func (h *History) due(follower string, acknowledged time.Time, within time.Duration) time.Time {
	due := acknowledged.Add(within)
	for _, x := range h.Excuses {
		touches := x.From.Before(due) && x.To.After(acknowledged)
		if x.Follower == follower && touches && x.To.Add(within).After(due) {
			due = x.To.Add(within)
		}
	}
	return due
}
