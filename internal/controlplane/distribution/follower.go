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
	// StreamTimeout is how long a stream may be without an update: three heartbeats, and 0.2 s on their way.
	StreamTimeout = 3*Heartbeat + 200*time.Millisecond
	// ConnectTimeout is how long a stream may take to its first update: three round trips of 150 ms between regions, and
	// twice as long for a control machine that has many streams to open. A follower that finds the longest wait of
	// internal/backoff and three machines that do not answer is at the fourth within 8 s: 3 s + 3 * 1.5 s.
	ConnectTimeout = 1500 * time.Millisecond
	// ConfirmationTimeout is how old the confirmation of a control machine may be before others are tried: longer than an
	// election lasts, and short enough that another one is found within 8 s.
	ConfirmationTimeout = 5 * time.Second

	// A fleet that leaves a control machine together spreads over this time.
	failoverSpread = 1500 * time.Millisecond
	// The longest wait between two machines of one round.
	maxNextMachineDelay = 100 * time.Millisecond
	// Where every machine is unconfirmed, the one that is kept is left again after 30 to 60 s, then after twice as
	// long, and every 5 to 10 min later: about ten times in an hour.
	minReconsiderInterval = 30 * time.Second
	maxReconsiderInterval = 5 * time.Minute
	// How many reports of a stream are remembered, for the updates that answer them.
	reportHistory = 16
	// A follower that is woken so much later than it asked was paused: what its stream brought waits to be read.
	pauseThreshold = 500 * time.Millisecond
)

// Errors of NewFollower.
var (
	ErrNoMachines      = errors.New("no control machine is named")
	ErrTooManyMachines = fmt.Errorf("more than %d control machines are named", MaxMachines)
	ErrInvalidName     = fmt.Errorf("the name or the zone is absent, longer than %d bytes or not in UTF-8", maxNameLength)
)

// StreamID names one stream of a follower. It is never used again by the same follower.
type StreamID uint64

// FollowerOptions are what a follower is started with.
type FollowerOptions struct {
	Name      string    // of the broker, 128 bytes at most
	StartedAt time.Time // of this process
	Zone      string    // "": not told
	Region    string    // "": not told
	Machines  []Machine // 1 to MaxMachines
	FleetSize int       // brokers of the fleet, as in internal/backoff
	Seed      uint64    // of the waits: brokers need different ones
}

// StreamTarget is a stream that is to be opened.
type StreamTarget struct {
	Stream  StreamID
	Address string
}

// Ready is what a driver has to do, in the order of the fields.
type Ready struct {
	Close  StreamID           // 0: none
	Open   *StreamTarget      // nil: none
	Report *configpb.Report   // to be sent on Stream, in place of one that still waits; nil: none
	Stream StreamID           // the present one; 0: none
	Apply  *configpb.Revision // to be applied whole; then Applied or Refused is called; nil: none
}

// Follower is a broker's side of the distribution. Make it with NewFollower.
//
// A driver calls Ready after every other call, and Tick when Wake says so.
type Follower struct {
	options FollowerOptions
	rng     *rand.Rand
	backoff *backoff.Backoff

	machines           machines
	current            int       // of the present stream, or of the next one if it is chosen already
	preselected        bool      // the machine of the next stream is
	connectAt          time.Time // when the next stream is to be opened, where there is none
	keepsBest          bool      // no machine was confirmed in a whole round: the best one is kept
	reconsiderAt       time.Time // until when it is kept
	reconsiderInterval time.Duration

	stream       StreamID // the present one; 0: none
	lastStream   StreamID
	openedAt     time.Time                // when the present stream was
	lastUpdateAt time.Time                // last update of the present stream; zero: none yet
	graceUntil   time.Time                // the present stream is not left before; zero: no such time
	lastReportAt time.Time                // last report on the present stream
	lastSequence uint64                   // of that report
	reportedAt   [reportHistory]time.Time // when each was handed out, by sequence

	revisions   revisionState
	newest      uint64    // the highest that was told
	confirmedAt time.Time // when a quorum last confirmed a newest revision to any machine; zero: not known

	pendingClose StreamID
	pendingOpen  bool
	reportDue    bool // a report is to be sent
	counts       UpdateCounts
}

// NewFollower returns a follower that serves by the file of its start and opens its first stream after a wait.
// Errors: ErrNoMachines, ErrTooManyMachines, ErrBadName.
func NewFollower(now time.Time, opt FollowerOptions) (*Follower, error) {
	switch {
	case len(opt.Machines) == 0:
		return nil, ErrNoMachines
	case len(opt.Machines) > MaxMachines:
		return nil, ErrTooManyMachines
	case opt.Name == "" || !isValidString(opt.Name, maxNameLength) || !isValidString(opt.Zone, maxNameLength):
		return nil, ErrInvalidName
	}
	rng := rand.New(rand.NewPCG(opt.Seed, 0x9b05688c2b3e6c1f))
	f := &Follower{
		options:            opt,
		rng:                rng,
		backoff:            backoff.New(opt.FleetSize, opt.Seed),
		machines:           newMachines(opt.Machines, opt.Zone, opt.Region, rng),
		reconsiderInterval: minReconsiderInterval,
		revisions:          revisionState{inForceSince: now},
	}
	// The shorter wait of a start is passed over: a broker serves by its file meanwhile.
	f.backoff.Next(0)
	f.backoff.Succeeded()
	f.connectAt = now.Add(f.backoff.Next(0))
	return f, nil
}

// SetFleetSize takes up how many brokers the fleet has.
func (f *Follower) SetFleetSize(callers int) { f.backoff.Resize(callers) }

// NextTick is when Tick has to be called at the latest.
func (f *Follower) NextTick() time.Time {
	if f.stream == 0 {
		return f.connectAt
	}
	return earliest(f.streamTimeoutAt(), f.failoverAt(), f.lastReportAt.Add(ReportInterval))
}

// Tick looks at the time.
func (f *Follower) Tick(now time.Time) {
	if f.stream == 0 {
		if !now.Before(f.connectAt) {
			f.openStream(now)
		}
		return
	}
	if now.Sub(f.NextTick()) > pauseThreshold && !f.graceUntil.After(latest(f.openedAt, f.lastUpdateAt)) {
		f.graceUntil = now.Add(Heartbeat)
	}
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

// StreamEnded tells that a stream has ended or could not be opened. Any but the present one is ignored.
func (f *Follower) StreamEnded(now time.Time, stream StreamID) {
	if stream != 0 && stream == f.stream {
		f.counts.StreamsEnded++
		f.abandonStream(now)
		f.pendingClose = 0
	}
}

// Ready returns what is to be done, once.
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

// streamTimeoutAt is when the present stream counts as silent.
func (f *Follower) streamTimeoutAt() time.Time {
	if f.lastUpdateAt.IsZero() {
		return latest(f.openedAt.Add(ConnectTimeout), f.graceUntil)
	}
	return latest(f.lastUpdateAt.Add(StreamTimeout), f.graceUntil)
}

// failoverAt is when the present machine is left because its confirmation is too old; zero: not at all.
func (f *Follower) failoverAt() time.Time {
	if f.lastUpdateAt.IsZero() || len(f.machines) < 2 {
		return time.Time{}
	}
	at := latest(f.machines[f.current].confirmedAt.Add(ConfirmationTimeout), f.lastUpdateAt, f.graceUntil)
	if f.keepsBest {
		return latest(at, f.reconsiderAt)
	}
	return at
}

// openStream opens a stream to the machine that was chosen, or to the first that is not tried yet.
func (f *Follower) openStream(now time.Time) {
	if !f.preselected {
		f.current = f.machines.firstUntried()
	}
	f.lastStream++
	f.stream, f.pendingOpen, f.preselected = f.lastStream, true, false
	f.openedAt, f.lastUpdateAt, f.graceUntil = now, time.Time{}, time.Time{}
	f.lastReportAt, f.reportDue, f.lastSequence = now, true, 0
	f.counts.StreamsOpened++
}

// closeStream ends the present stream.
func (f *Follower) closeStream() {
	if !f.pendingOpen {
		f.pendingClose = f.stream
	}
	f.stream, f.pendingOpen = 0, false
}

// abandonStream gives up a stream that is silent or has ended.
func (f *Follower) abandonStream(now time.Time) {
	served, kept := !f.lastUpdateAt.IsZero(), f.keepsBest
	f.closeStream()
	if kept {
		f.keepsBest = false
		f.machines.startRound()
	}
	f.machines[f.current].tried = true
	if served || kept {
		f.scheduleConnect(now, f.backoff.Next(0))
	} else {
		f.scheduleConnect(now, f.nextMachineDelay())
	}
}

// failOver gives up a machine that is reached and unconfirmed, where another one may do better.
func (f *Follower) failOver(now time.Time) {
	if f.keepsBest {
		f.keepsBest = false
		f.machines.startRound()
	}
	m := &f.machines[f.current]
	m.tried, m.reached = true, true
	if f.machines.firstUntried() < 0 && f.machines.lastConfirmed() == f.current {
		f.keepBest(now)
		return
	}
	f.counts.Failovers++
	f.closeStream()
	f.scheduleConnect(now, f.backoff.Next(failoverSpread))
}

// scheduleConnect plans a stream to the next machine of the round after a wait. Where the round is over, the best of those
// that were reached in it is kept for a while; else a new round begins after a longer wait.
func (f *Follower) scheduleConnect(now time.Time, wait time.Duration) {
	if f.machines.firstUntried() < 0 {
		if best := f.machines.lastConfirmed(); best >= 0 {
			f.keepBest(now)
			f.current, f.preselected = best, true
		} else {
			f.machines.startRound()
			wait = f.backoff.Next(0)
		}
	}
	f.connectAt = now.Add(wait)
}

// keepBest keeps one machine for a while although it is unconfirmed.
func (f *Follower) keepBest(now time.Time) {
	f.keepsBest = true
	f.reconsiderAt = now.Add(f.reconsiderInterval + time.Duration(f.rng.Int64N(int64(f.reconsiderInterval))))
	f.reconsiderInterval = min(2*f.reconsiderInterval, maxReconsiderInterval)
}

func (f *Follower) nextMachineDelay() time.Duration {
	return time.Duration(f.rng.Int64N(int64(maxNextMachineDelay)))
}

func latest(times ...time.Time) time.Time {
	last := times[0]
	for _, t := range times[1:] {
		if t.After(last) {
			last = t
		}
	}
	return last
}
