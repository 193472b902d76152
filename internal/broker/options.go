package broker

import (
	"log/slog"
	"time"

	"mothrouter/internal/decision"
)

// defaultHealthCheckTimeout ends a health check that has no result yet. It is far above the round trip of a healthy server,
// and short enough for several checks within the time that a client waits.
const defaultHealthCheckTimeout = 250 * time.Millisecond

// Options are the broker's own part of a deployment's configuration.
type Options struct {
	Settings           decision.Settings
	ConcurrencyLimit   int                // queries and parts in flight; 0: no limit
	SharedLimiter      ConcurrencyLimiter // limits queries and parts of several loops together; nil: none does
	HealthCheckTimeout time.Duration      // 0: 250 ms
	Endpoints          *Endpoints         // shared by several loops and updated by its owner; nil: the broker makes its own
	Log                *slog.Logger       // nil: slog.Default
}

// ConcurrencyLimiter limits what several loops have in flight.
type ConcurrencyLimiter interface {
	// TryAcquire acquires n slots without waiting and reports whether it has; if not, it holds none of them.
	TryAcquire(n int) bool
	// Release returns n slots.
	Release(n int)
}

// withDefaults returns the options with their defaults filled in. Endpoints stays as it is.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.HealthCheckTimeout <= 0 {
		o.HealthCheckTimeout = defaultHealthCheckTimeout
	}
	return o
}
