package distribution

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

// ReportCounts holds a hub's counters of status reports.
type ReportCounts struct {
	Accepted      uint64
	Malformed     uint64 // a field is missing, too long or inconsistent with another
	WrongInstance uint64 // from a broker process other than the session's, or from one that has since restarted
	OutOfOrder    uint64 // older than the session's last report, by sequence number or revisions
}

// ReportReceived handles a status report on a session. A report that is malformed, from another instance or out of order is
// counted and dropped without an error. Errors: ErrNoSession; ErrSuperseded if a later session of the same broker, or a later
// instance of it, is connected; ErrTooManyBrokers.
func (h *Hub) ReportReceived(now time.Time, id SessionID, report *configpb.Report) error {
	s, ok := h.sessions[id]
	if !ok {
		return ErrNoSession
	}
	if s.superseded {
		return ErrSuperseded
	}
	if !isValidReport(report) {
		h.counts.Malformed++
		return nil
	}
	if s.broker == nil {
		return h.attachBroker(now, id, s, report)
	}
	previous := s.broker.lastReport
	if !sameInstance(previous, report) {
		h.counts.WrongInstance++
		return nil
	}
	if report.GetSequence() <= s.lastSequence || regresses(previous, report) {
		h.counts.OutOfOrder++
		return nil
	}
	h.decrementInForce(previous.GetInForce())
	h.applyReport(now, s, report)
	return nil
}

// attachBroker handles the first report of a session: it associates the session with its broker and supersedes the broker's
// previous session. It returns ErrSuperseded if a later instance of the broker is connected, or ErrTooManyBrokers.
func (h *Hub) attachBroker(now time.Time, id SessionID, s *session, report *configpb.Report) error {
	b := h.brokers[report.GetName()]
	if b != nil && b.session != 0 && report.GetStartedUnixMs() < b.lastReport.GetStartedUnixMs() {
		h.counts.WrongInstance++
		return ErrSuperseded
	}
	if b == nil {
		if len(h.brokers) >= MaxBrokers && !h.evictLongestDisconnected() {
			return ErrTooManyBrokers
		}
		b = &broker{}
		h.brokers[report.GetName()] = b
	}
	if b.session != 0 {
		h.sessions[b.session].superseded = true
		h.decrementInForce(b.lastReport.GetInForce())
	}
	b.session = id
	b.connectedAt = s.openedAt
	s.broker = b
	h.applyReport(now, s, report)
	return nil
}

// applyReport records a report as the latest one of its session and its broker.
func (h *Hub) applyReport(now time.Time, s *session, report *configpb.Report) {
	h.counts.Accepted++
	s.lastReportAt = now
	s.lastSequence = report.GetSequence()
	s.broker.lastSeenAt = now
	s.broker.lastReport = proto.CloneOf(report)
	h.inForceCounts[report.GetInForce()]++
	h.recordInForceEverywhere(now)
}

// decrementInForce decrements the number of connected brokers that have a revision in force.
func (h *Hub) decrementInForce(number uint64) {
	if h.inForceCounts[number] <= 0 {
		panic(fmt.Sprintf("distribution: the count of brokers with revision %d in force would become negative", number))
	}
	h.inForceCounts[number]--
	if h.inForceCounts[number] == 0 {
		delete(h.inForceCounts, number)
	}
}

// sameInstance reports whether two reports are from the same broker process.
func sameInstance(a, b *configpb.Report) bool {
	return a.GetName() == b.GetName() && a.GetStartedUnixMs() == b.GetStartedUnixMs() && a.GetZone() == b.GetZone()
}

// regresses reports whether a report is older than the previous one of the same instance, judging by the revision in force or
// the highest revision processed.
func regresses(previous, report *configpb.Report) bool {
	if report.GetInForce() < previous.GetInForce() {
		return true
	}
	return highestProcessed(report) < highestProcessed(previous)
}

// highestProcessed returns the highest revision number that a broker has acknowledged or rejected, or 0 if there is none.
func highestProcessed(report *configpb.Report) uint64 {
	return max(report.GetInForce(), report.GetRefusal().GetNumber())
}
