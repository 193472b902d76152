package broker

import (
	"log/slog"
	"time"

	"mothrouter/internal/decision"
)

// defaultHealthCheckTimeout is the default of Options.HealthCheckTimeout. It is far above the round-trip time of a healthy
// server, and short enough for several checks within the time that a client waits.
const defaultHealthCheckTimeout = 250 * time.Millisecond

// Options configure a Broker.
type Options struct {
	Settings           decision.Settings
	ConcurrencyLimit   int                // queries and parts in flight; 0: no limit
	SharedLimiter      ConcurrencyLimiter // limits the queries and parts in flight over several loops; nil: no shared limit
	HealthCheckTimeout time.Duration      // 0: 250 ms
	Endpoints          *Endpoints         // shared by several loops and updated by its owner; nil: the broker creates its own
	EndedIDs           *EndedIDs          // shared by several loops; nil: the broker creates its own
	Log                *slog.Logger       // nil: slog.Default
}

// ConcurrencyLimiter limits the queries and parts that several loops have in flight together.
type ConcurrencyLimiter interface {
	// TryAcquire acquires n slots without waiting, or none, and reports whether it has acquired them.
	TryAcquire(n int) bool
	// Release releases n slots.
	Release(n int)
}

// withDefaults returns the options with defaults for Log, HealthCheckTimeout and EndedIDs. Endpoints may stay nil.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.HealthCheckTimeout <= 0 {
		o.HealthCheckTimeout = defaultHealthCheckTimeout
	}
	if o.EndedIDs == nil {
		o.EndedIDs = NewEndedIDs()
	}
	return o
}
