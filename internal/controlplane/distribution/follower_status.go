package distribution

import (
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// FollowerStatus is a snapshot of a follower's state.
type FollowerStatus struct {
	Control        string    // address of the current control machine; "": no current stream
	LastUpdateAt   time.Time // on the current stream; zero: none yet
	InForce        uint64    // number of the revision in force; 0: the startup configuration file
	InForceSince   time.Time
	Applying       uint64            // number of the revision that is being applied; 0: none
	Newest         uint64            // highest revision number that any control machine has sent; 0: none
	Rejection      *configpb.Refusal // rejection (NACK) of a revision above InForce; nil: none
	Staleness      time.Duration     // result of Follower.Staleness
	StalenessKnown bool              // result of Follower.Staleness
	Counts         UpdateCounts
}

// Status returns a snapshot of the follower's state.
func (f *Follower) Status(now time.Time) FollowerStatus {
	status := FollowerStatus{
		InForce:      f.revisions.inForce,
		InForceSince: f.revisions.inForceSince,
		Applying:     f.revisions.applying,
		Newest:       f.newest,
		Rejection:    f.revisions.rejection,
		Counts:       f.counts,
	}
	if f.stream != 0 {
		status.Control = f.candidates[f.current].Address
		status.LastUpdateAt = f.lastUpdateAt
	}
	status.Staleness, status.StalenessKnown = f.Staleness(now)
	return status
}

// Staleness returns for how long a newer revision may have existed that the follower does not know of: the time since a
// quorum last confirmed that the newest revision known to the follower was the newest. known is false if no quorum ever has;
// then the staleness of the startup configuration file is unknown.
func (f *Follower) Staleness(now time.Time) (staleness time.Duration, known bool) {
	if f.confirmedAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.confirmedAt), 0), true
}

// currentReport returns the broker's status report: the ACK of the revision in force, and the NACK of a rejected one.
func (f *Follower) currentReport() *configpb.Report {
	return &configpb.Report{
		Name:               f.options.Name,
		StartedUnixMs:      f.options.StartedAt.UnixMilli(),
		Zone:               f.options.Zone,
		InForce:            f.revisions.inForce,
		InForceSinceUnixMs: f.revisions.inForceSince.UnixMilli(),
		Refusal:            f.revisions.rejection,
		Sequence:           f.lastSequence,
	}
}

// recordReport assigns the next sequence number to a report and records its send time.
func (f *Follower) recordReport(now time.Time) {
	f.lastReportAt = now
	f.lastSequence++
	f.reportedAt[f.lastSequence%reportHistory] = now
}

// earliestSentAt returns the earliest time at which an update can have been sent. The control machine sent it report_ms after
// it received the report that the update acknowledges, and reportedAt has the time at which that report was sent. If the
// report is no longer in reportedAt, the time at which the stream was opened is used instead.
func (f *Follower) earliestSentAt(update *configpb.Update) time.Time {
	reportedAt := f.openedAt
	if sequence := update.GetReport(); sequence+reportHistory > f.lastSequence {
		reportedAt = f.reportedAt[sequence%reportHistory]
	}
	return reportedAt.Add(time.Duration(update.GetReportMs()) * time.Millisecond)
}
