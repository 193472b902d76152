package distribution

import (
	"errors"
	"fmt"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// MaxSessions is how many sessions a hub holds: 1,200 brokers that all follow this control machine, and 300 sessions
	// that have been superseded or whose brokers have restarted, but which have not ended yet.
	MaxSessions = 1500
	// MaxBrokers is how many brokers a hub keeps, connected or not.
	MaxBrokers = 2 * MaxSessions
	// DisconnectedRetention is how long a hub keeps a broker that has disconnected: longer than the one hour for which
	// regions may be partitioned.
	DisconnectedRetention = 2 * time.Hour
	// PropagationDeadline is how long a connected broker may take to apply or reject a revision; it is lagging after that.
	PropagationDeadline = 8 * time.Second
	// TrackedRevisions is for how many of the latest revisions a hub tracks where they are in force.
	TrackedRevisions = 64
)

// Errors of SetNewest, wrapped with the numbers of the revisions.
var (
	ErrStaleRevision    = errors.New("the revision is older than the newest one")
	ErrRevisionConflict = errors.New("the revision has the number of the newest one and another checksum")
)

// Hub is a control machine's side of the distribution. Make it with NewHub.
type Hub struct {
	newest        *configpb.Revision // nil: none
	confirmedAt   time.Time          // when a quorum last confirmed that newest is the newest; zero: never
	lastID        SessionID          // the last one assigned
	sessions      map[SessionID]*session
	brokers       map[string]*broker // by name
	inForceCounts map[uint64]int     // number of connected brokers by the revision that they have in force
	tracked       []trackedRevision  // TrackedRevisions at most, in ascending order
	counts        ReportCounts
}

// broker is the state of one broker, connected or not.
type broker struct {
	lastReport  *configpb.Report
	session     SessionID // 0: disconnected
	connectedAt time.Time // when its latest session was opened
	lastSeenAt  time.Time // its last report; if disconnected, the end of its session
}

// NewHub returns a hub without revisions and sessions.
func NewHub() *Hub {
	return &Hub{
		sessions:      map[SessionID]*session{},
		brokers:       map[string]*broker{},
		inForceCounts: map[uint64]int{},
	}
}

// SetNewest sets the newest revision of the log that this control machine has applied. The hub keeps the revision; it
// must not be modified afterwards. Numbers may be skipped. Setting the same revision again has no effect, nor has a
// call that fails. Errors: those of CheckRevision, ErrStaleRevision and ErrRevisionConflict.
func (h *Hub) SetNewest(now time.Time, revision *configpb.Revision) error {
	if err := CheckRevision(revision); err != nil {
		return err
	}
	number, newest := revision.GetNumber(), h.newest.GetNumber()
	if number < newest {
		return fmt.Errorf("revision %d, newest %d: %w", number, newest, ErrStaleRevision)
	}
	if number == newest {
		if revision.GetChecksum() != h.newest.GetChecksum() {
			return fmt.Errorf("revision %d: %w", number, ErrRevisionConflict)
		}
		return nil
	}
	h.newest = revision
	h.track(now, revision)
	h.recordEverywhere(now) // brokers may have received it from another control machine
	return nil
}

// SetConfirmed sets when a quorum last confirmed that the newest revision is the newest. A time before the present one
// has no effect.
func (h *Hub) SetConfirmed(at time.Time) {
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}
