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
	// reportHistory is the number of latest reports whose send times are kept. They give the earliest time at which an update
	// that acknowledges one of these reports can have been sent.
	reportHistory = 16
	// pauseThreshold is how late a tick must be for the process to count as paused. After a pause, updates may be waiting to be
	// read, so the stream's timeouts are extended by one heartbeat interval.
	pauseThreshold = 500 * time.Millisecond
	// seedStream separates a follower's random numbers from others that are drawn with the same seed.
	seedStream = 0x9b05688c2b3e6c1f
)

// Errors of NewFollower.
var (
	ErrNoControlMachines      = errors.New("no control machine is configured")
	ErrTooManyControlMachines = fmt.Errorf("more than %d control machines are configured", MaxControlMachines)
	ErrInvalidName            = fmt.Errorf("the broker's name is missing, or its name or zone is not UTF-8 of at most %d bytes",
		maxNameLength)
)

// StreamID identifies a stream of a follower. IDs start at 1 and are never reused.
type StreamID uint64

// FollowerOptions are the options of NewFollower.
type FollowerOptions struct {
	Name            string           // name of the broker, 1 to 128 bytes
	StartedAt       time.Time        // start time of this process; identifies the instance together with Name
	Zone            string           // zone of the broker, at most 128 bytes; "": not configured
	Region          string           // region of the broker; "": not configured
	ControlMachines []ControlMachine // 1 to MaxControlMachines
	FleetSize       int              // number of brokers in the fleet; scales the backoff, see package backoff
	Seed            uint64           // for random delays; must differ between brokers
}

// StreamTarget is a stream to open.
type StreamTarget struct {
	Stream  StreamID
	Address string // host:port of the control machine
}

// Ready is the work for the driver, which must do it in the order of the fields.
type Ready struct {
	Close  StreamID           // stream to close; 0: none
	Open   *StreamTarget      // stream to open; nil: none
	Report *configpb.Report   // report to send on Stream, instead of any report not sent yet; nil: none
	Stream StreamID           // the current stream; 0: none
	Apply  *configpb.Revision // revision to apply, followed by RevisionApplied or RevisionRejected; nil: none
}

// Follower implements the broker's side of the protocol, the configuration follower. Create it with NewFollower.
//
// The driver calls Ready after every other call, and Tick no later than NextTick.
type Follower struct {
	options FollowerOptions
	rng     *rand.Rand
	backoff *backoff.Backoff

	candidates       candidates
	current          int           // index of the candidate of the current stream, or of the next one if preselected
	preselected      bool          // current is the candidate of the next stream
	connectAt        time.Time     // when to open the next stream, if there is no current one
	inFallback       bool          // no reached candidate has a recent confirmation; the least stale one is used
	fallbackUntil    time.Time     // when to try the other candidates again
	fallbackInterval time.Duration // minimum duration of the next fallback

	stream       StreamID // the current stream; 0: none
	lastStream   StreamID // the last ID assigned
	openedAt     time.Time
	lastUpdateAt time.Time                // zero: no update on the current stream yet
	graceUntil   time.Time                // the current stream's timeouts are extended until then; zero: not extended
	lastReportAt time.Time                // last report on the current stream; openedAt before the first one
	lastSequence uint64                   // sequence number of the last report on the current stream; 0: none
	reportedAt   [reportHistory]time.Time // when Ready returned each report; index: sequence % reportHistory

	revisions   revisionState
	newest      uint64    // highest revision number in any update
	confirmedAt time.Time // when a quorum last confirmed the newest revision, according to any update; zero: unknown

	pendingClose StreamID // stream for Ready to close; 0: none
	pendingOpen  bool     // Ready has to open the current stream
	reportDue    bool
	counts       UpdateCounts
}

// NewFollower returns a follower without a revision in force, which opens its first stream after a random delay. If the
// options are invalid, the error is ErrNoControlMachines or wraps ErrTooManyControlMachines or ErrInvalidName.
func NewFollower(now time.Time, options FollowerOptions) (*Follower, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, seedStream))
	f := &Follower{
		options:          options,
		rng:              rng,
		backoff:          backoff.New(options.FleetSize, options.Seed),
		candidates:       newCandidates(options.ControlMachines, options.Zone, options.Region, rng),
		fallbackInterval: minFallbackInterval,
		revisions:        revisionState{inForceSince: now},
	}
	// The backoff's first delay is short, for processes that cannot serve without an answer. A broker can serve with its
	// startup configuration in the meantime, so it skips to the second, longer delay.
	f.backoff.Next(0)
	f.backoff.Succeeded()
	f.connectAt = now.Add(f.backoff.Next(0))
	return f, nil
}

func (o *FollowerOptions) check() error {
	switch {
	case len(o.ControlMachines) == 0:
		return ErrNoControlMachines
	case len(o.ControlMachines) > MaxControlMachines:
		return fmt.Errorf("%w: %d", ErrTooManyControlMachines, len(o.ControlMachines))
	case o.Name == "", !isValidString(o.Name, maxNameLength), !isValidString(o.Zone, maxNameLength):
		return fmt.Errorf("%w: name %q, zone %q", ErrInvalidName, o.Name, o.Zone)
	}
	return nil
}

// SetFleetSize sets the number of brokers in the fleet, which scales the next backoff.
func (f *Follower) SetFleetSize(brokers int) { f.backoff.SetCallers(brokers) }

// NextTick returns the latest time for the next call of Tick.
func (f *Follower) NextTick() time.Time {
	if f.stream == 0 {
		return f.connectAt
	}
	return earliest(f.streamTimeoutAt(), f.failoverAt(), f.lastReportAt.Add(ReportInterval))
}

// Tick opens a stream, times it out, fails over or schedules a status report if one of these is due.
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

// extendAfterPause extends the timeouts of the current stream if this tick is late, at most once between two updates.
func (f *Follower) extendAfterPause(now time.Time) {
	late := now.Sub(f.NextTick()) > pauseThreshold
	extended := f.graceUntil.After(latest(f.openedAt, f.lastUpdateAt))
	if late && !extended {
		f.graceUntil = now.Add(HeartbeatInterval)
	}
}

// StreamEnded handles the end of a stream, or a failure to open it. It ignores streams other than the current one.
func (f *Follower) StreamEnded(now time.Time, stream StreamID) {
	if stream == 0 || stream != f.stream {
		return
	}
	f.counts.StreamsEnded++
	f.abandonStream(now)
	f.pendingClose = 0 // the stream is closed already
}

// Ready returns the work that has become due since the last call.
func (f *Follower) Ready(now time.Time) Ready {
	ready := Ready{Close: f.pendingClose, Stream: f.stream}
	f.pendingClose = 0
	if f.pendingOpen {
		f.pendingOpen = false
		ready.Open = &StreamTarget{Stream: f.stream, Address: f.candidates[f.current].Address}
	}
	if f.reportDue && f.stream != 0 {
		f.reportDue = false
		f.recordReport(now)
		ready.Report = f.currentReport()
	}
	ready.Apply = f.revisions.startNext()
	return ready
}
