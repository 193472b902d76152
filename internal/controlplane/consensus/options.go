package consensus

import (
	"fmt"
	"log/slog"
	"time"
)

// Options configures a Node.
type Options struct {
	ID      uint64   // id of this member, not 0
	Members []uint64 // ids of all members, including this one

	// Incarnation distinguishes this run of the member from earlier ones, whose read responses may still be in flight.
	// It must differ between runs; the start time in nanoseconds is a suitable value.
	Incarnation uint64

	TickInterval time.Duration // 0: DefaultTickInterval
	VoterTimeout time.Duration // 0: DefaultVoterTimeout; at least the election timeout
	Logger       *slog.Logger  // nil: no logging

	// snapshotEntries and trailingEntries are set to smaller values by tests. If snapshotEntries is 0, they default to
	// SnapshotEntries and to the constant trailingEntries.
	snapshotEntries int
	trailingEntries int
}

// withDefaults returns the options with defaults in place of zero values. Its error wraps ErrInvalidOptions.
func (o Options) withDefaults() (Options, error) {
	if o.TickInterval == 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.VoterTimeout == 0 {
		o.VoterTimeout = DefaultVoterTimeout
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.snapshotEntries == 0 {
		o.snapshotEntries, o.trailingEntries = SnapshotEntries, trailingEntries
	}
	return o, o.check()
}

func (o Options) check() error {
	seen := make(map[uint64]bool, len(o.Members))
	for _, id := range o.Members {
		if id == 0 || id > maxMemberID {
			return fmt.Errorf("%w: member id %d, want 1 to %d", ErrInvalidOptions, id, uint64(maxMemberID))
		}
		if seen[id] {
			return fmt.Errorf("%w: duplicate member id %d", ErrInvalidOptions, id)
		}
		seen[id] = true
	}
	switch {
	case !seen[o.ID]:
		return fmt.Errorf("%w: member %d is not in Members %d", ErrInvalidOptions, o.ID, o.Members)
	case o.TickInterval < 0:
		return fmt.Errorf("%w: tick interval %v, want a positive duration", ErrInvalidOptions, o.TickInterval)
	case o.VoterTimeout < o.electionTimeout():
		return fmt.Errorf("%w: voter timeout %v, want at least the election timeout %v", ErrInvalidOptions, o.VoterTimeout,
			o.electionTimeout())
	}
	return nil
}

func (o Options) electionTimeout() time.Duration { return electionTicks * o.TickInterval }
