package distribution

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

// trackedRevision is what a hub keeps of one of the latest revisions.
type trackedRevision struct {
	number       uint64
	publishedMS  int64
	receivedAt   time.Time // when the hub had it
	everywhereAt time.Time // when it was first in force at all connected brokers; zero: not yet
}

// track notes a revision, in place of the oldest where the book is full.
func (h *Hub) track(now time.Time, revision *configpb.Revision) {
	if len(h.tracked) == TrackedRevisions {
		h.tracked = slices.Delete(h.tracked, 0, 1)
	}
	h.tracked = append(h.tracked, trackedRevision{
		number:      revision.GetNumber(),
		publishedMS: revision.GetPublishedUnixMs(),
		receivedAt:  now,
	})
}

// recordEverywhere notes which revisions have come to be in force at all connected brokers.
func (h *Hub) recordEverywhere(now time.Time) {
	if len(h.inForceCounts) == 0 {
		return
	}
	least := uint64(1<<64 - 1)
	for number := range h.inForceCounts {
		least = min(least, number)
	}
	for i := range h.tracked {
		if b := &h.tracked[i]; b.number <= least && b.everywhereAt.IsZero() {
			b.everywhereAt = now
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
	h.forgetDisconnected(now)
	status := Status{Newest: h.newest.GetNumber(), ConfirmedMS: ageMilliseconds(now, h.confirmedAt)}
	for _, b := range h.brokers {
		status.Brokers = append(status.Brokers, &configpb.Broker{
			Report:    proto.CloneOf(b.lastReport),
			SilentMs:  ageMilliseconds(now, b.lastSeenAt),
			Connected: b.session != 0,
		})
	}
	slices.SortFunc(status.Brokers, func(a, b *configpb.Broker) int {
		return cmp.Compare(a.GetReport().GetName(), b.GetReport().GetName())
	})
	for i := len(h.tracked) - 1; i >= 0; i-- {
		status.InForce = append(status.InForce, h.inForceOf(now, h.tracked[i]))
	}
	return status
}

// Lagging returns the names of the connected brokers, in order, that have neither put in force nor refused a revision
// within LagLimit.
func (h *Hub) Lagging(now time.Time) []string {
	var names []string
	for name, b := range h.brokers {
		if untried, ok := h.firstUntried(b); ok && b.session != 0 && overdue(now, b, untried) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// firstUntried returns the first booked revision that a broker has not tried, and whether there is one.
func (h *Hub) firstUntried(b *broker) (trackedRevision, bool) {
	for _, x := range h.tracked {
		if x.number > highestTried(b.lastReport) {
			return x, true
		}
	}
	return trackedRevision{}, false
}

// overdue tells whether a broker that has not tried a revision has had its time for it.
func overdue(now time.Time, b *broker, x trackedRevision) bool {
	since := x.receivedAt
	if b.connectedAt.After(since) {
		since = b.connectedAt
	}
	return now.Sub(since) > PropagationDeadline
}

func (h *Hub) inForceOf(now time.Time, x trackedRevision) *configpb.InForce {
	result := &configpb.InForce{Number: x.number, PublishedUnixMs: x.publishedMS}
	if !x.everywhereAt.IsZero() {
		result.EverywhereUnixMs = x.everywhereAt.UnixMilli()
	}
	for _, b := range h.brokers {
		switch {
		case b.session == 0:
		case b.lastReport.GetInForce() >= x.number:
			result.Brokers++
		case highestTried(b.lastReport) < x.number && overdue(now, b, x):
			result.Lagging++
		}
	}
	return result
}

// forgetDisconnected drops the brokers that were cut off for too long.
func (h *Hub) forgetDisconnected(now time.Time) {
	for name, b := range h.brokers {
		if b.session == 0 && now.Sub(b.lastSeenAt) > DisconnectedRetention {
			delete(h.brokers, name)
		}
	}
}

// forgetLongestDisconnected drops the broker that was cut off first, and tells whether there was one.
func (h *Hub) forgetLongestDisconnected() bool {
	oldest := ""
	for name, b := range h.brokers {
		if b.session != 0 {
			continue
		}
		first := oldest == "" || b.lastSeenAt.Before(h.brokers[oldest].lastSeenAt)
		if first || b.lastSeenAt.Equal(h.brokers[oldest].lastSeenAt) && name < oldest {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	delete(h.brokers, oldest)
	return true
}
