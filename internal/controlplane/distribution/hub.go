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
	// DisconnectedRetention is how long a broker that is not connected is remembered: regions lose each other for an hour.
	DisconnectedRetention = 2 * time.Hour
	// FirstReportTimeout is how long a session may be open without a report.
	FirstReportTimeout = 5 * time.Second
	// SessionTimeout is how long a session may be without a report: three are due within, and 5 s of slack.
	SessionTimeout = 3*ReportInterval + 5*time.Second
	// PropagationDeadline is how long a broker may take to have a revision in force.
	PropagationDeadline = 8 * time.Second
	// TrackedRevisions is how many of the latest revisions are booked.
	TrackedRevisions = 64

	// A revision that was sent and neither reported in force nor refused is sent again: 16 KiB every 3 s at first,
	// every 24 s later.
	minResendBackoff = 3 * time.Second
	maxResendBackoff = 24 * time.Second
)

// Errors of a Hub. A session whose Next or Report returns one has to be closed.
var (
	ErrTooManySessions = errors.New("too many sessions")
	ErrNoSession       = errors.New("there is no such session")
	ErrSessionTimeout  = errors.New("the session is silent")
	ErrSuperseded      = errors.New("another session of this broker has taken its place")
)

// Errors of Newest.
var (
	ErrStaleRevision    = errors.New("the revision is older than the newest one")
	ErrRevisionConflict = errors.New("the revision has the number of the newest one and another content")
)

// SessionID names one stream of a broker at one hub. It is never used again.
type SessionID uint64

// ReportCounts are the reports of a hub, by what became of them.
type ReportCounts struct {
	Accepted      uint64
	Malformed     uint64 // a field is absent, too long or contradicts another
	WrongInstance uint64 // of another instance than the session's, or of one that a later start has replaced
	OutOfOrder    uint64 // goes back behind an earlier report of the session
}

// session is one stream of a broker.
type session struct {
	openedAt     time.Time
	lastReportAt time.Time // of the last report that was taken; zero: none yet
	broker       *broker   // nil: before the first report
	lastSequence uint64    // of the last report that was taken
	superseded   bool

	lastUpdateAt     time.Time // of the last update; zero: none yet
	lastSentRevision uint64    // number of the last revision that was sent; 0: none
	resendAt         time.Time // when that one is sent again
	resendBackoff    time.Duration
}

// broker is what a hub knows of one broker.
type broker struct {
	lastReport  *configpb.Report
	session     SessionID // 0: it is cut off
	connectedAt time.Time // of its latest session
	lastSeenAt  time.Time // of the last report; once cut off: of the end of its session, if that was later
}

// Hub is a control machine's side of the distribution. Make it with NewHub.
type Hub struct {
	newest        *configpb.Revision // nil: none
	confirmedAt   time.Time          // zero: never
	lastID        SessionID
	sessions      map[SessionID]*session
	brokers       map[string]*broker // by name
	inForceCounts map[uint64]int     // of the connected brokers that have reported: how many have which revision in force
	tracked       []trackedRevision  // the latest revisions, in ascending order
	counts        ReportCounts
}

// NewHub returns a hub without revisions and sessions.
func NewHub() *Hub {
	return &Hub{
		sessions:      map[SessionID]*session{},
		brokers:       map[string]*broker{},
		inForceCounts: map[uint64]int{},
	}
}

// SetNewest tells which revision is the newest one of the log that this machine has applied. The revision is kept: it must
// not be changed afterwards. Numbers may be skipped. The same revision again changes nothing. Errors: those of
// CheckRevision, ErrOlder and ErrConflict; they change nothing.
func (h *Hub) SetNewest(now time.Time, revision *configpb.Revision) error {
	if err := CheckRevision(revision); err != nil {
		return err
	}
	switch newest := h.newest.GetNumber(); {
	case revision.GetNumber() < newest:
		return ErrStaleRevision
	case revision.GetNumber() == newest:
		if revision.GetChecksum() != h.newest.GetChecksum() {
			return ErrRevisionConflict
		}
		return nil
	}
	h.newest = revision
	h.track(now, revision)
	h.recordEverywhere(now) // brokers may have had it from another control machine
	return nil
}

// SetConfirmed tells when a quorum last confirmed that the newest revision is the newest. An earlier time than the one
// told before changes nothing.
func (h *Hub) SetConfirmed(at time.Time) {
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// OpenSession begins a session. Errors: ErrFull.
func (h *Hub) OpenSession(now time.Time) (SessionID, error) {
	if len(h.sessions) >= MaxSessions {
		return 0, ErrTooManySessions
	}
	h.lastID++
	h.sessions[h.lastID] = &session{openedAt: now}
	return h.lastID, nil
}

// CloseSession ends a session. One that does not exist is ignored.
func (h *Hub) CloseSession(now time.Time, id SessionID) {
	s, ok := h.sessions[id]
	if !ok {
		return
	}
	delete(h.sessions, id)
	if s.broker != nil && s.broker.session == id {
		h.brokerDisconnected(now, s.broker)
	}
}

// brokerDisconnected notes that a broker has no session any more.
func (h *Hub) brokerDisconnected(now time.Time, b *broker) {
	b.session, b.lastSeenAt = 0, now
	h.dropInForce(b.lastReport.GetInForce())
	h.recordEverywhere(now)
}

// CheckSession returns why a session has to be closed, or nil. Errors: ErrNoSession, ErrSilent, ErrSuperseded.
func (h *Hub) CheckSession(now time.Time, id SessionID) error {
	s, ok := h.sessions[id]
	switch {
	case !ok:
		return ErrNoSession
	case s.superseded:
		return ErrSuperseded
	case !now.Before(s.timeoutAt()):
		return ErrSessionTimeout
	}
	return nil
}

// NextUpdate returns the update that is to be sent to a session now, or nil, and when to ask again at the latest: earlier
// only after Newest or Report. Because a driver asks once the update before is on its way, a slow session misses
// revisions in between and has one update waiting at most. Errors: those of Check.
func (h *Hub) NextUpdate(now time.Time, id SessionID) (update *configpb.Update, wake time.Time, err error) {
	if err := h.CheckSession(now, id); err != nil {
		return nil, time.Time{}, err
	}
	s := h.sessions[id]
	if s.broker == nil {
		return nil, s.timeoutAt(), nil
	}
	send := h.revisionDue(now, s)
	if !send && !s.lastUpdateAt.IsZero() && now.Before(s.lastUpdateAt.Add(Heartbeat)) {
		return nil, earliest(s.lastUpdateAt.Add(Heartbeat), s.resendAt, s.timeoutAt()), nil
	}
	update = &configpb.Update{
		Newest:         h.newest.GetNumber(),
		NewestChecksum: h.newest.GetChecksum(),
		ConfirmedMs:    ageMilliseconds(now, h.confirmedAt),
		Report:         s.lastSequence,
		ReportMs:       ageMilliseconds(now, s.lastReportAt),
	}
	if send {
		update.Revision = h.newest
		s.recordSend(now, h.newest.GetNumber())
	}
	s.lastUpdateAt = now
	return update, earliest(s.lastUpdateAt.Add(Heartbeat), s.resendAt, s.timeoutAt()), nil
}

// revisionDue tells whether a session is to be sent the newest revision.
func (h *Hub) revisionDue(now time.Time, s *session) bool {
	newest := h.newest.GetNumber()
	if newest <= highestTried(s.broker.lastReport) {
		s.resendAt = time.Time{}
		return false
	}
	return newest > s.lastSentRevision || !now.Before(s.resendAt)
}

// recordSend notes that a revision is sent.
func (s *session) recordSend(now time.Time, number uint64) {
	if number != s.lastSentRevision {
		s.lastSentRevision, s.resendBackoff = number, minResendBackoff
	} else {
		s.resendBackoff = min(2*s.resendBackoff, maxResendBackoff)
	}
	s.resendAt = now.Add(s.resendBackoff)
}

// timeoutAt is when a session ends that does not report.
func (s *session) timeoutAt() time.Time {
	if s.lastReportAt.IsZero() {
		return s.openedAt.Add(FirstReportTimeout)
	}
	return s.lastReportAt.Add(SessionTimeout)
}

// ageMilliseconds is how long ago something was; NeverConfirmed: it never was.
func ageMilliseconds(now, at time.Time) uint32 {
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
