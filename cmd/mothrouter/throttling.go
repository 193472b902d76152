package main

import (
	"context"
	"time"

	"mothrouter/internal/assembly"
)

const (
	// throttlingInterval is how often the process looks whether it has throttled the input of clients.
	throttlingInterval = 10 * time.Second
	// minThrottledTime is how much of an interval the input must have paused for a log line.
	minThrottledTime = throttlingInterval / 10
)

// throttlingLog returns the component that logs when the input of clients is throttled, since some send more than their share.
func (p *process) throttlingLog() assembly.Component {
	return assembly.Component{Name: "throttling log", Run: func(ctx context.Context) {
		ticker := time.NewTicker(throttlingInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				p.logThrottling()
			case <-ctx.Done():
				return
			}
		}
	}}
}

// logThrottling logs how the input of clients was throttled since the last call, if it was for minThrottledTime.
func (p *process) logThrottling() {
	stats := p.scheduler.TakeStats()
	if stats.Paused < minThrottledTime {
		return
	}
	p.log.Warn("client input throttled", "paused", stats.Paused, "pauses", stats.Pauses, "most waiting", stats.MaxWaiting)
}
