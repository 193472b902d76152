package broker

import (
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"time"
)

// Request is one query as a front took it. The core keeps Text and Parts: they must outlive the call.
type Request struct {
	ID       string // the client's name for it
	Class    int
	Key      uint64 // what it is about; 0: not told
	Retry    bool
	Arrived  time.Time
	Patience time.Duration // how long the client waits
	Unstated bool          // it has not said so: Patience is the deadline of its class when the query is taken
	Parts    []Part
	Text     []byte // what each part carries
	// Left is set by the front, on whatever goroutine, the moment it learns that the client has gone: no attempt begins
	// from then on, however long the loop needs to hear of it. Nil: that cannot be learnt.
	Left *atomic.Bool
}

// gone tells that the client has left.
func (r *Request) gone() bool { return r.Left != nil && r.Left.Load() }

// Part is one part of a request.
type Part struct {
	Shard int
	Share float64 // of the whole answer
	Work  float64 // seconds expected; 0: unknown
	Route uint64
}

const (
	maxID       = 64
	shareSlack  = 0.05 // clients round shares
	maxPatience = time.Hour
)

// Check tells what is wrong with a request, whatever front it came by, and has its shares sum to 1: clients
// round them, and a whole answer must not be missed by a rounding. There are so many shards; 0: not told.
func (r *Request) Check(shards int) error {
	if !validID(r.ID) {
		return fmt.Errorf("id: cannot use %q", r.ID)
	}
	if !r.Unstated && (r.Patience <= 0 || r.Patience > maxPatience) {
		return fmt.Errorf("deadline: %v is no time to wait", r.Patience)
	}
	if len(r.Parts) == 0 {
		return fmt.Errorf("targets: a query has a part at least")
	}
	seen, sum := make(map[int]bool, len(r.Parts)), 0.0
	for i, p := range r.Parts {
		switch {
		case p.Shard < 0 || seen[p.Shard] || shards > 0 && p.Shard >= shards:
			return fmt.Errorf("targets[%d].partition: %d does not exist or stands twice", i, p.Shard)
		case !(p.Share >= 0 && p.Share <= 1+shareSlack):
			return fmt.Errorf("targets[%d].share: %g is outside 0 to 1", i, p.Share)
		case !(p.Work >= 0) || math.IsInf(p.Work, 0):
			return fmt.Errorf("targets[%d].est_us: %g s is no time", i, p.Work)
		}
		seen[p.Shard] = true
		sum += p.Share
	}
	if math.Abs(sum-1) > shareSlack {
		return fmt.Errorf("targets: the shares sum to %g, not 1", sum)
	}
	for i := range r.Parts {
		r.Parts[i].Share /= sum
	}
	return nil
}

// validID tells whether a query's name can stand in a line of a record server's protocol.
func validID(id string) bool {
	return id != "" && len(id) <= maxID && strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}
