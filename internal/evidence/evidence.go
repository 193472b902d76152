// Package evidence is what the workers of one process tell each other of the record servers: failures, silence,
// recoveries and load reports, each with its age and the weight it deserves. It does no I/O and keeps no clock:
// the caller hands in the time and holds a lock.
//
// Two things must hold. A worker that still trusts a dead server learns of it from another's loss, before its own.
// And one worker's bad luck, say a connection of its own that broke, does not condemn a sound server for all. So
// hearsay weighs less than what a worker sees itself, more with a second witness, less the older it is, and next to
// nothing for a worker that was itself just answered there. What a worker has seen since is never overruled.
package evidence

import (
	"math"

	"mothrouter/internal/decision"
)

const (
	// MaxAge is how old hearsay may be when it is offered.
	MaxAge = 2.0

	oneWitness  = 0.5  // weight of a failure that one worker saw
	twoWitness  = 0.75 // and of one that several saw lately
	halfLife    = 1.0  // seconds in which it halves
	together    = 1.0  // seconds within which failures seen by several count as one trouble
	trustsOwn   = 1.0  // seconds for which a worker's own success speaks against others' failures
	again       = 0.05 // seconds between two pieces of hearsay on one server to one worker
	loadAgain   = 0.25 // and between two that only bring a load report
	recoverMost = 0.5  // weight of a success for a worker that holds the server for bad
	offerMost   = 64   // pieces at once; the rest waits for the next call
	silentTimes = 6    // mean latencies without a word make a silence
	silentLeast = 0.05 // seconds: shorter ones are chance
	paceStep    = 0.05 // weight of one latency in that mean
)

// Kind is what a worker saw.
type Kind int

// What workers see.
const (
	Good   Kind = iota // an answer
	Failed             // an error, a broken or refused connection, a full queue
	Silent             // a wait that was given up without an answer
	Report             // a load report alone
)

// Seen is one thing that a worker saw of a server.
type Seen struct {
	Kind    Kind
	Latency float64 // since the attempt was sent
	Load    decision.LoadReport
}

// view is what one worker knows of one server.
type view struct {
	good, bad float64 // when it last saw an answer, or a failure or silence, itself
	heard     float64 // when something was last offered to it
	told      float64 // the latest news that it was offered
	believes  bool    // that the server is bad, from hearsay or from what it saw
	loadAt    float64 // when it last had a report, from the server or by hearsay
	dirty     bool    // it is in the worker's queue
}

type record struct {
	id     string
	views  []view
	load   decision.LoadReport
	loadAt float64
	good   float64 // the latest answer to anyone
}

// Board is where workers put what they saw and take what others did.
type Board struct {
	workers int
	servers map[string]*record
	queues  [][]*record // by worker: servers with news for it
	pace    float64     // mean latency of answers
}

// NewBoard returns an empty board for so many workers.
func NewBoard(workers int) *Board {
	return &Board{workers: workers, servers: map[string]*record{}, queues: make([][]*record, workers)}
}

func (b *Board) record(id string) *record {
	r := b.servers[id]
	if r == nil {
		r = &record{id: id, views: make([]view, b.workers), load: decision.NoLoadReport, loadAt: never, good: never}
		for i := range r.views {
			r.views[i] = view{good: never, bad: never, heard: never, told: never, loadAt: never}
		}
		b.servers[id] = r
	}
	return r
}

const never = -1e18

// Forget drops what was seen of a server: it has started anew, or is gone.
func (b *Board) Forget(id string) { delete(b.servers, id) }

// Len is how many servers the board holds something of.
func (b *Board) Len() int { return len(b.servers) }

// See books what a worker saw.
func (b *Board) See(worker int, id string, now float64, s Seen) {
	r := b.record(id)
	v := &r.views[worker]
	fresh := s.Load != decision.NoLoadReport
	if fresh {
		r.load, r.loadAt, v.loadAt = s.Load, now, now
	}
	tell := fresh
	switch s.Kind {
	case Good:
		v.good, v.believes, r.good = now, false, now
		if b.pace == 0 {
			b.pace = s.Latency
		}
		b.pace += paceStep * (s.Latency - b.pace)
	case Failed:
		v.bad, v.believes, tell = now, true, true
	case Silent:
		// Given up, but not silent: it answered someone since, or has had no time to.
		if r.good >= now-s.Latency || s.Latency < math.Max(silentTimes*b.pace, silentLeast) {
			break
		}
		v.bad, v.believes, tell = now, true, true
	}
	for w := range r.views {
		other := &r.views[w]
		if w != worker && !other.dirty && (tell || s.Kind == Good && other.believes) {
			other.dirty = true
			b.queues[w] = append(b.queues[w], r)
		}
	}
}

// Waiting tells whether something may be offered to a worker.
func (b *Board) Waiting(worker int) bool { return len(b.queues[worker]) > 0 }

// Take returns what a worker should hear now.
func (b *Board) Take(worker int, now float64) (heard []decision.PeerObservation) {
	queue := b.queues[worker]
	keep := queue[:0]
	for _, r := range queue {
		v := &r.views[worker]
		if b.servers[r.id] != r {
			continue // forgotten
		}
		if len(heard) >= offerMost || now-v.heard < again {
			keep = append(keep, r)
			continue
		}
		v.dirty = false
		if h, ok := r.offer(worker, now); ok {
			v.heard = now
			heard = append(heard, h)
		}
	}
	clear(queue[len(keep):])
	b.queues[worker] = keep
	return heard
}

// offer is what a worker should hear of a server, if anything.
func (r *record) offer(worker int, now float64) (h decision.PeerObservation, ok bool) {
	mine := &r.views[worker]
	h = decision.PeerObservation{Server: r.id, LoadReport: decision.NoLoadReport}
	if r.loadAt > mine.loadAt && now-r.loadAt <= MaxAge && (mine.loadAt == never || r.loadAt-mine.loadAt >= loadAgain) {
		h.LoadReport, h.At, mine.loadAt, ok = r.load, r.loadAt, r.loadAt, true
	}
	// The latest failure that others saw, and how many saw one at about that time.
	bad, witnesses := never, 0
	for w := range r.views {
		if w != worker {
			bad = math.Max(bad, r.views[w].bad)
		}
	}
	for w := range r.views {
		if v := &r.views[w]; w != worker && v.bad > bad-together && v.bad >= v.good {
			witnesses++
		}
	}
	own := math.Max(mine.good, mine.bad)
	switch {
	case bad > own && bad > mine.told && bad >= r.good && now-bad <= MaxAge && witnesses > 0:
		h.FailureRatio, h.Weight, h.At = 1, oneWitness, bad
		if witnesses > 1 {
			h.Weight = twoWitness
		}
		h.Weight *= math.Exp2(-(now - bad) / halfLife)
		h.Weight *= math.Min(1, (now-mine.good)/trustsOwn)
		mine.told, mine.believes = bad, true
		return h, true
	case mine.believes && r.good > own && r.good > mine.told && now-r.good <= MaxAge:
		h.FailureRatio, h.At = 0, r.good
		h.Weight = recoverMost * math.Exp2(-(now-r.good)/halfLife)
		mine.told, mine.believes = r.good, false
		return h, true
	}
	return h, ok
}
