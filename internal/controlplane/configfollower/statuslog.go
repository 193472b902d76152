package configfollower

import (
	"log/slog"
	"time"

	"mothrouter/internal/controlplane/distribution"
)

const (
	startupGrace       = 5 * time.Second  // after which a broker without control says that it serves by its file
	stalenessThreshold = 15 * time.Second // after which a broker says that it may be behind
	staleLogInterval   = 5 * time.Minute  // after which it says so again
	dropLogInterval    = 10 * time.Second // at most, what was dropped is logged
)

// statusLogger logs what has changed from one status of the follower to the next.
type statusLogger struct {
	log           *slog.Logger
	startedAt     time.Time
	previous      distribution.FollowerStatus
	loggedCounts  distribution.UpdateCounts // of the last line on what was dropped
	dropLoggedAt  time.Time                 // of that line
	staleLoggedAt time.Time                 // of the last line that says that it may be behind; zero: it is confirmed
}

func newStatusLogger(log *slog.Logger, now time.Time) *statusLogger {
	return &statusLogger{log: log, startedAt: now}
}

// logStatus logs the difference to the status before.
func (r *statusLogger) logStatus(now time.Time, status distribution.FollowerStatus) {
	before := r.previous
	r.previous = status
	switch connected, was := !status.LastUpdateAt.IsZero(), !before.LastUpdateAt.IsZero(); {
	case connected && (!was || status.Control != before.Control):
		r.log.Info("connected to a control machine", "control", status.Control, "newest", status.Newest)
	case was && !connected:
		r.log.Info("disconnected from a control machine", "control", before.Control, "in_force", status.InForce)
	}
	if status.InForce != before.InForce {
		r.log.Info("revision in force", "number", status.InForce, "before", before.InForce)
	}
	if refusal := status.Rejection; refusal != nil && refusal.GetNumber() != before.Rejection.GetNumber() {
		r.log.Error("revision rejected", "number", refusal.GetNumber(), "key", refusal.GetKey(),
			"reason", refusal.GetReason(), "in_force", status.InForce)
	}
	r.logDropped(now, status)
	r.logStale(now, status)
}

// logDropped logs what was dropped, at most every dropsEvery.
func (r *statusLogger) logDropped(now time.Time, status distribution.FollowerStatus) {
	if now.Sub(r.dropLoggedAt) < dropLogInterval {
		return
	}
	is, was := status.Counts, r.loggedCounts
	if is.Conflicts > was.Conflicts {
		r.log.Error("revision content conflicts with the one in hand",
			"control", status.Control, "updates", is.Conflicts-was.Conflicts)
	}
	invalid := func(c distribution.UpdateCounts) uint64 { return c.Malformed + c.Oversized + c.Corrupt }
	if invalid(is) > invalid(was) {
		r.log.Warn("updates dropped", "malformed", is.Malformed-was.Malformed,
			"oversized", is.Oversized-was.Oversized, "torn", is.Corrupt-was.Corrupt, "control", status.Control)
	}
	if is.Conflicts > was.Conflicts || invalid(is) > invalid(was) {
		r.loggedCounts, r.dropLoggedAt = is, now
	}
}

// logStale logs that the broker may be behind, again every againAfter, and that it is confirmed again.
func (r *statusLogger) logStale(now time.Time, status distribution.FollowerStatus) {
	stale := status.Staleness > stalenessThreshold
	if !status.StalenessKnown {
		stale = now.Sub(r.startedAt) > startupGrace
	}
	switch {
	case !stale && !r.staleLoggedAt.IsZero():
		r.staleLoggedAt = time.Time{}
		r.log.Info("configuration confirmed again", "in_force", status.InForce, "newest", status.Newest)
	case !stale || now.Sub(r.staleLoggedAt) < staleLogInterval:
	case !status.StalenessKnown:
		r.staleLoggedAt = now
		r.log.Warn("configuration unconfirmed, serving by the file of the start")
	default:
		r.staleLoggedAt = now
		r.log.Warn("configuration may be stale", "behind", status.Staleness.Round(time.Second),
			"in_force", status.InForce, "control", status.Control)
	}
}
