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
	// Silence is how long a stream may be without an update: three heartbeats, and 0.2 s on their way.
	Silence = 3*Heartbeat + 200*time.Millisecond
	// ConnectLimit is how long a stream may take to its first update: three round trips of 150 ms between regions, and
	// twice as long for a control machine that has many streams to open. A follower that finds the longest wait of
	// internal/backoff and three machines that do not answer is at the fourth within 8 s: 3 s + 3 * 1.5 s.
	ConnectLimit = 1500 * time.Millisecond
	// UnconfirmedLimit is how old the confirmation of a control machine may be before others are tried: longer than an
	// election lasts, and short enough that another one is found within 8 s.
	UnconfirmedLimit = 5 * time.Second

	// A fleet that leaves a control machine together spreads over this time.
	drainTimeout = 1500 * time.Millisecond
	// The longest wait between two machines of one round.
	maxBetween = 100 * time.Millisecond
	// Where every machine is unconfirmed, the one that is kept is left again after 30 to 60 s, then after twice as
	// long, and every 5 to 10 min later: about ten times in an hour.
	reconsiderFirst = 30 * time.Second
	maxReconsider   = 5 * time.Minute
	// How many reports of a stream are remembered, for the updates that answer them.
	recentReports = 16
	// A follower that is woken so much later than it asked was paused: what its stream brought waits to be read.
	pauseSlack = 500 * time.Millisecond
)

// Errors of NewFollower.
var (
	ErrNoMachines      = errors.New("no control machine is named")
	ErrTooManyMachines = fmt.Errorf("more than %d control machines are named", MaxMachines)
	ErrInvalidName     = fmt.Errorf("the name or the zone is absent, longer than %d bytes or not in UTF-8", maxName)
)

// StreamID names one stream of a follower. It is never used again by the same follower.
type StreamID uint64

// FollowerOptions are what a follower is started with.
type FollowerOptions struct {
	Name    string    // of the broker, 128 bytes at most
	Started time.Time // of this process
	Zone    string    // "": not told
	Region  string    // "": not told
	Control []Machine // 1 to MaxMachines
	Callers int       // brokers of the fleet, as in internal/backoff
	Seed    uint64    // of the waits: brokers need different ones
}

// Open is a stream that is to be opened.
type Open struct {
	Stream  StreamID
	Address string
}

// Ready is what a driver has to do, in the order of the fields.
type Ready struct {
	Close  StreamID           // 0: none
	Open   *Open              // nil: none
	Report *configpb.Report   // to be sent on Stream, in place of one that still waits; nil: none
	Stream StreamID           // the present one; 0: none
	Apply  *configpb.Revision // to be applied whole; then Applied or Refused is called; nil: none
}

// Follower is a broker's side of the distribution. Make it with NewFollower.
//
// A driver calls Ready after every other call, and Tick when Wake says so.
type Follower struct {
	opt   FollowerOptions
	rng   *rand.Rand
	waits *backoff.Backoff

	machines       machines
	machine        int       // of the present stream, or of the next one if it is chosen already
	chosen         bool      // the machine of the next stream is
	connect        time.Time // when the next stream is to be opened, where there is none
	quiescentSince bool      // no machine was confirmed in a whole round: the best one is kept
	reconsider     time.Time // until when it is kept
	interval       time.Duration

	stream       StreamID // the present one; 0: none
	lastStream   StreamID
	opened       time.Time                // when the present stream was
	lastReceived time.Time                // last update of the present stream; zero: none yet
	grace        time.Time                // the present stream is not left before; zero: no such time
	reported     time.Time                // last report on the present stream
	sequence     uint64                   // of that report
	reports      [recentReports]time.Time // when each was handed out, by sequence

	revisions revisions
	newest    uint64    // the highest that was told
	confirmed time.Time // when a quorum last confirmed a newest revision to any machine; zero: not known

	toClose StreamID
	toOpen  bool
	report  bool // a report is to be sent
	counts  UpdateCounts
}

// NewFollower returns a follower that serves by the file of its start and opens its first stream after a wait.
// Errors: ErrNoMachines, ErrTooManyMachines, ErrBadName.
func NewFollower(now time.Time, opt FollowerOptions) (*Follower, error) {
	switch {
	case len(opt.Control) == 0:
		return nil, ErrNoMachines
	case len(opt.Control) > MaxMachines:
		return nil, ErrTooManyMachines
	case opt.Name == "" || !isValidString(opt.Name, maxName) || !isValidString(opt.Zone, maxName):
		return nil, ErrInvalidName
	}
	rng := rand.New(rand.NewPCG(opt.Seed, 0x9b05688c2b3e6c1f))
	f := &Follower{
		opt:       opt,
		rng:       rng,
		waits:     backoff.New(opt.Callers, opt.Seed),
		machines:  newMachines(opt.Control, opt.Zone, opt.Region, rng),
		interval:  reconsiderFirst,
		revisions: revisions{since: now},
	}
	// The shorter wait of a start is passed over: a broker serves by its file meanwhile.
	f.waits.Next(0)
	f.waits.Succeeded()
	f.connect = now.Add(f.waits.Next(0))
	return f, nil
}

// Resize takes up how many brokers the fleet has.
func (f *Follower) Resize(callers int) { f.waits.Resize(callers) }

// Wake is when Tick has to be called at the latest.
func (f *Follower) Wake() time.Time {
	if f.stream == 0 {
		return f.connect
	}
	return earliest(f.silentAt(), f.drainAt(), f.reported.Add(ReportInterval))
}

// Tick looks at the time.
func (f *Follower) Tick(now time.Time) {
	if f.stream == 0 {
		if !now.Before(f.connect) {
			f.open(now)
		}
		return
	}
	if now.Sub(f.Wake()) > pauseSlack && !f.grace.After(latest(f.opened, f.lastReceived)) {
		f.grace = now.Add(Heartbeat)
	}
	if !now.Before(f.silentAt()) {
		f.counts.Silent++
		f.lose(now)
		return
	}
	if at := f.drainAt(); !at.IsZero() && !now.Before(at) {
		f.disconnect(now)
	}
	if f.stream != 0 && !now.Before(f.reported.Add(ReportInterval)) {
		f.report = true
	}
}

// Ended tells that a stream has ended or could not be opened. Any but the present one is ignored.
func (f *Follower) Ended(now time.Time, stream StreamID) {
	if stream != 0 && stream == f.stream {
		f.counts.Ended++
		f.lose(now)
		f.toClose = 0
	}
}

// Ready returns what is to be done, once.
func (f *Follower) Ready(now time.Time) Ready {
	ready := Ready{Close: f.toClose, Stream: f.stream}
	f.toClose = 0
	if f.toOpen {
		f.toOpen = false
		ready.Open = &Open{Stream: f.stream, Address: f.machines[f.machine].Address}
	}
	if f.report && f.stream != 0 {
		f.report = false
		f.markReported(now)
		ready.Report = f.currentReport()
	}
	ready.Apply = f.revisions.handOut()
	return ready
}

// silentAt is when the present stream counts as silent.
func (f *Follower) silentAt() time.Time {
	if f.lastReceived.IsZero() {
		return latest(f.opened.Add(ConnectLimit), f.grace)
	}
	return latest(f.lastReceived.Add(Silence), f.grace)
}

// drainAt is when the present machine is left because its confirmation is too old; zero: not at all.
func (f *Follower) drainAt() time.Time {
	if f.lastReceived.IsZero() || len(f.machines) < 2 {
		return time.Time{}
	}
	at := latest(f.machines[f.machine].confirmed.Add(UnconfirmedLimit), f.lastReceived, f.grace)
	if f.quiescentSince {
		return latest(at, f.reconsider)
	}
	return at
}

// open opens a stream to the machine that was chosen, or to the first that is not tried yet.
func (f *Follower) open(now time.Time) {
	if !f.chosen {
		f.machine = f.machines.untried()
	}
	f.lastStream++
	f.stream, f.toOpen, f.chosen = f.lastStream, true, false
	f.opened, f.lastReceived, f.grace = now, time.Time{}, time.Time{}
	f.reported, f.report, f.sequence = now, true, 0
	f.counts.Opened++
}

// close ends the present stream.
func (f *Follower) close() {
	if !f.toOpen {
		f.toClose = f.stream
	}
	f.stream, f.toOpen = 0, false
}

// lose gives up a stream that is silent or has ended.
func (f *Follower) lose(now time.Time) {
	served, kept := !f.lastReceived.IsZero(), f.quiescentSince
	f.close()
	if kept {
		f.quiescentSince = false
		f.machines.newRound()
	}
	f.machines[f.machine].tried = true
	if served || kept {
		f.tryNext(now, f.waits.Next(0))
	} else {
		f.tryNext(now, f.between())
	}
}

// disconnect gives up a machine that is reached and unconfirmed, where another one may do better.
func (f *Follower) disconnect(now time.Time) {
	if f.quiescentSince {
		f.quiescentSince = false
		f.machines.newRound()
	}
	m := &f.machines[f.machine]
	m.tried, m.reached = true, true
	if f.machines.untried() < 0 && f.machines.best() == f.machine {
		f.settle(now)
		return
	}
	f.counts.Unconfirmed++
	f.close()
	f.tryNext(now, f.waits.Next(drainTimeout))
}

// tryNext plans a stream to the next machine of the round after a wait. Where the round is over, the best of those
// that were reached in it is kept for a while; else a new round begins after a longer wait.
func (f *Follower) tryNext(now time.Time, wait time.Duration) {
	if f.machines.untried() < 0 {
		if best := f.machines.best(); best >= 0 {
			f.settle(now)
			f.machine, f.chosen = best, true
		} else {
			f.machines.newRound()
			wait = f.waits.Next(0)
		}
	}
	f.connect = now.Add(wait)
}

// settle keeps one machine for a while although it is unconfirmed.
func (f *Follower) settle(now time.Time) {
	f.quiescentSince = true
	f.reconsider = now.Add(f.interval + time.Duration(f.rng.Int64N(int64(f.interval))))
	f.interval = min(2*f.interval, maxReconsider)
}

func (f *Follower) between() time.Duration { return time.Duration(f.rng.Int64N(int64(maxBetween))) }

func latest(times ...time.Time) time.Time {
	last := times[0]
	for _, t := range times[1:] {
		if t.After(last) {
			last = t
		}
	}
	return last
}
