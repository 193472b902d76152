package decision

// Poison queries: those that crash the servers which execute them.

import (
	"maps"
	"math"
)

const (
	// poisonProbability is the probability below which resets of all attempts of a query do not count as
	// chance.
	poisonProbability = 0.05
	// quarantineDuration is in seconds. In a fleet of hundreds of brokers each one meets such a query only
	// once in about that time.
	quarantineDuration = 30.0
)

// poison is what is known of queries that crash servers.
type poison struct {
	poisonQueries   map[uint64]float64 // by fingerprint: until when retries of the query are rejected
	quarantineUntil []float64          // by class: until then a query sends one part ahead of the others
}

// crashesServers reports whether all attempts of a query were reset, more than the fleet's disconnect ratio
// explains.
func (p *Policy) crashesServers(q *query, g progress) bool {
	if q.resets <= 1 || q.phase != firstPhase {
		return false
	}
	if g.Answered != 0 || g.live != 0 {
		return false
	}
	return math.Pow(p.fleet.DisconnectRatio, float64(q.resets)) < poisonProbability
}

// quarantine rejects retries of a query until its client's deadline, and has other queries of its class send
// one part first for quarantineDuration.
func (p *Policy) quarantine(q *query) {
	p.quarantineUntil[q.Class] = p.now + quarantineDuration
	p.poisonQueries[q.fingerprint] = q.receivedAt + q.class.Deadline
}

// isPoison reports whether a query like this one is in quarantine.
func (p *Policy) isPoison(q *query) bool {
	maps.DeleteFunc(p.poisonQueries, func(_ uint64, until float64) bool { return p.now > until })
	return p.poisonQueries[q.fingerprint] > 0
}
