package configstatus

import (
	"cmp"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// mergeRevisions returns the propagation of each tracked revision over all machines, newest first.
func mergeRevisions(statuses []*configpb.StatusResponse) []Revision {
	byNumber := map[uint64]*Revision{}
	for _, s := range statuses {
		for _, x := range s.GetInForce() {
			r := byNumber[x.GetNumber()]
			if r == nil {
				r = &Revision{Number: x.GetNumber(), PublishedAt: time.UnixMilli(x.GetPublishedUnixMs())}
				byNumber[x.GetNumber()] = r
			}
			r.Brokers += x.GetBrokers()
			r.Lagging += x.GetLagging()
		}
	}
	list := make([]Revision, 0, len(byNumber))
	for _, r := range byNumber {
		r.EverywhereMs = -1
		if at, ok := inForceEverywhereAt(statuses, r.Number); ok {
			r.EverywhereAt = at
			r.EverywhereMs = max(at.Sub(r.PublishedAt).Milliseconds(), 0) // the machines' clocks differ
		}
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Revision) int { return cmp.Compare(b.Number, a.Number) })
	return list
}

// inForceEverywhereAt returns when a revision was in force at all brokers of the last machine, and false if it is not
// yet. A machine without brokers is ignored; one that has brokers and not the revision counts as not yet.
func inForceEverywhereAt(statuses []*configpb.StatusResponse, number uint64) (at time.Time, ok bool) {
	for _, s := range statuses {
		i := slices.IndexFunc(s.GetInForce(), func(x *configpb.InForce) bool { return x.GetNumber() == number })
		var unixMs int64
		if i >= 0 {
			unixMs = s.GetInForce()[i].GetEverywhereUnixMs()
		}
		if unixMs == 0 {
			if countConnected(s) > 0 && !droppedByTracking(s, number) {
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

// droppedByTracking reports whether a machine no longer tracks a revision, but only later ones.
func droppedByTracking(s *configpb.StatusResponse, number uint64) bool {
	tracked := s.GetInForce()
	return len(tracked) > 0 && number < tracked[len(tracked)-1].GetNumber()
}
