package configfollower

import (
	"log/slog"
	"time"

	"mothrouter/internal/controlplane/distribution"
)

const (
	startGrace = 5 * time.Second  // after which a broker without control says that it serves by its file
	staleAfter = 15 * time.Second // after which a broker says that it may be behind
	againAfter = 5 * time.Minute  // after which it says so again
	dropsEvery = 10 * time.Second // at most, what was dropped is logged
)

// reporter logs what has changed from one status of the follower to the next.
type reporter struct {
	log     *slog.Logger
	started time.Time
	before  distribution.FollowerStatus
	logged  distribution.UpdateCounts // of the last line on what was dropped
	dropped time.Time                 // of that line
	stale   time.Time                 // of the last line that says that it may be behind; zero: it is confirmed
}

func newReporter(log *slog.Logger, now time.Time) *reporter { return &reporter{log: log, started: now} }

// logStatus logs the difference to the status before.
func (r *reporter) logStatus(now time.Time, status distribution.FollowerStatus) {
	before := r.before
	r.before = status
	switch connected, was := !status.LastReceived.IsZero(), !before.LastReceived.IsZero(); {
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
func (r *reporter) logDropped(now time.Time, status distribution.FollowerStatus) {
	if now.Sub(r.dropped) < dropsEvery {
		return
	}
	is, was := status.Counts, r.logged
	if is.Conflicts > was.Conflicts {
		r.log.Error("revision content conflicts with the one in hand",
			"control", status.Control, "updates", is.Conflicts-was.Conflicts)
	}
	bad := func(c distribution.UpdateCounts) uint64 { return c.Malformed + c.Oversized + c.Torn }
	if bad(is) > bad(was) {
		r.log.Warn("updates dropped", "malformed", is.Malformed-was.Malformed,
			"oversized", is.Oversized-was.Oversized, "torn", is.Torn-was.Torn, "control", status.Control)
	}
	if is.Conflicts > was.Conflicts || bad(is) > bad(was) {
		r.logged, r.dropped = is, now
	}
}

// logStale logs that the broker may be behind, again every againAfter, and that it is confirmed again.
func (r *reporter) logStale(now time.Time, status distribution.FollowerStatus) {
	stale := status.Staleness > staleAfter
	if !status.StalenessKnown {
		stale = now.Sub(r.started) > startGrace
	}
	switch {
	case !stale && !r.stale.IsZero():
		r.stale = time.Time{}
		r.log.Info("configuration confirmed again", "in_force", status.InForce, "newest", status.Newest)
	case !stale || now.Sub(r.stale) < againAfter:
	case !status.StalenessKnown:
		r.stale = now
		r.log.Warn("configuration unconfirmed, serving by the file of the start")
	default:
		r.stale = now
		r.log.Warn("configuration may be stale", "behind", status.Staleness.Round(time.Second),
			"in_force", status.InForce, "control", status.Control)
	}
}
