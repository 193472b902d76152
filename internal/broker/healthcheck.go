package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// HealthCheck asks a record server for its health.
type HealthCheck struct {
	Server          *Server
	Addr            string
	WantsLoadReport bool
	Deadline        time.Time

	broker    *Broker
	sentAt    float64
	finished  atomic.Bool
	stopTimer func() // owned by the loop
}

// Finish tells a check's result. Only the first counts.
func (h *HealthCheck) Finish(r CallResult) {
	if !h.finished.Swap(true) {
		h.broker.post(func() { h.broker.onHealthChecked(h, r) })
	}
}

// TryStart is asked by the link just before the first byte of a check is written, as for a call.
func (h *HealthCheck) TryStart() bool {
	if h.Server.Unavailable() || !time.Now().Before(h.Deadline) {
		h.Finish(ResultOf(decision.NotSent))
	}
	return !h.finished.Load()
}

func (b *Broker) checkHealth(id string) {
	s := b.endpoints.get(id)
	if s == nil || s.Unavailable() {
		return
	}
	h := &HealthCheck{
		broker: b, Server: s, Addr: s.Addr, WantsLoadReport: b.options.Settings.ReportMode != decision.ReportNone,
		sentAt: b.clock.now(), Deadline: time.Now().Add(b.options.HealthCheckTimeout),
	}
	h.stopTimer = b.after(b.options.HealthCheckTimeout, func() {
		if !h.finished.Swap(true) {
			b.onHealthChecked(h, ResultOf(decision.TimedOut))
		}
	})
	b.link.CheckHealth(h)
}

func (b *Broker) onHealthChecked(h *HealthCheck, r CallResult) {
	h.stopTimer()
	b.enqueueEvent(decision.HealthChecked{
		Server: h.Server.ID, Status: r.Status, Latency: b.clock.now() - h.sentAt, LoadReport: r.LoadReport,
	})
}
