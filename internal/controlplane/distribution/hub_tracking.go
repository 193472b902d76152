package distribution

import (
	"math"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// trackedRevision is the propagation of one of the latest revisions.
type trackedRevision struct {
	number       uint64
	publishedMS  int64     // Unix time in milliseconds, by the clock of the leader that published it
	receivedAt   time.Time // by this hub
	everywhereAt time.Time // when it was first in force at all connected brokers; zero: not yet
}

// track begins to track a revision, in place of the oldest one if TrackedRevisions are tracked.
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

// recordEverywhere records which tracked revisions are in force at all connected brokers since now.
func (h *Hub) recordEverywhere(now time.Time) {
	if len(h.inForceCounts) == 0 {
		return
	}
	lowest := uint64(math.MaxUint64)
	for number := range h.inForceCounts {
		lowest = min(lowest, number)
	}
	for i := range h.tracked {
		revision := &h.tracked[i]
		if revision.number <= lowest && revision.everywhereAt.IsZero() {
			revision.everywhereAt = now
		}
	}
}

// Lagging returns the names of the lagging brokers in alphabetical order: those that are connected and have neither
// acknowledged nor rejected some tracked revision within PropagationDeadline.
func (h *Hub) Lagging(now time.Time) []string {
	var lagging []string
	for name, b := range h.brokers {
		if b.session == 0 {
			continue
		}
		if untried, ok := h.firstUntried(b); ok && overdue(now, b, untried) {
			lagging = append(lagging, name)
		}
	}
	slices.Sort(lagging)
	return lagging
}

// firstUntried returns the first tracked revision that a broker has neither acknowledged nor rejected, and whether
// there is one.
func (h *Hub) firstUntried(b *broker) (trackedRevision, bool) {
	for _, revision := range h.tracked {
		if revision.number > highestTried(b.lastReport) {
			return revision, true
		}
	}
	return trackedRevision{}, false
}

// overdue reports whether a broker has been connected without trying a revision for longer than PropagationDeadline.
func overdue(now time.Time, b *broker, revision trackedRevision) bool {
	return now.Sub(latest(revision.receivedAt, b.connectedAt)) > PropagationDeadline
}

// propagation returns how far a revision has reached the connected brokers.
func (h *Hub) propagation(now time.Time, revision trackedRevision) *configpb.InForce {
	result := &configpb.InForce{Number: revision.number, PublishedUnixMs: revision.publishedMS}
	if !revision.everywhereAt.IsZero() {
		result.EverywhereUnixMs = revision.everywhereAt.UnixMilli()
	}
	for _, b := range h.brokers {
		switch {
		case b.session == 0:
		case b.lastReport.GetInForce() >= revision.number:
			result.Brokers++
		case highestTried(b.lastReport) < revision.number && overdue(now, b, revision):
			result.Lagging++
		}
	}
	return result
}
