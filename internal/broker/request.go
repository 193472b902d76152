package broker

import (
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"time"
)

// Request is one query as a front received it. The core keeps Payload and Parts: they must outlive the call.
type Request struct {
	ID              string // the client's name for it
	Class           int
	Key             uint64 // what it is about; 0: not told
	Retry           bool
	ReceivedAt      time.Time
	Timeout         time.Duration // how long the client waits
	TimeoutUnstated bool          // it has not said so: Timeout is the deadline of its class when the query is accepted
	Parts           []Part
	Payload         []byte // what each part carries
	// Disconnected is set by the front, on any goroutine, the moment it learns that the client has gone: no attempt starts
	// from then on, however long the loop needs to hear of it. Nil: the front cannot learn it.
	Disconnected *atomic.Bool
}

// disconnected tells that the client has gone.
func (r *Request) disconnected() bool { return r.Disconnected != nil && r.Disconnected.Load() }

// Part is one part of a request.
type Part struct {
	Shard    int
	Weight   float64 // of the whole answer
	Work     float64 // seconds expected; 0: unknown
	RouteKey uint64
}

const (
	maxIDLength = 64
	weightSlack = 0.05 // clients round shares
	maxTimeout  = time.Hour
)

// Normalize checks a request, whatever front it came by, and has its weights sum to 1: clients round them, and a complete
// answer must not be missed by a rounding. There are so many shards; 0: not told. Its errors name the field as clients
// know it.
func (r *Request) Normalize(shards int) error {
	if !validID(r.ID) {
		return fmt.Errorf("id: cannot use %q", r.ID)
	}
	if !r.TimeoutUnstated && (r.Timeout <= 0 || r.Timeout > maxTimeout) {
		return fmt.Errorf("deadline: %v is no time to wait", r.Timeout)
	}
	if len(r.Parts) == 0 {
		return fmt.Errorf("targets: a query has a part at least")
	}
	seen, sum := make(map[int]bool, len(r.Parts)), 0.0
	for i, p := range r.Parts {
		switch {
		case p.Shard < 0 || seen[p.Shard] || shards > 0 && p.Shard >= shards:
			return fmt.Errorf("targets[%d].partition: %d does not exist or stands twice", i, p.Shard)
		case !(p.Weight >= 0 && p.Weight <= 1+weightSlack):
			return fmt.Errorf("targets[%d].share: %g is outside 0 to 1", i, p.Weight)
		case !(p.Work >= 0) || math.IsInf(p.Work, 0):
			return fmt.Errorf("targets[%d].est_us: %g s is no time", i, p.Work)
		}
		seen[p.Shard] = true
		sum += p.Weight
	}
	if math.Abs(sum-1) > weightSlack {
		return fmt.Errorf("targets: the shares sum to %g, not 1", sum)
	}
	for i := range r.Parts {
		r.Parts[i].Weight /= sum
	}
	return nil
}

// validID tells whether a query's name can be part of a line of the record servers' protocol.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}
