package distribution

import (
	"math"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// trackedRevision records the propagation of one of the latest revisions.
type trackedRevision struct {
	number              uint64
	publishedMS         int64     // Unix time in milliseconds, by the clock of the leader that published it
	receivedAt          time.Time // when this hub received it
	inForceEverywhereAt time.Time // when it was first in force at all connected brokers; zero: not yet
}

// track starts to track a revision. It replaces the oldest tracked one if there are already TrackedRevisions.
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

// recordInForceEverywhere records the current time for each tracked revision that all connected brokers have in force for the
// first time.
func (h *Hub) recordInForceEverywhere(now time.Time) {
	if len(h.inForceCounts) == 0 {
		return
	}
	lowest := uint64(math.MaxUint64)
	for number := range h.inForceCounts {
		lowest = min(lowest, number)
	}
	for i := range h.tracked {
		revision := &h.tracked[i]
		if revision.number <= lowest && revision.inForceEverywhereAt.IsZero() {
			revision.inForceEverywhereAt = now
		}
	}
}

// Lagging returns the names of the lagging brokers in alphabetical order. A connected broker is lagging if it has neither
// acknowledged nor rejected some tracked revision within PropagationDeadline.
func (h *Hub) Lagging(now time.Time) []string {
	var lagging []string
	for name, b := range h.brokers {
		if b.session == 0 {
			continue
		}
		if unprocessed, ok := h.firstUnprocessed(b); ok && overdue(now, b, unprocessed) {
			lagging = append(lagging, name)
		}
	}
	slices.Sort(lagging)
	return lagging
}

// firstUnprocessed returns the first tracked revision that a broker has neither acknowledged nor rejected, and false if there
// is none.
func (h *Hub) firstUnprocessed(b *broker) (trackedRevision, bool) {
	for _, revision := range h.tracked {
		if revision.number > highestProcessed(b.lastReport) {
			return revision, true
		}
	}
	return trackedRevision{}, false
}

// overdue reports whether more than PropagationDeadline has passed since a broker was connected and this hub had received a
// revision.
func overdue(now time.Time, b *broker, revision trackedRevision) bool {
	return now.Sub(latest(revision.receivedAt, b.connectedAt)) > PropagationDeadline
}

// propagation returns how many connected brokers have a revision in force or are lagging behind it, and when it was first in
// force at all of them.
func (h *Hub) propagation(now time.Time, revision trackedRevision) *configpb.InForce {
	result := &configpb.InForce{Number: revision.number, PublishedUnixMs: revision.publishedMS}
	if !revision.inForceEverywhereAt.IsZero() {
		result.EverywhereUnixMs = revision.inForceEverywhereAt.UnixMilli()
	}
	for _, b := range h.brokers {
		switch {
		case b.session == 0:
		case b.lastReport.GetInForce() >= revision.number:
			result.Brokers++
		case highestProcessed(b.lastReport) < revision.number && overdue(now, b, revision):
			result.Lagging++
		}
	}
	return result
}
