package configfollower

import (
	"log/slog"
	"time"

	"mothrouter/internal/controlplane/distribution"
)

const (
	// startupGrace is how long after its start a broker may lack a confirmed configuration before this is logged.
	startupGrace = 5 * time.Second
	// stalenessThreshold is the staleness above which the configuration is logged as stale.
	stalenessThreshold = 15 * time.Second
	// staleLogInterval is the interval at which a configuration that remains stale or unconfirmed is logged again.
	staleLogInterval = 5 * time.Minute
	// dropLogInterval is the minimum interval between two log lines about dropped updates.
	dropLogInterval = 10 * time.Second
)

// statusLogger logs the changes from one status of the configuration follower to the next.
type statusLogger struct {
	log           *slog.Logger
	startedAt     time.Time
	previous      distribution.FollowerStatus
	loggedCounts  distribution.UpdateCounts // the counts at dropLoggedAt
	dropLoggedAt  time.Time                 // last log line about dropped updates; zero: none
	staleLoggedAt time.Time                 // last log line about a stale configuration; zero: none since it was last confirmed
}

func newStatusLogger(log *slog.Logger, now time.Time) *statusLogger {
	return &statusLogger{log: log, startedAt: now}
}

// logStatus logs the changes since the previous status.
func (l *statusLogger) logStatus(now time.Time, status distribution.FollowerStatus) {
	l.logConnection(status)
	l.logRevision(status)
	l.logDropped(now, status)
	l.logStale(now, status)
	l.previous = status
}

// logConnection logs a new connection to a control machine, or the loss of the connection.
func (l *statusLogger) logConnection(status distribution.FollowerStatus) {
	connected := !status.LastUpdateAt.IsZero()
	wasConnected := !l.previous.LastUpdateAt.IsZero()
	switch {
	case connected && (!wasConnected || status.Control != l.previous.Control):
		l.log.Info("connected to a control machine", "control", status.Control, "newest", status.Newest)
	case wasConnected && !connected:
		l.log.Info("disconnected from a control machine", "control", l.previous.Control, "in_force", status.InForce)
	}
}

// logRevision logs a revision that has been put in force or rejected.
func (l *statusLogger) logRevision(status distribution.FollowerStatus) {
	if status.InForce != l.previous.InForce {
		l.log.Info("revision in force", "number", status.InForce, "before", l.previous.InForce)
	}
	rejection := status.Rejection
	if rejection != nil && rejection.GetNumber() != l.previous.Rejection.GetNumber() {
		l.log.Error("revision rejected", "number", rejection.GetNumber(), "key", rejection.GetKey(),
			"reason", rejection.GetReason(), "in_force", status.InForce)
	}
}

// logDropped logs the number of updates dropped since the last log line, at most once per dropLogInterval.
func (l *statusLogger) logDropped(now time.Time, status distribution.FollowerStatus) {
	if now.Sub(l.dropLoggedAt) < dropLogInterval {
		return
	}
	counts := status.Counts
	conflicts := counts.Conflicts - l.loggedCounts.Conflicts
	malformed := counts.Malformed - l.loggedCounts.Malformed
	oversized := counts.Oversized - l.loggedCounts.Oversized
	corrupt := counts.Corrupt - l.loggedCounts.Corrupt
	invalid := malformed + oversized + corrupt
	if conflicts > 0 {
		l.log.Error("checksum of the latest accepted revision differs from the control machine's", "control", status.Control,
			"updates", conflicts)
	}
	if invalid > 0 {
		l.log.Warn("dropped invalid updates", "malformed", malformed, "oversized", oversized, "torn", corrupt,
			"control", status.Control)
	}
	if conflicts > 0 || invalid > 0 {
		l.loggedCounts = counts
		l.dropLoggedAt = now
	}
}

// logStale logs that the configuration is stale or unconfirmed, repeats this every staleLogInterval, and logs when the
// configuration is confirmed again.
func (l *statusLogger) logStale(now time.Time, status distribution.FollowerStatus) {
	stale := status.Staleness > stalenessThreshold
	if !status.StalenessKnown {
		stale = now.Sub(l.startedAt) > startupGrace
	}
	if !stale {
		if !l.staleLoggedAt.IsZero() {
			l.staleLoggedAt = time.Time{}
			l.log.Info("configuration confirmed again", "in_force", status.InForce, "newest", status.Newest)
		}
		return
	}
	if now.Sub(l.staleLoggedAt) < staleLogInterval {
		return
	}
	l.staleLoggedAt = now
	if !status.StalenessKnown {
		l.log.Warn("configuration unconfirmed, serving with the startup configuration")
		return
	}
	l.log.Warn("configuration may be stale", "behind", status.Staleness.Round(time.Second),
		"in_force", status.InForce, "control", status.Control)
}
