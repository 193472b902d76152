package distribution

import (
	"errors"
	"fmt"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// FirstReportTimeout is how long a session may be open before its first status report.
	FirstReportTimeout = 5 * time.Second
	// SessionTimeout is how long a session may go without a status report: three report intervals and 5 s of slack.
	SessionTimeout = 3*ReportInterval + 5*time.Second

	// minResendBackoff and maxResendBackoff bound the doubling interval at which a revision is resent until the broker
	// acknowledges or rejects it. A document of 16 KiB costs 5 KB/s at the minimum and 0.7 KB/s at the maximum.
	minResendBackoff = 3 * time.Second
	maxResendBackoff = 24 * time.Second
)

// Errors of a hub's sessions. The driver must close a session for which CheckSession, NextUpdate or ReportReceived returns an
// error.
var (
	ErrTooManySessions = fmt.Errorf("more than %d sessions", MaxSessions)
	ErrTooManyBrokers  = fmt.Errorf("more than %d connected brokers", MaxBrokers)
	ErrNoSession       = errors.New("the session does not exist")
	ErrSessionTimeout  = errors.New("no status report before the session's timeout")
	ErrSuperseded      = errors.New("another session of this broker has superseded this one")
)

// SessionID identifies a session of a hub. IDs start at 1 and are never reused.
type SessionID uint64

// session is a stream of a broker.
type session struct {
	openedAt     time.Time
	lastReportAt time.Time // zero: no report yet
	lastSequence uint64    // sequence number of the last accepted report
	broker       *broker   // nil: no report yet
	superseded   bool      // a later session of the same broker is connected

	lastUpdateAt     time.Time     // zero: no update yet
	lastSentRevision uint64        // number of the last revision sent; 0: none
	resendAt         time.Time     // when to send lastSentRevision again
	resendBackoff    time.Duration // delay between the last send and resendAt
}

// OpenSession opens a session. It returns ErrTooManySessions if there are MaxSessions.
func (h *Hub) OpenSession(now time.Time) (SessionID, error) {
	if len(h.sessions) >= MaxSessions {
		return 0, ErrTooManySessions
	}
	h.lastID++
	h.sessions[h.lastID] = &session{openedAt: now}
	return h.lastID, nil
}

// CloseSession closes a session. It does nothing if the session does not exist.
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

// brokerDisconnected handles the end of a broker's current session.
func (h *Hub) brokerDisconnected(now time.Time, b *broker) {
	b.session = 0
	b.lastSeenAt = now
	h.decrementInForce(b.lastReport.GetInForce())
	h.recordInForceEverywhere(now)
}

// CheckSession returns why a session must be closed (ErrNoSession, ErrSuperseded or ErrSessionTimeout), or nil.
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

// NextUpdate returns the update to send on a session now, or nil, and the latest time for the next call. An earlier call is
// only useful after SetNewest or ReportReceived. The driver calls NextUpdate when it has sent the previous update, so a slow
// session skips revisions instead of queueing them. NextUpdate returns the errors of CheckSession.
func (h *Hub) NextUpdate(now time.Time, id SessionID) (update *configpb.Update, wakeAt time.Time, err error) {
	if err := h.CheckSession(now, id); err != nil {
		return nil, time.Time{}, err
	}
	s := h.sessions[id]
	if s.broker == nil {
		return nil, s.timeoutAt(), nil
	}
	revisionDue := h.revisionDue(now, s)
	heartbeatDue := s.lastUpdateAt.IsZero() || !now.Before(s.lastUpdateAt.Add(HeartbeatInterval))
	if !revisionDue && !heartbeatDue {
		return nil, s.nextUpdateAt(), nil
	}
	update = h.heartbeat(now, s)
	if revisionDue {
		update.Revision = h.newest
		s.recordSend(now, h.newest.GetNumber())
	}
	s.lastUpdateAt = now
	return update, s.nextUpdateAt(), nil
}

// heartbeat returns an update without a revision.
func (h *Hub) heartbeat(now time.Time, s *session) *configpb.Update {
	return &configpb.Update{
		Newest:         h.newest.GetNumber(),
		NewestChecksum: h.newest.GetChecksum(),
		ConfirmedMs:    ageMilliseconds(now, h.confirmedAt),
		Report:         s.lastSequence,
		ReportMs:       ageMilliseconds(now, s.lastReportAt),
	}
}

// revisionDue reports whether to send the newest revision on a session: the broker has neither acknowledged nor rejected it,
// and it has not been sent yet or its resend is due.
func (h *Hub) revisionDue(now time.Time, s *session) bool {
	newest := h.newest.GetNumber()
	if newest <= highestProcessed(s.broker.lastReport) {
		s.resendAt = time.Time{}
		return false
	}
	return newest > s.lastSentRevision || !now.Before(s.resendAt)
}

// recordSend records that a revision is being sent, and schedules its resend.
func (s *session) recordSend(now time.Time, number uint64) {
	if number != s.lastSentRevision {
		s.lastSentRevision = number
		s.resendBackoff = minResendBackoff
	} else {
		s.resendBackoff = min(2*s.resendBackoff, maxResendBackoff)
	}
	s.resendAt = now.Add(s.resendBackoff)
}

// nextUpdateAt returns the earliest time at which a heartbeat or resend is due or the session times out.
func (s *session) nextUpdateAt() time.Time {
	return earliest(s.lastUpdateAt.Add(HeartbeatInterval), s.resendAt, s.timeoutAt())
}

// timeoutAt returns when the session times out unless a status report arrives earlier.
func (s *session) timeoutAt() time.Time {
	if s.lastReportAt.IsZero() {
		return s.openedAt.Add(FirstReportTimeout)
	}
	return s.lastReportAt.Add(SessionTimeout)
}
