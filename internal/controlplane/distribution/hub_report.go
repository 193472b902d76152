package distribution

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

// ReportCounts are a hub's counters of status reports.
type ReportCounts struct {
	Accepted      uint64
	Malformed     uint64 // a field is missing, too long or contradicts another
	WrongInstance uint64 // of another broker process than the session's, or of one that has restarted since
	OutOfOrder    uint64 // older than the session's last report, by its sequence or its revisions
}

// ReportReceived handles a status report on a session. A report that is malformed, of another instance or out of order
// is counted and dropped without an error. Errors: ErrNoSession; ErrSuperseded if a later session of the same broker,
// or a later start of it, is connected; ErrTooManyBrokers.
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
	h.dropInForce(previous.GetInForce())
	h.applyReport(now, s, report)
	return nil
}

// attachBroker handles the first report of a session: it joins the session to its broker, and supersedes the broker's
// session before.
func (h *Hub) attachBroker(now time.Time, id SessionID, s *session, report *configpb.Report) error {
	b := h.brokers[report.GetName()]
	if b != nil && b.session != 0 && report.GetStartedUnixMs() < b.lastReport.GetStartedUnixMs() {
		h.counts.WrongInstance++
		return ErrSuperseded
	}
	if b == nil {
		if len(h.brokers) >= MaxBrokers && !h.forgetLongestDisconnected() {
			return ErrTooManyBrokers
		}
		b = &broker{}
		h.brokers[report.GetName()] = b
	}
	if b.session != 0 {
		h.sessions[b.session].superseded = true
		h.dropInForce(b.lastReport.GetInForce())
	}
	b.session = id
	b.connectedAt = s.openedAt
	s.broker = b
	h.applyReport(now, s, report)
	return nil
}

// applyReport makes a report the last one of its session and its broker.
func (h *Hub) applyReport(now time.Time, s *session, report *configpb.Report) {
	h.counts.Accepted++
	s.lastReportAt = now
	s.lastSequence = report.GetSequence()
	s.broker.lastSeenAt = now
	s.broker.lastReport = proto.CloneOf(report)
	h.inForceCounts[report.GetInForce()]++
	h.recordEverywhere(now)
}

// dropInForce removes one connected broker from the count of those that have a revision in force.
func (h *Hub) dropInForce(number uint64) {
	if h.inForceCounts[number] <= 0 {
		panic("distribution: the count of brokers that have a revision in force would be negative")
	}
	h.inForceCounts[number]--
	if h.inForceCounts[number] == 0 {
		delete(h.inForceCounts, number)
	}
}

// sameInstance reports whether two reports are of the same broker process.
func sameInstance(a, b *configpb.Report) bool {
	return a.GetName() == b.GetName() && a.GetStartedUnixMs() == b.GetStartedUnixMs() && a.GetZone() == b.GetZone()
}

// regresses reports whether a report goes back behind the previous one of the same instance, by the revision in force
// or by the highest one tried.
func regresses(previous, report *configpb.Report) bool {
	if report.GetInForce() < previous.GetInForce() {
		return true
	}
	return highestTried(report) < highestTried(previous)
}

// highestTried returns the highest revision that a broker has acknowledged or rejected; 0: none.
func highestTried(report *configpb.Report) uint64 {
	return max(report.GetInForce(), report.GetRefusal().GetNumber())
}
