package controlserver

import "log/slog"

// dropLogger logs how many messages between control machines were dropped since its last log line.
type dropLogger struct {
	envelopes EnvelopeCounts // received, when last logged
	dropped   uint64         // outgoing, when last logged
}

// logChanges logs the messages dropped since its last call, if any.
func (r *dropLogger) logChanges(logger *slog.Logger, envelopes EnvelopeCounts, dropped uint64) {
	before := r.envelopes
	r.envelopes = envelopes
	bad := EnvelopeCounts{
		Foreign:    envelopes.Foreign - before.Foreign,
		Oversized:  envelopes.Oversized - before.Oversized,
		Unreadable: envelopes.Unreadable - before.Unreadable,
	}
	if bad != (EnvelopeCounts{}) {
		logger.Warn("messages of control machines dropped", "foreign", bad.Foreign, "oversized", bad.Oversized,
			"unreadable", bad.Unreadable)
	}
	if dropped > r.dropped {
		logger.Warn("messages to control machines dropped by a full outbox", "count", dropped-r.dropped)
	}
	r.dropped = dropped
}
