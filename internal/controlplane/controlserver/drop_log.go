package controlserver

import "log/slog"

// dropLogger logs how many messages between control machines were dropped since the previous call of logNewDrops.
type dropLogger struct {
	envelopes EnvelopeCounts // counts of received envelopes at the previous call
	dropped   uint64         // number of outgoing messages dropped before the previous call
}

// logNewDrops logs the number of messages dropped since the previous call, if any.
func (l *dropLogger) logNewDrops(logger *slog.Logger, envelopes EnvelopeCounts, dropped uint64) {
	before := l.envelopes
	l.envelopes = envelopes
	invalid := EnvelopeCounts{
		Foreign:    envelopes.Foreign - before.Foreign,
		Oversized:  envelopes.Oversized - before.Oversized,
		Unreadable: envelopes.Unreadable - before.Unreadable,
	}
	if invalid != (EnvelopeCounts{}) {
		logger.Warn("dropped invalid messages from other control machines", "foreign", invalid.Foreign,
			"oversized", invalid.Oversized, "unreadable", invalid.Unreadable)
	}
	if dropped > l.dropped {
		logger.Warn("dropped messages to other control machines because the outbox was full", "count", dropped-l.dropped)
	}
	l.dropped = dropped
}
