package distribution

import (
	"time"

	"mothrouter/internal/controlplane/configpb"
)

// FollowerStatus is what a follower knows.
type FollowerStatus struct {
	Control        string    // address of the control machine that is followed; "": none at present
	LastReceived   time.Time // last update of its stream; zero: none yet
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
		InForceSince: f.revisions.since,
		Applying:     f.revisions.applying,
		Newest:       f.newest,
		Rejection:    f.revisions.rejection,
		Counts:       f.counts,
	}
	if f.stream != 0 {
		status.Control, status.LastReceived = f.machines[f.machine].Address, f.lastReceived
	}
	status.Staleness, status.StalenessKnown = f.Staleness(now)
	return status
}

// Staleness returns how old the news may be that the follower has not heard: how long ago a quorum confirmed, to the
// control machine that told so, that the newest revision the follower knows of was the newest. known is false if none
// ever did: the broker serves by its file, and cannot tell.
func (f *Follower) Staleness(now time.Time) (behind time.Duration, known bool) {
	if f.confirmed.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.confirmed), 0), true
}

// currentReport is the broker's word on the revision it serves by.
func (f *Follower) currentReport() *configpb.Report {
	return &configpb.Report{
		Name:               f.opt.Name,
		StartedUnixMs:      f.opt.Started.UnixMilli(),
		Zone:               f.opt.Zone,
		InForce:            f.revisions.inForce,
		InForceSinceUnixMs: f.revisions.since.UnixMilli(),
		Refusal:            f.revisions.rejection,
		Sequence:           f.sequence,
	}
}

// markReported notes that the next report of the stream is handed out.
func (f *Follower) markReported(now time.Time) {
	f.reported = now
	f.sequence++
	f.reports[f.sequence%recentReports] = now
}

// sentAt returns a time before which an update cannot have been sent: the control machine had the report that the
// update names for some time, and that report was not sent before it was handed out.
func (f *Follower) sentAt(update *configpb.Update) time.Time {
	since := f.opened
	if sequence := update.GetReport(); sequence+recentReports > f.sequence {
		since = f.reports[sequence%recentReports]
	}
	return since.Add(time.Duration(update.GetReportMs()) * time.Millisecond)
}
