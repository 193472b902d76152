package distribution

import (
	"errors"
	"fmt"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// MaxSessions is the maximum number of sessions of a hub: 1,200 brokers that all follow this control machine, and 300
	// sessions that have been superseded or whose brokers have restarted, but that have not ended yet.
	MaxSessions = 1500
	// MaxBrokers is the maximum number of brokers that a hub keeps, connected or not.
	MaxBrokers = 2 * MaxSessions
	// DisconnectedRetention is how long a hub keeps a broker that has disconnected. It is longer than the longest partition
	// between regions that the system has to tolerate, one hour.
	DisconnectedRetention = 2 * time.Hour
	// PropagationDeadline is how long a connected broker may take to apply or reject a revision before it counts as lagging.
	PropagationDeadline = 8 * time.Second
	// TrackedRevisions is the number of latest revisions whose propagation a hub tracks.
	TrackedRevisions = 64
)

// Errors of SetNewest, wrapped with the numbers or checksums of the two revisions.
var (
	ErrStaleRevision    = errors.New("the revision is older than the newest one")
	ErrRevisionConflict = errors.New("the revision has the same number as the newest one but a different checksum")
)

// Hub implements the control machine's side of the protocol. Create it with NewHub.
type Hub struct {
	newest        *configpb.Revision // nil: none yet
	confirmedAt   time.Time          // when a quorum last confirmed that newest is the newest; zero: never
	lastID        SessionID          // the last ID assigned
	sessions      map[SessionID]*session
	brokers       map[string]*broker // by name
	inForceCounts map[uint64]int     // number of connected brokers by their revision in force
	tracked       []trackedRevision  // at most TrackedRevisions, in ascending order
	counts        ReportCounts
}

// broker is the state of a connected or disconnected broker.
type broker struct {
	lastReport  *configpb.Report
	session     SessionID // 0: disconnected
	connectedAt time.Time // when its latest session was opened
	lastSeenAt  time.Time // when its last report was received or, if it is disconnected, its session ended
}

// NewHub returns a hub without revisions or sessions.
func NewHub() *Hub {
	return &Hub{
		sessions:      map[SessionID]*session{},
		brokers:       map[string]*broker{},
		inForceCounts: map[uint64]int{},
	}
}

// SetNewest sets the newest revision that this control machine has applied from the log. The hub keeps the revision, so the
// caller must not modify it afterwards. Numbers may be skipped. Setting the same revision again has no effect, and neither
// does a call that returns an error. Errors: those of CheckRevision, ErrStaleRevision and ErrRevisionConflict.
func (h *Hub) SetNewest(now time.Time, revision *configpb.Revision) error {
	if err := CheckRevision(revision); err != nil {
		return err
	}
	number, newest := revision.GetNumber(), h.newest.GetNumber()
	if number < newest {
		return fmt.Errorf("revision %d, newest revision %d: %w", number, newest, ErrStaleRevision)
	}
	if number == newest {
		if revision.GetChecksum() != h.newest.GetChecksum() {
			return fmt.Errorf("revision %d with checksum %x, newest revision with checksum %x: %w", number, revision.GetChecksum(),
				h.newest.GetChecksum(), ErrRevisionConflict)
		}
		return nil
	}
	h.newest = revision
	h.track(now, revision)
	h.recordInForceEverywhere(now) // brokers may have received it from another control machine
	return nil
}

// SetConfirmed sets when a quorum last confirmed that the newest revision is the newest. It ignores a time that is not after
// the one set before.
func (h *Hub) SetConfirmed(at time.Time) {
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}
