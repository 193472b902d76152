package distribution

import (
	"errors"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// MaxSessions is how many sessions a hub holds: 1,200 brokers that all follow this one, and 300 that were replaced
	// or restarted while their former sessions have not ended yet.
	MaxSessions = 1500
	// MaxBrokers is how many brokers a hub remembers, connected or not.
	MaxBrokers = 2 * MaxSessions
	// RememberCutOff is how long a broker that is not connected is remembered: regions lose each other for an hour.
	RememberCutOff = 2 * time.Hour
	// FirstReportLimit is how long a session may be open without a report.
	FirstReportLimit = 5 * time.Second
	// SessionSilence is how long a session may be without a report: three are due within, and 5 s of slack.
	SessionSilence = 3*ReportInterval + 5*time.Second
	// LagLimit is how long a broker may take to have a revision in force.
	LagLimit = 8 * time.Second
	// BookedRevisions is how many of the latest revisions are booked.
	BookedRevisions = 64

	// A revision that was sent and neither reported in force nor refused is sent again: 16 KiB every 3 s at first,
	// every 24 s later.
	resendFirst = 3 * time.Second
	maxResends  = 24 * time.Second
)

// Errors of a Hub. A session whose Next or Report returns one has to be closed.
var (
	ErrFull       = errors.New("too many sessions")
	ErrNoSession  = errors.New("there is no such session")
	ErrSilent     = errors.New("the session is silent")
	ErrSuperseded = errors.New("another session of this broker has taken its place")
)

// Errors of Newest.
var (
	ErrOlder    = errors.New("the revision is older than the newest one")
	ErrConflict = errors.New("the revision has the number of the newest one and another content")
)

// SessionID names one stream of a broker at one hub. It is never used again.
type SessionID uint64

// ReportCounts are the reports of a hub, by what became of them.
type ReportCounts struct {
	Accepted  uint64
	Malformed uint64 // a field is absent, too long or contradicts another
	Foreign   uint64 // of another instance than the session's, or of one that a later start has replaced
	Older     uint64 // goes back behind an earlier report of the session
}

// session is one stream of a broker.
type session struct {
	opened     time.Time
	heard      time.Time // of the last report that was taken; zero: none yet
	broker     *broker   // nil: before the first report
	sequence   uint64    // of the last report that was taken
	superseded bool

	told   time.Time // of the last update; zero: none yet
	sent   uint64    // number of the last revision that was sent; 0: none
	resend time.Time // when that one is sent again
	wait   time.Duration
}

// broker is what a hub knows of one broker.
type broker struct {
	report       *configpb.Report
	session      SessionID // 0: it is cut off
	opened       time.Time // of its latest session
	lastReceived time.Time // of the last report; once cut off: of the end of its session, if that was later
}

// Hub is a control machine's side of the distribution. Make it with NewHub.
type Hub struct {
	newest    *configpb.Revision // nil: none
	confirmed time.Time          // zero: never
	lastID    SessionID
	sessions  map[SessionID]*session
	brokers   map[string]*broker // by name
	inForce   map[uint64]int     // of the connected brokers that have reported: how many have which revision in force
	booked    []booked           // the latest revisions, in ascending order
	counts    ReportCounts
}

// NewHub returns a hub without revisions and sessions.
func NewHub() *Hub {
	return &Hub{
		sessions: map[SessionID]*session{},
		brokers:  map[string]*broker{},
		inForce:  map[uint64]int{},
	}
}

// Newest tells which revision is the newest one of the log that this machine has applied. The revision is kept: it must
// not be changed afterwards. Numbers may be skipped. The same revision again changes nothing. Errors: those of
// CheckRevision, ErrOlder and ErrConflict; they change nothing.
func (h *Hub) Newest(now time.Time, revision *configpb.Revision) error {
	if err := CheckRevision(revision); err != nil {
		return err
	}
	switch newest := h.newest.GetNumber(); {
	case revision.GetNumber() < newest:
		return ErrOlder
	case revision.GetNumber() == newest:
		if revision.GetChecksum() != h.newest.GetChecksum() {
			return ErrConflict
		}
		return nil
	}
	h.newest = revision
	h.book(now, revision)
	h.checkEverywhere(now) // brokers may have had it from another control machine
	return nil
}

// Confirmed tells when a quorum last confirmed that the newest revision is the newest. An earlier time than the one
// told before changes nothing.
func (h *Hub) Confirmed(at time.Time) {
	if at.After(h.confirmed) {
		h.confirmed = at
	}
}

// Open begins a session. Errors: ErrFull.
func (h *Hub) Open(now time.Time) (SessionID, error) {
	if len(h.sessions) >= MaxSessions {
		return 0, ErrFull
	}
	h.lastID++
	h.sessions[h.lastID] = &session{opened: now}
	return h.lastID, nil
}

// Close ends a session. One that does not exist is ignored.
func (h *Hub) Close(now time.Time, id SessionID) {
	s, ok := h.sessions[id]
	if !ok {
		return
	}
	delete(h.sessions, id)
	if s.broker != nil && s.broker.session == id {
		h.disconnect(now, s.broker)
	}
}

// disconnect notes that a broker has no session any more.
func (h *Hub) disconnect(now time.Time, b *broker) {
	b.session, b.lastReceived = 0, now
	h.dropInForce(b.report.GetInForce())
	h.checkEverywhere(now)
}

// Check returns why a session has to be closed, or nil. Errors: ErrNoSession, ErrSilent, ErrSuperseded.
func (h *Hub) Check(now time.Time, id SessionID) error {
	s, ok := h.sessions[id]
	switch {
	case !ok:
		return ErrNoSession
	case s.superseded:
		return ErrSuperseded
	case !now.Before(s.expires()):
		return ErrSilent
	}
	return nil
}

// Next returns the update that is to be sent to a session now, or nil, and when to ask again at the latest: earlier
// only after Newest or Report. Because a driver asks once the update before is on its way, a slow session misses
// revisions in between and has one update waiting at most. Errors: those of Check.
func (h *Hub) Next(now time.Time, id SessionID) (update *configpb.Update, wake time.Time, err error) {
	if err := h.Check(now, id); err != nil {
		return nil, time.Time{}, err
	}
	s := h.sessions[id]
	if s.broker == nil {
		return nil, s.expires(), nil
	}
	send := h.lacks(now, s)
	if !send && !s.told.IsZero() && now.Before(s.told.Add(Heartbeat)) {
		return nil, earliest(s.told.Add(Heartbeat), s.resend, s.expires()), nil
	}
	update = &configpb.Update{
		Newest:         h.newest.GetNumber(),
		NewestChecksum: h.newest.GetChecksum(),
		ConfirmedMs:    milliseconds(now, h.confirmed),
		Report:         s.sequence,
		ReportMs:       milliseconds(now, s.heard),
	}
	if send {
		update.Revision = h.newest
		s.send(now, h.newest.GetNumber())
	}
	s.told = now
	return update, earliest(s.told.Add(Heartbeat), s.resend, s.expires()), nil
}

// lacks tells whether a session is to be sent the newest revision.
func (h *Hub) lacks(now time.Time, s *session) bool {
	newest := h.newest.GetNumber()
	if newest <= tried(s.broker.report) {
		s.resend = time.Time{}
		return false
	}
	return newest > s.sent || !now.Before(s.resend)
}

// send notes that a revision is sent.
func (s *session) send(now time.Time, number uint64) {
	if number != s.sent {
		s.sent, s.wait = number, resendFirst
	} else {
		s.wait = min(2*s.wait, maxResends)
	}
	s.resend = now.Add(s.wait)
}

// expires is when a session ends that does not report.
func (s *session) expires() time.Time {
	if s.heard.IsZero() {
		return s.opened.Add(FirstReportLimit)
	}
	return s.heard.Add(SessionSilence)
}

// milliseconds is how long ago something was; NeverConfirmed: it never was.
func milliseconds(now, at time.Time) uint32 {
	if at.IsZero() {
		return NeverConfirmed
	}
	age := max(now.Sub(at), 0).Milliseconds()
	return uint32(min(age, NeverConfirmed-1))
}

// earliest returns the earliest of the times that are set.
func earliest(times ...time.Time) time.Time {
	first := time.Time{}
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}
