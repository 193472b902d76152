package configstatus

import (
	"cmp"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// mergeRevisions returns the propagation of each tracked revision, summed over all control machines, newest first.
func mergeRevisions(statuses []*configpb.StatusResponse) []Revision {
	byNumber := map[uint64]*Revision{}
	for _, s := range statuses {
		for _, tracked := range s.GetInForce() {
			r := byNumber[tracked.GetNumber()]
			if r == nil {
				r = &Revision{Number: tracked.GetNumber(), PublishedAt: time.UnixMilli(tracked.GetPublishedUnixMs())}
				byNumber[tracked.GetNumber()] = r
			}
			r.Brokers += tracked.GetBrokers()
			r.Lagging += tracked.GetLagging()
		}
	}
	list := make([]Revision, 0, len(byNumber))
	for _, r := range byNumber {
		r.EverywhereMs = -1
		if at, ok := inForceEverywhereAt(statuses, r.Number); ok {
			r.EverywhereAt = at
			r.EverywhereMs = max(at.Sub(r.PublishedAt).Milliseconds(), 0) // the control machines' clocks may differ
		}
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Revision) int { return cmp.Compare(b.Number, a.Number) })
	return list
}

// inForceEverywhereAt returns when all connected brokers had a revision in force, which is the latest time that a control
// machine reports. It returns false if not all of them have it in force yet. A control machine that reports no time is
// ignored if it has no connected brokers or no longer tracks the revision; otherwise the revision is not in force everywhere.
func inForceEverywhereAt(statuses []*configpb.StatusResponse, number uint64) (at time.Time, ok bool) {
	for _, s := range statuses {
		i := slices.IndexFunc(s.GetInForce(), func(tracked *configpb.InForce) bool { return tracked.GetNumber() == number })
		var unixMs int64
		if i >= 0 {
			unixMs = s.GetInForce()[i].GetEverywhereUnixMs()
		}
		if unixMs == 0 {
			if countConnected(s) > 0 && !noLongerTracked(s, number) {
				return time.Time{}, false
			}
			continue
		}
		if t := time.UnixMilli(unixMs); t.After(at) {
			at = t
		}
		ok = true
	}
	return at, ok
}

// noLongerTracked reports whether a control machine tracks only revisions later than the given one.
func noLongerTracked(s *configpb.StatusResponse, number uint64) bool {
	tracked := s.GetInForce()
	return len(tracked) > 0 && number < tracked[len(tracked)-1].GetNumber()
}
