package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// HealthCheck is one health check of a record server.
type HealthCheck struct {
	Server          *Server
	Addr            string // HOST:PORT of the server when the check was created
	WantsLoadReport bool   // the server shall include its load report
	Deadline        time.Time

	broker    *Broker
	sentAt    float64 // Unix seconds
	finished  atomic.Bool
	stopTimer func() // stops the timeout; owned by the loop
}

// Finish reports the check's result to the core. Only the first Finish has an effect.
func (h *HealthCheck) Finish(r CallResult) {
	if !h.finished.Swap(true) {
		h.broker.post(func() { h.broker.onHealthChecked(h, r) })
	}
}

// TryStart reports whether the check's first byte may be written. The link calls it immediately before the write, as for a
// call. If the server has become unavailable or the deadline has passed, the check finishes as NotSent.
func (h *HealthCheck) TryStart() bool {
	if h.Server.Unavailable() || !time.Now().Before(h.Deadline) {
		h.Finish(ResultOf(decision.NotSent))
	}
	return !h.finished.Load()
}

// checkHealth starts a health check of the server with the id, if it is available.
func (b *Broker) checkHealth(id string) {
	s := b.endpoints.get(id)
	if s == nil || s.Unavailable() {
		return
	}
	h := &HealthCheck{
		Server:          s,
		Addr:            s.Addr,
		WantsLoadReport: b.options.Settings.ReportMode != decision.ReportNone,
		Deadline:        time.Now().Add(b.options.HealthCheckTimeout),
		broker:          b,
		sentAt:          b.clock.now(),
	}
	h.stopTimer = b.after(b.options.HealthCheckTimeout, func() {
		if !h.finished.Swap(true) {
			b.onHealthChecked(h, ResultOf(decision.TimedOut))
		}
	})
	b.link.CheckHealth(h)
}

// onHealthChecked passes the result of a health check to the Decider.
func (b *Broker) onHealthChecked(h *HealthCheck, r CallResult) {
	h.stopTimer()
	b.enqueueEvent(decision.HealthChecked{
		Server:     h.Server.ID,
		Status:     r.Status,
		Latency:    b.clock.now() - h.sentAt,
		LoadReport: r.LoadReport,
	})
}
