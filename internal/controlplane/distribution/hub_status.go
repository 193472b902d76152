package distribution

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

// Sessions returns the number of open sessions.
func (h *Hub) Sessions() int { return len(h.sessions) }

// Counts returns the counters of status reports.
func (h *Hub) Counts() ReportCounts { return h.counts }

// Status is a snapshot of a hub's state. Its fields correspond to those of configpb.StatusResponse.
type Status struct {
	Newest      uint64              // number of the newest revision; 0: none
	ConfirmedMS uint32              // milliseconds since a quorum last confirmed Newest; NeverConfirmed: no quorum has
	Brokers     []*configpb.Broker  // connected and disconnected brokers, sorted by name
	InForce     []*configpb.InForce // propagation of the tracked revisions, newest first
}

// Status returns a snapshot of the hub's state. It first removes brokers that have been disconnected for longer than
// DisconnectedRetention.
func (h *Hub) Status(now time.Time) Status {
	h.removeExpiredBrokers(now)
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
	for _, revision := range slices.Backward(h.tracked) {
		status.InForce = append(status.InForce, h.propagation(now, revision))
	}
	return status
}

// removeExpiredBrokers removes brokers that have been disconnected for longer than DisconnectedRetention.
func (h *Hub) removeExpiredBrokers(now time.Time) {
	for name, b := range h.brokers {
		if b.session == 0 && now.Sub(b.lastSeenAt) > DisconnectedRetention {
			delete(h.brokers, name)
		}
	}
}

// evictLongestDisconnected removes the broker that has been disconnected for the longest time. If several have been
// disconnected equally long, it removes the first by name. It returns false if no broker is disconnected.
func (h *Hub) evictLongestDisconnected() bool {
	oldest := ""
	for name, b := range h.brokers {
		if b.session == 0 && (oldest == "" || h.disconnectedBefore(name, oldest)) {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	delete(h.brokers, oldest)
	return true
}

// disconnectedBefore reports whether broker a was last seen before broker b; names break ties.
func (h *Hub) disconnectedBefore(a, b string) bool {
	order := h.brokers[a].lastSeenAt.Compare(h.brokers[b].lastSeenAt)
	return order < 0 || order == 0 && a < b
}
