package decision

// Poison queries: queries that crash the servers which execute them.

import (
	"maps"
	"math"
)

const (
	// poisonProbability is the significance level: if the probability that all attempts of a query were reset
	// by chance is lower, the query is considered poison.
	poisonProbability = 0.05
	// quarantineDuration is in seconds. In a fleet of hundreds of brokers, each broker receives such a query
	// only about once in that time.
	quarantineDuration = 30.0
)

// quarantineTable holds the poison queries and the classes in quarantine.
type quarantineTable struct {
	poisonQueries   map[uint64]float64 // by fingerprint: time until which retries of the query are rejected
	quarantineUntil []float64          // by class: time until which queries send one part before the others
}

// crashesServers reports whether all attempts of a query were reset and the fleet's disconnect ratio does not
// explain that.
func (p *Policy) crashesServers(q *query, current progress) bool {
	if q.resets <= 1 || q.phase != firstPhase {
		return false
	}
	if current.Answered != 0 || current.attemptsInFlight != 0 {
		return false
	}
	return math.Pow(p.fleet.DisconnectRatio, float64(q.resets)) < poisonProbability
}

// quarantine causes retries of a query to be rejected until its client's deadline and, for
// quarantineDuration, other queries of its class to send one part before the others.
func (p *Policy) quarantine(q *query) {
	p.quarantineUntil[q.Class] = p.now + quarantineDuration
	p.poisonQueries[q.fingerprint] = q.receivedAt + q.class.Deadline
}

// isPoison reports whether a query with the same fingerprint is in quarantine.
func (p *Policy) isPoison(q *query) bool {
	maps.DeleteFunc(p.poisonQueries, func(_ uint64, until float64) bool { return p.now > until })
	return p.poisonQueries[q.fingerprint] > 0
}
