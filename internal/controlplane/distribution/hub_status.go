package distribution

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

// booked is what a hub keeps of one of the latest revisions.
type booked struct {
	number      uint64
	publishedMS int64
	at          time.Time // when the hub had it
	everywhere  time.Time // when it was first in force at all connected brokers; zero: not yet
}

// book notes a revision, in place of the oldest where the book is full.
func (h *Hub) book(now time.Time, revision *configpb.Revision) {
	if len(h.booked) == BookedRevisions {
		h.booked = slices.Delete(h.booked, 0, 1)
	}
	h.booked = append(h.booked, booked{
		number:      revision.GetNumber(),
		publishedMS: revision.GetPublishedUnixMs(),
		at:          now,
	})
}

// checkEverywhere notes which revisions have come to be in force at all connected brokers.
func (h *Hub) checkEverywhere(now time.Time) {
	if len(h.inForce) == 0 {
		return
	}
	least := uint64(1<<64 - 1)
	for number := range h.inForce {
		least = min(least, number)
	}
	for i := range h.booked {
		if b := &h.booked[i]; b.number <= least && b.everywhere.IsZero() {
			b.everywhere = now
		}
	}
}

// Sessions returns how many sessions are open.
func (h *Hub) Sessions() int { return len(h.sessions) }

// Counts returns the reports so far.
func (h *Hub) Counts() ReportCounts { return h.counts }

// Status is what a hub knows, in the terms of configpb.StatusResponse.
type Status struct {
	Newest      uint64
	ConfirmedMS uint32
	Brokers     []*configpb.Broker  // by name; those that are cut off too
	InForce     []*configpb.InForce // the latest revisions, newest first
}

// Status returns what the hub knows. Brokers that were cut off for longer than RememberCutOff are forgotten.
func (h *Hub) Status(now time.Time) Status {
	h.forget(now)
	status := Status{Newest: h.newest.GetNumber(), ConfirmedMS: milliseconds(now, h.confirmed)}
	for _, b := range h.brokers {
		status.Brokers = append(status.Brokers, &configpb.Broker{
			Report:    proto.CloneOf(b.report),
			SilentMs:  milliseconds(now, b.lastReceived),
			Connected: b.session != 0,
		})
	}
	slices.SortFunc(status.Brokers, func(a, b *configpb.Broker) int {
		return cmp.Compare(a.GetReport().GetName(), b.GetReport().GetName())
	})
	for i := len(h.booked) - 1; i >= 0; i-- {
		status.InForce = append(status.InForce, h.inForceOf(now, h.booked[i]))
	}
	return status
}

// Lagging returns the names of the connected brokers, in order, that have neither put in force nor refused a revision
// within LagLimit.
func (h *Hub) Lagging(now time.Time) []string {
	var names []string
	for name, b := range h.brokers {
		if untried, ok := h.firstUntried(b); ok && b.session != 0 && lags(now, b, untried) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// firstUntried returns the first booked revision that a broker has not tried, and whether there is one.
func (h *Hub) firstUntried(b *broker) (booked, bool) {
	for _, x := range h.booked {
		if x.number > tried(b.report) {
			return x, true
		}
	}
	return booked{}, false
}

// lags tells whether a broker that has not tried a revision has had its time for it.
func lags(now time.Time, b *broker, x booked) bool {
	since := x.at
	if b.opened.After(since) {
		since = b.opened
	}
	return now.Sub(since) > LagLimit
}

func (h *Hub) inForceOf(now time.Time, x booked) *configpb.InForce {
	result := &configpb.InForce{Number: x.number, PublishedUnixMs: x.publishedMS}
	if !x.everywhere.IsZero() {
		result.EverywhereUnixMs = x.everywhere.UnixMilli()
	}
	for _, b := range h.brokers {
		switch {
		case b.session == 0:
		case b.report.GetInForce() >= x.number:
			result.Brokers++
		case tried(b.report) < x.number && lags(now, b, x):
			result.Lagging++
		}
	}
	return result
}

// forget drops the brokers that were cut off for too long.
func (h *Hub) forget(now time.Time) {
	for name, b := range h.brokers {
		if b.session == 0 && now.Sub(b.lastReceived) > RememberCutOff {
			delete(h.brokers, name)
		}
	}
}

// forgetOldest drops the broker that was cut off first, and tells whether there was one.
func (h *Hub) forgetOldest() bool {
	oldest := ""
	for name, b := range h.brokers {
		if b.session != 0 {
			continue
		}
		first := oldest == "" || b.lastReceived.Before(h.brokers[oldest].lastReceived)
		if first || b.lastReceived.Equal(h.brokers[oldest].lastReceived) && name < oldest {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	delete(h.brokers, oldest)
	return true
}
