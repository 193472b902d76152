package broker

import (
	"errors"
	"fmt"
	"time"

	"mothrouter/internal/decision"
)

// ruleViolationError describes an attempt that a safety rule forbids.
type ruleViolationError struct {
	rule     error // one of the errors below, a maxAttemptsError or a wrongShardError
	query    string
	shard    int
	server   string    // id of the server that the Decider chose
	deadline time.Time // of the query
}

func (e *ruleViolationError) Error() string {
	return fmt.Sprintf("query %q, shard %d, server %q, deadline %s: %v",
		e.query, e.shard, e.server, e.deadline.Format(time.RFC3339Nano), e.rule)
}

func (e *ruleViolationError) Unwrap() error { return e.rule }

// Violations of the safety rules for attempts, which hold whatever the Decider asks for.
var (
	errPartFinished      = errors.New("the part has finished")
	errAttemptInFlight   = errors.New("an attempt of the part is in flight")
	errNotIdempotent     = errors.New("an attempt of the non-idempotent part may have run")
	errWindowExpired     = errors.New("an attempt of the part may have run and its idempotency window has expired")
	errDisconnected      = errors.New("the client has disconnected")
	errServerUnavailable = errors.New("the server is draining, removed or not listed")
	errDeadlineExceeded  = errors.New("the deadline is exceeded")
)

// maxAttemptsError reports an attempt beyond Settings.MaxAttempts. Its value is that limit.
type maxAttemptsError int

func (e maxAttemptsError) Error() string {
	return fmt.Sprintf("the part has had its maximum of %d attempts", int(e))
}

// wrongShardError reports an attempt at a server whose replica set does not hold the part's shard.
type wrongShardError struct {
	shard      int
	replicaSet int
}

func (e wrongShardError) Error() string {
	return fmt.Sprintf("replica set %d does not hold shard %d", e.replicaSet, e.shard)
}

// checkRules returns nil if an attempt of a part may be sent to a server, and a *ruleViolationError otherwise. server is the
// available server with serverID, or nil if there is none.
func (b *Broker) checkRules(pt *part, serverID string, server *Server) error {
	rule := b.violatedRule(pt, server)
	if rule == nil {
		return nil
	}
	return &ruleViolationError{
		rule:     rule,
		query:    pt.query.request.ID,
		shard:    pt.Shard,
		server:   serverID,
		deadline: pt.query.deadline,
	}
}

// violatedRule returns an error for the first rule that an attempt would violate, or nil.
func (b *Broker) violatedRule(pt *part, server *Server) error {
	settings := &b.options.Settings
	switch {
	case pt.finished || pt.answered:
		return errPartFinished
	case pt.call != nil:
		return errAttemptInFlight
	case settings.MaxAttempts > 0 && pt.attempts > settings.MaxAttempts:
		return maxAttemptsError(settings.MaxAttempts)
	case pt.mayHaveRun && pt.query.class.Idempotency == decision.NonIdempotent:
		return errNotIdempotent
	case !pt.retryUntil.IsZero() && !time.Now().Before(pt.retryUntil):
		return errWindowExpired
	case pt.query.request.disconnected():
		return errDisconnected
	case server == nil || server.Unavailable():
		return errServerUnavailable
	case !holdsShard(settings, server.ReplicaSet, pt.Shard):
		return wrongShardError{pt.Shard, server.ReplicaSet}
	case !time.Now().Before(pt.query.deadline):
		return errDeadlineExceeded
	}
	return nil
}

// holdsShard reports whether the servers of a replica set hold a shard. Shard s is held by ReplicationFactor consecutive
// replica sets, starting with set s modulo ReplicaSets. Without replica sets every server holds every shard.
func holdsShard(settings *decision.Settings, replicaSet, shard int) bool {
	sets := settings.ReplicaSets
	if sets <= 0 {
		return true
	}
	offset := (replicaSet - shard%sets + sets) % sets
	return offset < max(settings.ReplicationFactor, 1)
}

// mayHaveRun reports whether an attempt that finished with a status may have run at its server.
func mayHaveRun(status decision.Status) bool {
	switch status {
	case decision.Overloaded, decision.Unreachable, decision.NotSent:
		return false
	}
	return true
}
