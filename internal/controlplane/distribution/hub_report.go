package distribution

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

// ReportReceived takes a report of a session. One that is malformed, of another instance or older than the one before is
// counted and dropped without an error. Errors: ErrNoSession; ErrSuperseded where a later start of the same broker is
// connected; ErrFull where too many brokers are remembered.
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
	before := s.broker.lastReport
	if !sameInstance(before, report) {
		h.counts.WrongInstance++
		return nil
	}
	if report.GetSequence() <= s.lastSequence || regresses(before, report) {
		h.counts.OutOfOrder++
		return nil
	}
	h.dropInForce(before.GetInForce())
	h.applyReport(now, s, report)
	return nil
}

// attachBroker joins a session and its broker. A former session of the same broker is superseded.
func (h *Hub) attachBroker(now time.Time, id SessionID, s *session, report *configpb.Report) error {
	b := h.brokers[report.GetName()]
	if b != nil && b.session != 0 && report.GetStartedUnixMs() < b.lastReport.GetStartedUnixMs() {
		h.counts.WrongInstance++
		return ErrSuperseded
	}
	if b == nil {
		if len(h.brokers) >= MaxBrokers && !h.forgetLongestDisconnected() {
			return ErrTooManySessions
		}
		b = &broker{}
		h.brokers[report.GetName()] = b
	}
	if b.session != 0 {
		h.sessions[b.session].superseded = true
		h.dropInForce(b.lastReport.GetInForce())
	}
	b.session, b.connectedAt = id, s.openedAt
	s.broker = b
	h.applyReport(now, s, report)
	return nil
}

// applyReport makes a report the last one of its session's broker.
func (h *Hub) applyReport(now time.Time, s *session, report *configpb.Report) {
	h.counts.Accepted++
	s.lastReportAt, s.lastSequence = now, report.GetSequence()
	s.broker.lastSeenAt = now
	s.broker.lastReport = proto.CloneOf(report)
	h.inForceCounts[report.GetInForce()]++
	h.recordEverywhere(now)
}

// dropInForce takes a connected broker out of those that have a revision in force.
func (h *Hub) dropInForce(number uint64) {
	if h.inForceCounts[number] <= 0 {
		panic("distribution: fewer brokers have a revision in force than none")
	}
	if h.inForceCounts[number]--; h.inForceCounts[number] == 0 {
		delete(h.inForceCounts, number)
	}
}

func sameInstance(a, b *configpb.Report) bool {
	return a.GetName() == b.GetName() && a.GetStartedUnixMs() == b.GetStartedUnixMs() && a.GetZone() == b.GetZone()
}

// regresses tells whether a report contradicts the order of those of one instance: what is in force only rises, and so
// does the highest revision that was tried.
func regresses(before, report *configpb.Report) bool {
	if report.GetInForce() < before.GetInForce() {
		return true
	}
	return highestTried(report) < highestTried(before)
}

// highestTried returns the highest revision that a broker has tried to put in force; 0: none.
func highestTried(report *configpb.Report) uint64 {
	return max(report.GetInForce(), report.GetRefusal().GetNumber())
}
