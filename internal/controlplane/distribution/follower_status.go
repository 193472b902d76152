package distribution

import (
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// FollowerStatus is what a follower knows.
type FollowerStatus struct {
	Control        string    // address of the control machine that is followed; "": none at present
	LastUpdateAt   time.Time // last update of its stream; zero: none yet
	InForce        uint64    // 0: the file of the start
	InForceSince   time.Time
	Applying       uint64            // 0: none
	Newest         uint64            // the highest number that any control machine told
	Rejection      *configpb.Refusal // of a revision above InForce; nil: none
	Staleness      time.Duration     // as Stale returns it
	StalenessKnown bool
	Counts         UpdateCounts
}

// Status returns what the follower knows.
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
		status.Control, status.LastUpdateAt = f.machines[f.current].Address, f.lastUpdateAt
	}
	status.Staleness, status.StalenessKnown = f.Staleness(now)
	return status
}

// Staleness returns how old the news may be that the follower has not heard: how long ago a quorum confirmed, to the
// control machine that told so, that the newest revision the follower knows of was the newest. known is false if none
// ever did: the broker serves by its file, and cannot tell.
func (f *Follower) Staleness(now time.Time) (staleness time.Duration, known bool) {
	if f.confirmedAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.confirmedAt), 0), true
}

// currentReport is the broker's word on the revision it serves by.
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

// recordReport notes that the next report of the stream is handed out.
func (f *Follower) recordReport(now time.Time) {
	f.lastReportAt = now
	f.lastSequence++
	f.reportedAt[f.lastSequence%reportHistory] = now
}

// earliestSentAt returns a time before which an update cannot have been sent: the control machine had the report that the
// update names for some time, and that report was not sent before it was handed out.
func (f *Follower) earliestSentAt(update *configpb.Update) time.Time {
	since := f.openedAt
	if sequence := update.GetReport(); sequence+reportHistory > f.lastSequence {
		since = f.reportedAt[sequence%reportHistory]
	}
	return since.Add(time.Duration(update.GetReportMs()) * time.Millisecond)
}
