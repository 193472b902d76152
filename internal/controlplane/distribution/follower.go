package distribution

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"mothrouter/internal/backoff"
	"mothrouter/internal/controlplane/configpb"
)

const (
	// reportHistory is how many reports of a stream have their time kept, for the updates that acknowledge them.
	reportHistory = 16
	// pauseThreshold is how late a tick is after a pause of the process: updates may then wait to be read, so the
	// timeouts of the stream are extended by one heartbeat.
	pauseThreshold = 500 * time.Millisecond
	// seedStream separates a follower's random numbers from others that are drawn from the same seed.
	seedStream = 0x9b05688c2b3e6c1f
)

// Errors of NewFollower.
var (
	ErrNoMachines      = errors.New("no control machine is configured")
	ErrTooManyMachines = fmt.Errorf("more than %d control machines are configured", MaxMachines)
	ErrInvalidName     = fmt.Errorf("the broker's name is missing, or its name or zone is not UTF-8 of at most %d bytes",
		maxNameLength)
)

// StreamID identifies one stream of a follower, from 1. A follower never reuses one.
type StreamID uint64

// FollowerOptions are the options of NewFollower.
type FollowerOptions struct {
	Name      string    // of the broker, 1 to 128 bytes
	StartedAt time.Time // start of this process: with Name, it identifies the instance
	Zone      string    // 128 bytes at most; "": not configured
	Region    string    // "": not configured
	Machines  []Machine // 1 to MaxMachines
	FleetSize int       // brokers in the fleet; scales the backoff, see package backoff
	Seed      uint64    // of the random delays; different for each broker
}

// StreamTarget is a stream to open.
type StreamTarget struct {
	Stream  StreamID
	Address string // of the control machine, host:port
}

// Ready is the work for the driver, to be done in the order of the fields.
type Ready struct {
	Close  StreamID           // stream to close; 0: none
	Open   *StreamTarget      // stream to open; nil: none
	Report *configpb.Report   // to send on Stream, replacing one that is not sent yet; nil: none
	Stream StreamID           // the current stream; 0: none
	Apply  *configpb.Revision // to apply, then call RevisionApplied or RevisionRejected; nil: none
}

// Follower is a broker's side of the distribution. Make it with NewFollower.
//
// The driver calls Ready after every other call, and Tick at NextTick.
type Follower struct {
	options FollowerOptions
	rng     *rand.Rand
	backoff *backoff.Backoff

	machines           machines
	current            int       // index of the machine of the current stream, or of the next one if preselected
	preselected        bool      // current is the machine of the next stream
	connectAt          time.Time // when the next stream is opened, if there is no current one
	keepsBest          bool      // a round found no confirmed machine: current, the best of them, is kept
	reconsiderAt       time.Time // until when it is kept
	reconsiderInterval time.Duration

	stream       StreamID // the current stream; 0: none
	lastStream   StreamID // the last one assigned
	openedAt     time.Time
	lastUpdateAt time.Time                // zero: no update on the current stream yet
	graceUntil   time.Time                // timeouts of the current stream are extended to it; zero: they are not
	lastReportAt time.Time                // or the opening of the current stream, before its first report
	lastSequence uint64                   // of the last report on the current stream; 0: none
	reportedAt   [reportHistory]time.Time // when each report was returned by Ready; index: sequence % reportHistory

	revisions   revisionState
	newest      uint64    // highest number in any update
	confirmedAt time.Time // when a quorum last confirmed the newest revision of any machine; zero: unknown

	pendingClose StreamID // for Ready; 0: none
	pendingOpen  bool     // the current stream is for Ready to open
	reportDue    bool
	counts       UpdateCounts
}

// NewFollower returns a follower without a revision in force, which opens its first stream after a random delay.
// Errors: ErrNoMachines, ErrTooManyMachines, ErrInvalidName.
func NewFollower(now time.Time, options FollowerOptions) (*Follower, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, seedStream))
	f := &Follower{
		options:            options,
		rng:                rng,
		backoff:            backoff.New(options.FleetSize, options.Seed),
		machines:           newMachines(options.Machines, options.Zone, options.Region, rng),
		reconsiderInterval: minReconsiderInterval,
		revisions:          revisionState{inForceSince: now},
	}
	// The first delay is meant for processes that cannot serve without an answer. A broker serves by its configuration
	// file meanwhile, so it begins with the longer, second one.
	f.backoff.Next(0)
	f.backoff.Succeeded()
	f.connectAt = now.Add(f.backoff.Next(0))
	return f, nil
}

func (o *FollowerOptions) check() error {
	switch {
	case len(o.Machines) == 0:
		return ErrNoMachines
	case len(o.Machines) > MaxMachines:
		return ErrTooManyMachines
	case o.Name == "", !isValidString(o.Name, maxNameLength), !isValidString(o.Zone, maxNameLength):
		return ErrInvalidName
	}
	return nil
}

// SetFleetSize sets how many brokers are in the fleet. It scales the next backoff.
func (f *Follower) SetFleetSize(brokers int) { f.backoff.SetCallers(brokers) }

// NextTick returns when Tick has to be called at the latest.
func (f *Follower) NextTick() time.Time {
	if f.stream == 0 {
		return f.connectAt
	}
	return earliest(f.streamTimeoutAt(), f.failoverAt(), f.lastReportAt.Add(ReportInterval))
}

// Tick handles what is due: opening a stream, its timeout, a failover, a status report.
func (f *Follower) Tick(now time.Time) {
	if f.stream == 0 {
		if !now.Before(f.connectAt) {
			f.openStream(now)
		}
		return
	}
	f.extendAfterPause(now)
	if !now.Before(f.streamTimeoutAt()) {
		f.counts.StreamsTimedOut++
		f.abandonStream(now)
		return
	}
	if at := f.failoverAt(); !at.IsZero() && !now.Before(at) {
		f.failOver(now)
	}
	if f.stream != 0 && !now.Before(f.lastReportAt.Add(ReportInterval)) {
		f.reportDue = true
	}
}

// extendAfterPause extends the timeouts of the current stream if this tick is late, once until the next update.
func (f *Follower) extendAfterPause(now time.Time) {
	late := now.Sub(f.NextTick()) > pauseThreshold
	extended := f.graceUntil.After(latest(f.openedAt, f.lastUpdateAt))
	if late && !extended {
		f.graceUntil = now.Add(Heartbeat)
	}
}

// StreamEnded handles the end of a stream, or the failure to open it. Any stream but the current one is ignored.
func (f *Follower) StreamEnded(now time.Time, stream StreamID) {
	if stream == 0 || stream != f.stream {
		return
	}
	f.counts.StreamsEnded++
	f.abandonStream(now)
	f.pendingClose = 0 // it is closed already
}

// Ready returns the work that has accumulated since the last call.
func (f *Follower) Ready(now time.Time) Ready {
	ready := Ready{Close: f.pendingClose, Stream: f.stream}
	f.pendingClose = 0
	if f.pendingOpen {
		f.pendingOpen = false
		ready.Open = &StreamTarget{Stream: f.stream, Address: f.machines[f.current].Address}
	}
	if f.reportDue && f.stream != 0 {
		f.reportDue = false
		f.recordReport(now)
		ready.Report = f.currentReport()
	}
	ready.Apply = f.revisions.startNext()
	return ready
}
