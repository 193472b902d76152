// Package observations shares what the workers of one process observe of record servers: failures, time-outs, recoveries
// and load reports, each with its age and a weight. It does no I/O and reads no clock: the caller passes in the time, in
// seconds, and serializes the calls.
//
// There are two goals. A worker that considers a failed server healthy learns of the failure from another worker before it
// loses a request there. And a fault of one worker alone, such as a broken connection, does not make all workers consider a
// healthy server unhealthy. So a peer's observation weighs less than the worker's own. The weight of a peer's observation
// increases with a second witness, decreases with age, and is close to zero for a worker that has just received an answer
// itself. A peer's observation never overrides a later observation of the worker's own.
package observations

import (
	"math"

	"mothrouter/internal/decision"
)

const (
	// MaxAge is the maximum age of an observation when it is offered to another worker, in seconds.
	MaxAge = 2.0

	singleWitnessWeight = 0.5  // weight of a failure that one worker observed
	manyWitnessesWeight = 0.75 // weight of a failure that several workers observed within sameFaultWindow
	maxRecoveryWeight   = 0.5  // weight of a new success, for a worker that considers the server unhealthy
	halfLife            = 1.0  // half-life of a weight, in seconds
	sameFaultWindow     = 1.0  // failures observed by several workers within this time, in seconds, count as one fault
	ownSuccessWindow    = 1.0  // a worker's own success reduces the weight of others' failures for this time, in seconds
	offerInterval       = 0.05 // minimum interval between observations of one server offered to one worker, in seconds
	loadReportInterval  = 0.25 // minimum interval between observations offered for a load report alone, in seconds
	maxOffers           = 64   // maximum number of observations returned by one call; the rest is left for the next call
	silenceFactor       = 6    // a server is silent if it has not answered for this multiple of the mean latency
	minSilence          = 0.05 // minimum silence, in seconds: a shorter one may be due to chance
	latencyWeight       = 0.05 // weight of one latency in the moving average
)

// Kind is the kind of an observation.
type Kind int

// Kinds of observations.
const (
	Answered     Kind = iota
	Failed            // an error, a broken or refused connection, a full queue
	TimedOut          // a wait that was abandoned without an answer
	LoadReported      // only a load report
)

// Observation is a worker's observation of a server.
type Observation struct {
	Kind       Kind
	Latency    float64             // seconds since the attempt was sent
	LoadReport decision.LoadReport // decision.NoLoadReport: none
}

// view is one worker's knowledge of one server. A time is the constant never if nothing was observed.
type view struct {
	answeredAt        float64 // time of the worker's own latest answer
	failedAt          float64 // time of the worker's own latest failure or silence
	offeredAt         float64 // when an observation was last offered to the worker
	newestOfferedTime float64 // time of the newest observation that was offered to the worker
	unhealthy         bool    // the worker considers the server unhealthy
	loadReportedAt    float64 // time of the latest load report that the worker has
	queued            bool    // the server is in the worker's queue
}

// record holds the observations of one server.
type record struct {
	id             string
	views          []view              // by worker
	loadReport     decision.LoadReport // the latest one that any worker received
	loadReportedAt float64
	answeredAt     float64 // time of the latest answer that any worker received
}

// Shared holds the observations that the workers record, and offers them to the other workers.
type Shared struct {
	workers     int
	servers     map[string]*record
	queues      [][]*record // by worker, the servers with observations to offer to it
	meanLatency float64     // moving average of the latency of answers, in seconds
}

// NewShared returns an empty Shared for a number of workers.
func NewShared(workers int) *Shared {
	return &Shared{workers: workers, servers: map[string]*record{}, queues: make([][]*record, workers)}
}

// record returns the record of a server, which it creates if there is none.
func (s *Shared) record(id string) *record {
	r := s.servers[id]
	if r == nil {
		r = &record{id: id, views: make([]view, s.workers), loadReport: decision.NoLoadReport, loadReportedAt: never,
			answeredAt: never}
		for i := range r.views {
			r.views[i] = view{answeredAt: never, failedAt: never, offeredAt: never, newestOfferedTime: never, loadReportedAt: never}
		}
		s.servers[id] = r
	}
	return r
}

// never is the time of events that have not happened. It is earlier than any clock value.
const never = -1e18

// Forget drops the observations of a server that has restarted or was removed.
func (s *Shared) Forget(id string) { delete(s.servers, id) }

// Len returns the number of servers with observations.
func (s *Shared) Len() int { return len(s.servers) }

// Record records a worker's observation of a server, and queues the server for the workers to which it has to be offered.
func (s *Shared) Record(worker int, id string, now float64, o Observation) {
	r := s.record(id)
	own := &r.views[worker]
	offerToAll := o.LoadReport != decision.NoLoadReport
	if offerToAll {
		r.loadReport, r.loadReportedAt, own.loadReportedAt = o.LoadReport, now, now
	}
	switch o.Kind {
	case Answered:
		own.answeredAt, own.unhealthy, r.answeredAt = now, false, now
		s.recordLatency(o.Latency)
	case Failed:
		own.failedAt, own.unhealthy, offerToAll = now, true, true
	case TimedOut:
		if r.isSilent(now, o.Latency, s.meanLatency) {
			own.failedAt, own.unhealthy, offerToAll = now, true, true
		}
	}
	for w := range r.views {
		other := &r.views[w]
		if w != worker && !other.queued && (offerToAll || o.Kind == Answered && other.unhealthy) {
			other.queued = true
			s.queues[w] = append(s.queues[w], r)
		}
	}
}

// recordLatency adds a latency to the moving average, which the first one initializes.
func (s *Shared) recordLatency(latency float64) {
	if s.meanLatency == 0 {
		s.meanLatency = latency
	}
	s.meanLatency += latencyWeight * (latency - s.meanLatency)
}

// isSilent reports whether an abandoned attempt counts as a failure: no worker received an answer from the server during the
// wait, and the wait was long enough for an answer.
func (r *record) isSilent(now, waited, meanLatency float64) bool {
	return r.answeredAt < now-waited && waited >= math.Max(silenceFactor*meanLatency, minSilence)
}

// HasPending reports whether there may be observations for a worker to collect.
func (s *Shared) HasPending(worker int) bool { return len(s.queues[worker]) > 0 }

// Collect returns the observations of other workers that are due to be offered to a worker.
func (s *Shared) Collect(worker int, now float64) (collected []decision.PeerObservation) {
	queue := s.queues[worker]
	kept := queue[:0]
	for _, r := range queue {
		v := &r.views[worker]
		if s.servers[r.id] != r {
			continue // the server was forgotten
		}
		if len(collected) >= maxOffers || now-v.offeredAt < offerInterval {
			kept = append(kept, r)
			continue
		}
		v.queued = false
		if o, ok := r.observationFor(worker, now); ok {
			v.offeredAt = now
			collected = append(collected, o)
		}
	}
	clear(queue[len(kept):])
	s.queues[worker] = kept
	return collected
}

// observationFor returns the observation of the server that is due to be offered to a worker, and reports whether there is
// one.
func (r *record) observationFor(worker int, now float64) (o decision.PeerObservation, ok bool) {
	own := &r.views[worker]
	o = decision.PeerObservation{Server: r.id, LoadReport: decision.NoLoadReport}
	if r.hasLoadReportFor(own, now) {
		o.LoadReport, o.At = r.loadReport, r.loadReportedAt
		own.loadReportedAt = r.loadReportedAt
		ok = true
	}
	ownAt := math.Max(own.answeredAt, own.failedAt)
	isNew := func(at float64) bool { return at > ownAt && at > own.newestOfferedTime && now-at <= MaxAge }
	failedAt, witnesses := r.latestFailure(worker)
	switch {
	case isNew(failedAt) && failedAt >= r.answeredAt && witnesses > 0:
		o.FailureRatio, o.At = 1, failedAt
		o.Weight = failureWeight(witnesses, now-failedAt, now-own.answeredAt)
		own.newestOfferedTime, own.unhealthy = failedAt, true
		return o, true
	case own.unhealthy && isNew(r.answeredAt):
		o.FailureRatio, o.At = 0, r.answeredAt
		o.Weight = maxRecoveryWeight * math.Exp2(-(now-r.answeredAt)/halfLife)
		own.newestOfferedTime, own.unhealthy = r.answeredAt, false
		return o, true
	}
	return o, ok
}

// hasLoadReportFor reports whether a load report is due to be offered to a worker.
func (r *record) hasLoadReportFor(own *view, now float64) bool {
	newer := r.loadReportedAt - own.loadReportedAt
	return newer > 0 && now-r.loadReportedAt <= MaxAge && (own.loadReportedAt == never || newer >= loadReportInterval)
}

// latestFailure returns when the other workers last observed a failure, and the number of witnesses: workers that observed one
// within sameFaultWindow before that, and have received no answer since.
func (r *record) latestFailure(worker int) (at float64, witnesses int) {
	at = never
	for w := range r.views {
		if w != worker {
			at = math.Max(at, r.views[w].failedAt)
		}
	}
	for w := range r.views {
		if v := &r.views[w]; w != worker && v.failedAt > at-sameFaultWindow && v.failedAt >= v.answeredAt {
			witnesses++
		}
	}
	return at, witnesses
}

// failureWeight returns the weight of a failure for a worker, given the age of the failure and of the worker's own latest
// success, in seconds.
func failureWeight(witnesses int, age, ownSuccessAge float64) float64 {
	weight := singleWitnessWeight
	if witnesses > 1 {
		weight = manyWitnessesWeight
	}
	weight *= math.Exp2(-age / halfLife)
	return weight * math.Min(1, ownSuccessAge/ownSuccessWindow)
}
