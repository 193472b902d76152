// Package observations shares what the workers of one process observe of record servers: failures, time-outs, recoveries
// and load reports, each with its age and a weight. It does no I/O and reads no clock: the caller passes in the time, in
// seconds, and serializes the calls.
//
// There are two goals. A worker that considers a failed server healthy learns of the failure from another worker before it
// loses a request there. And a fault of one worker alone, such as a broken connection, does not make a healthy server
// unhealthy for all. So a peer's observation weighs less than the worker's own, more with a second witness, less with age,
// and next to nothing for a worker that has just received an answer itself. It never overrides a later observation of the
// worker's own.
package observations

import (
	"math"

	"mothrouter/internal/decision"
)

const (
	// MaxAge is how old, in seconds, an observation may be when it is offered.
	MaxAge = 2.0

	singleWitnessWeight = 0.5  // of a failure that one worker saw
	manyWitnessesWeight = 0.75 // of one that several saw lately
	maxRecoveryWeight   = 0.5  // of a success, for a worker that takes the server for unhealthy
	halfLife            = 1.0  // seconds in which a weight halves
	sameFaultWindow     = 1.0  // seconds within which failures seen by several count as one fault
	ownSuccessWindow    = 1.0  // seconds for which a worker's own success speaks against others' failures
	offerInterval       = 0.05 // seconds between two observations of one server for one worker
	loadReportInterval  = 0.25 // and between two that only bring a load report
	maxOffers           = 64   // observations at once; the rest waits for the next call
	silenceFactor       = 6    // mean latencies without an answer make a silence
	minSilence          = 0.05 // seconds: shorter ones are chance
	latencyWeight       = 0.05 // of one latency in that mean
)

// Kind is what a worker observed.
type Kind int

// What workers observe.
const (
	Answered     Kind = iota
	Failed            // an error, a broken or refused connection, a full queue
	TimedOut          // a wait that was given up without an answer
	LoadReported      // a load report alone
)

// Observation is what a worker observed of a server.
type Observation struct {
	Kind       Kind
	Latency    float64 // since the attempt was sent
	LoadReport decision.LoadReport
}

// view is what one worker knows of one server. Times are never where nothing was observed.
type view struct {
	answeredAt, failedAt float64 // its own latest answer, and its own latest failure or silence
	offeredAt            float64 // when an observation was last offered to it
	newestOffered        float64 // time of the newest observation that it was offered
	unhealthy            bool    // whether it considers the server unhealthy
	loadReportedAt       float64 // when the latest report was made that it has
	queued               bool    // in the worker's queue
}

type record struct {
	id             string
	views          []view
	loadReport     decision.LoadReport
	loadReportedAt float64
	answeredAt     float64 // the latest answer to any worker
}

// Shared is where workers record what they observe and collect what others did.
type Shared struct {
	workers     int
	servers     map[string]*record
	queues      [][]*record // by worker: servers of which there is something to offer
	meanLatency float64     // mean latency of answers
}

// NewShared returns an empty Shared for a number of workers.
func NewShared(workers int) *Shared {
	return &Shared{workers: workers, servers: map[string]*record{}, queues: make([][]*record, workers)}
}

func (b *Shared) record(id string) *record {
	r := b.servers[id]
	if r == nil {
		r = &record{id: id, views: make([]view, b.workers), loadReport: decision.NoLoadReport, loadReportedAt: never, answeredAt: never}
		for i := range r.views {
			r.views[i] = view{answeredAt: never, failedAt: never, offeredAt: never, newestOffered: never, loadReportedAt: never}
		}
		b.servers[id] = r
	}
	return r
}

const never = -1e18

// Forget drops what was observed of a server: it has restarted, or is removed.
func (b *Shared) Forget(id string) { delete(b.servers, id) }

// Len returns the number of servers with observations.
func (b *Shared) Len() int { return len(b.servers) }

// Record records what a worker observed.
func (b *Shared) Record(worker int, id string, now float64, o Observation) {
	r := b.record(id)
	own := &r.views[worker]
	news := o.LoadReport != decision.NoLoadReport
	if news {
		r.loadReport, r.loadReportedAt, own.loadReportedAt = o.LoadReport, now, now
	}
	switch o.Kind {
	case Answered:
		own.answeredAt, own.unhealthy, r.answeredAt = now, false, now
		b.recordLatency(o.Latency)
	case Failed:
		own.failedAt, own.unhealthy, news = now, true, true
	case TimedOut:
		if r.isSilent(now, o.Latency, b.meanLatency) {
			own.failedAt, own.unhealthy, news = now, true, true
		}
	}
	for w := range r.views {
		other := &r.views[w]
		if w != worker && !other.queued && (news || o.Kind == Answered && other.unhealthy) {
			other.queued = true
			b.queues[w] = append(b.queues[w], r)
		}
	}
}

func (b *Shared) recordLatency(latency float64) {
	if b.meanLatency == 0 {
		b.meanLatency = latency
	}
	b.meanLatency += latencyWeight * (latency - b.meanLatency)
}

// isSilent reports whether an abandoned attempt counts as a failure: the server answered no worker during the wait, which
// was long enough for an answer.
func (r *record) isSilent(now, waited, meanLatency float64) bool {
	return r.answeredAt < now-waited && waited >= math.Max(silenceFactor*meanLatency, minSilence)
}

// HasPending reports whether there may be observations for a worker.
func (b *Shared) HasPending(worker int) bool { return len(b.queues[worker]) > 0 }

// Collect returns the observations of other workers that are due for a worker.
func (b *Shared) Collect(worker int, now float64) (collected []decision.PeerObservation) {
	queue := b.queues[worker]
	keep := queue[:0]
	for _, r := range queue {
		v := &r.views[worker]
		if b.servers[r.id] != r {
			continue // forgotten
		}
		if len(collected) >= maxOffers || now-v.offeredAt < offerInterval {
			keep = append(keep, r)
			continue
		}
		v.queued = false
		if o, ok := r.observationFor(worker, now); ok {
			v.offeredAt = now
			collected = append(collected, o)
		}
	}
	clear(queue[len(keep):])
	b.queues[worker] = keep
	return collected
}

// observationFor returns the observation of a server that is due for a worker, and reports whether there is one.
func (r *record) observationFor(worker int, now float64) (o decision.PeerObservation, ok bool) {
	own := &r.views[worker]
	o = decision.PeerObservation{Server: r.id, LoadReport: decision.NoLoadReport}
	if r.hasLoadReportFor(own, now) {
		o.LoadReport, o.At = r.loadReport, r.loadReportedAt
		own.loadReportedAt = r.loadReportedAt
		ok = true
	}
	ownAt := math.Max(own.answeredAt, own.failedAt)
	isNew := func(at float64) bool { return at > ownAt && at > own.newestOffered && now-at <= MaxAge }
	failedAt, witnesses := r.latestFailure(worker)
	switch {
	case isNew(failedAt) && failedAt >= r.answeredAt && witnesses > 0:
		o.FailureRatio, o.At = 1, failedAt
		o.Weight = failureWeight(witnesses, now-failedAt, now-own.answeredAt)
		own.newestOffered, own.unhealthy = failedAt, true
		return o, true
	case own.unhealthy && isNew(r.answeredAt):
		o.FailureRatio, o.At = 0, r.answeredAt
		o.Weight = maxRecoveryWeight * math.Exp2(-(now-r.answeredAt)/halfLife)
		own.newestOffered, own.unhealthy = r.answeredAt, false
		return o, true
	}
	return o, ok
}

// hasLoadReportFor reports whether there is a load report that is due for a worker.
func (r *record) hasLoadReportFor(own *view, now float64) bool {
	newer := r.loadReportedAt - own.loadReportedAt
	return newer > 0 && now-r.loadReportedAt <= MaxAge && (own.loadReportedAt == never || newer >= loadReportInterval)
}

// latestFailure returns when other workers last observed a failure, and the number of witnesses: those that observed one within
// sameFaultWindow before it, and no answer since.
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

// failureWeight returns the weight of a failure of an age for a worker whose own latest success has an age, in seconds.
func failureWeight(witnesses int, age, ownSuccessAge float64) float64 {
	weight := singleWitnessWeight
	if witnesses > 1 {
		weight = manyWitnessesWeight
	}
	weight *= math.Exp2(-age / halfLife)
	return weight * math.Min(1, ownSuccessAge/ownSuccessWindow)
}
