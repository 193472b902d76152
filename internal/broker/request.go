package broker

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Request is a query as received by a front. The core retains Payload and Parts, so they must not be modified after Submit.
type Request struct {
	ID           string // assigned by the client
	Class        int    // index into decision.Settings.Classes
	Key          uint64 // identifies the subject of the query; compared only for equality; 0: none
	Retry        bool   // the client has sent the query before
	ReceivedAt   time.Time
	Timeout      time.Duration // how long the client waits, from ReceivedAt
	TimeoutUnset bool          // ignore Timeout and use the class's deadline in force when the query is accepted
	Parts        []Part
	Payload      []byte     // sent with each part
	Conn         ClientConn // no attempt starts once its state is ClientDisconnected; nil: the front cannot detect a disconnect
}

// Part is a part of a request: the work at one shard.
type Part struct {
	Shard    int     // from 0
	Weight   float64 // fraction of the complete answer; those of a request sum to 1
	Work     float64 // estimated service time in seconds; 0: unknown
	RouteKey uint64  // identifies the data that the part reads; compared only for equality; 0: none
}

const (
	maxIDLength      = 64   // bytes; an id must fit into a line of the record servers' protocol
	weightEpsilon    = 1e-9 // tolerance for the rounding of float64
	maxWeightSlack   = 0.05 // largest tolerance for the sum of the weights
	coarseWeightStep = 0.01 // the coarsest step to which clients round weights
	fineWeightStep   = 0.001
	maxTimeout       = time.Hour // longer timeouts are client errors
)

// Normalize validates a request and scales its weights to a sum of 1: clients round them, and rounding must not make a complete
// answer look incomplete. Each Part.Shard must be below shards, unless shards is 0 because their number is unknown. Errors name
// the field of the client's protocol. Fronts send the error texts to clients, so they are part of the wire format.
func (r *Request) Normalize(shards int) error {
	if !validID(r.ID) {
		return fmt.Errorf("id: cannot use %q", r.ID)
	}
	if !r.TimeoutUnset && (r.Timeout <= 0 || r.Timeout > maxTimeout) {
		return fmt.Errorf("deadline: %v is no time to wait", r.Timeout)
	}
	if len(r.Parts) == 0 {
		return fmt.Errorf("targets: a query has a part at least")
	}
	sum := 0.0
	seenShards := make(map[int]bool, len(r.Parts))
	for i, p := range r.Parts {
		if err := p.validate(i, shards, seenShards[p.Shard]); err != nil {
			return err
		}
		seenShards[p.Shard] = true
		sum += p.Weight
	}
	if math.Abs(sum-1) > weightSlack(r.Parts) {
		return fmt.Errorf("targets: the shares sum to %g, not 1", sum)
	}
	for i := range r.Parts {
		r.Parts[i].Weight /= sum
	}
	return nil
}

// weightSlack returns by how much the weights may miss a sum of 1 because the client has rounded each of them: half a step a part,
// maxWeightSlack at most. Weights that are all hundredths have been rounded to hundredths, others to thousandths or finer.
func weightSlack(parts []Part) float64 {
	step := fineWeightStep
	if !slices.ContainsFunc(parts, func(p Part) bool { return !isHundredth(p.Weight) }) {
		step = coarseWeightStep
	}
	return min(float64(len(parts))*step/2, maxWeightSlack) + weightEpsilon
}

// isHundredth reports whether a weight is a multiple of coarseWeightStep.
func isHundredth(weight float64) bool {
	steps := weight / coarseWeightStep
	return math.Abs(steps-math.Round(steps)) < weightEpsilon
}

// validate checks the part at index in Request.Parts; duplicate is whether an earlier part has the same shard. The conditions
// are written so that NaN fails them.
func (p Part) validate(index, shards int, duplicate bool) error {
	switch {
	case p.Shard < 0 || duplicate || shards > 0 && p.Shard >= shards:
		return fmt.Errorf("targets[%d].partition: %d does not exist or stands twice", index, p.Shard)
	case !(p.Weight >= 0 && p.Weight <= 1+weightEpsilon):
		return fmt.Errorf("targets[%d].share: %g is outside 0 to 1", index, p.Weight)
	case !(p.Work >= 0) || math.IsInf(p.Work, 0):
		return fmt.Errorf("targets[%d].est_us: %g s is no time", index, p.Work)
	}
	return nil
}

// validID reports whether a query's id can be used in a line of the record servers' protocol: printable ASCII without spaces,
// of 1 to maxIDLength bytes.
func validID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	return strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}
