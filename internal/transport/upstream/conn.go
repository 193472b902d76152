package upstream

import (
	"errors"
	"net"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
)

const (
	idleFraction   = 0.8  // of the servers' idle time-out: no call is written to a connection that they close
	maxAnsweredIDs = 64   // ids of the latest answered calls kept; a duplicate answer follows the first directly
	maxAbandoned   = 1024 // ids of cancelled calls kept; a connection with more is retired
)

// job is one call or health check on a connection.
type job struct {
	call        *broker.Call        // nil: a health check
	healthCheck *broker.HealthCheck // nil: a call
	id          string              // of the part; empty for a health check
	state       jobState
	writtenAt   time.Time // zero: not yet
}

type jobState int

const (
	jobQueued  jobState = iota
	jobWriting          // bytes of its frame are being written
	jobWritten
	jobFinished
)

// conn is one connection. The link's mu guards its fields.
type conn struct {
	link           *Link
	addr           string
	server         *broker.Server // as of the first job
	sock           net.Conn       // nil until it is up
	retired        bool           // it takes no more jobs
	closeErr       error          // why it ended; nil: it has not
	queue          []*job         // to be written, in order
	pendingCancels []string       // ids of calls
	calls          map[string]*job
	abandoned      map[string]bool // ids that were written, then cancelled, and are unanswered so far
	answered       map[string]bool // ids that were answered lately
	answeredIDs    []string        // the same, in order
	healthChecks   []*job          // written and unanswered, in order
	lastReceived   time.Time       // of the last message; zero: none yet
	writingSince   time.Time       // since when bytes are being written; zero: none are
	awaitingSince  time.Time       // since when an answer is due and nothing was received; zero: none is due
	wake           chan struct{}   // wakes the writer, cap 1
	idleTimer      *time.Timer     // runs while nothing is in flight
}

// partID returns the id that the frames of a call carry; all attempts of a part share it.
func partID(c *broker.Call) string { return frame.PartID(c.Query, c.Shard, c.FirstPhase != nil) }

func newConn(l *Link, addr string, server *broker.Server) *conn {
	return &conn{
		link:      l,
		addr:      addr,
		server:    server,
		calls:     map[string]*job{},
		abandoned: map[string]bool{},
		answered:  map[string]bool{},
		wake:      make(chan struct{}, 1),
	}
}

// hasUsed reports whether an answer on this connection might belong to an earlier attempt of the id.
func (cn *conn) hasUsed(id string) bool {
	return cn.calls[id] != nil || cn.abandoned[id] || cn.answered[id]
}

// markAnswered remembers that a call of the id has had its answer. The caller holds mu.
func (cn *conn) markAnswered(id string) {
	if len(cn.answeredIDs) == maxAnsweredIDs {
		delete(cn.answered, cn.answeredIDs[0])
		cn.answeredIDs = cn.answeredIDs[1:]
	}
	cn.answered[id] = true
	cn.answeredIDs = append(cn.answeredIDs, id)
}

// enqueue queues a job to be written. The caller holds mu.
func (cn *conn) enqueue(j *job) {
	if cn.idleTimer != nil {
		cn.idleTimer.Stop()
		cn.idleTimer = nil
	}
	if j.call != nil {
		cn.calls[j.id] = j
	}
	cn.queue = append(cn.queue, j)
	cn.signal()
}

// signal wakes the writer. It does not block.
func (cn *conn) signal() {
	select {
	case cn.wake <- struct{}{}:
	default:
	}
}

// cancel ends the wait for a call's answer. The caller holds mu.
func (cn *conn) cancel(j *job) {
	delete(cn.calls, j.id)
	if j.state == jobWriting && time.Since(cn.writingSince) > stallTimeout {
		// Guards against a peer that takes no bytes: the rest of the frame would reach it long after another attempt has
		// started, with the cancel behind it. A reset takes back what is not delivered.
		j.state = jobFinished
		cn.reset()
		return
	}
	if j.state == jobWriting || j.state == jobWritten {
		// A server behind a partition leaves its connections open and silent, and what is written to them may have run. A new
		// connection fails instead, which proves that nothing ran.
		if cn.isSilent(cn.link.silenceTimeout() / 2) {
			cn.retired = true
		}
		cn.pendingCancels = append(cn.pendingCancels, j.id)
		cn.abandoned[j.id] = true
		if len(cn.abandoned) > maxAbandoned {
			cn.retired = true
		}
		cn.signal()
	}
	j.state = jobFinished
	if len(cn.calls) == 0 {
		cn.awaitingSince = time.Time{}
	}
	cn.startIdleTimer()
}

// startIdleTimer starts the idle timer once nothing is in flight. The caller holds mu.
func (cn *conn) startIdleTimer() {
	if cn.isBusy() || cn.closeErr != nil || cn.idleTimer != nil {
		return
	}
	limit := time.Duration(float64(cn.link.opt.IdleTimeout) * idleFraction)
	if cn.retired {
		limit = 0
	}
	cn.idleTimer = time.AfterFunc(limit, func() {
		cn.link.mu.Lock()
		defer cn.link.mu.Unlock()
		if !cn.isBusy() {
			cn.fail(errIdle)
		}
	})
}

// Why connections end.
var (
	errIdle          = errors.New("the connection was idle")
	errWriteStalled  = errors.New("the server takes no bytes")
	errFrameRejected = errors.New("the server could not use a frame")
	errProtocol      = errors.New("the server sent what cannot be read")
	errAbandoned     = errors.New("no call waits for the connection any more")
)

// run connects, then reads until the connection ends. A second goroutine writes; it ends with the connection.
func (cn *conn) run() {
	sock, err := cn.link.dial(cn.addr)
	cn.link.mu.Lock()
	if err != nil || cn.closeErr != nil {
		cn.fail(err)
		cn.link.mu.Unlock()
		if sock != nil {
			sock.Close()
		}
		return
	}
	cn.sock = sock
	cn.startIdleTimer()
	cn.link.mu.Unlock()
	go cn.writeLoop()
	err = cn.readLoop()
	cn.link.mu.Lock()
	cn.fail(err)
	cn.link.mu.Unlock()
}

// fail ends the connection and all jobs on it. What was not written completely cannot have run. A job that is being written
// is left to the writer, which knows how much of it went out. The caller holds mu.
func (cn *conn) fail(err error) {
	if cn.closeErr != nil {
		return
	}
	cn.closeErr = err
	if err == nil {
		cn.closeErr = errAbandoned
	}
	cn.retired = true
	cn.link.remove(cn)
	if cn.idleTimer != nil {
		cn.idleTimer.Stop()
	}
	if cn.sock != nil {
		cn.sock.Close()
	}
	cn.failQueue(errors.Is(err, errProtocol))
	for _, j := range cn.calls {
		if j.state == jobWritten {
			cn.finishJob(j, cn.lostStatus())
		}
	}
	for _, j := range cn.healthChecks {
		cn.finishJob(j, cn.lostStatus())
	}
	cn.queue = nil
	cn.healthChecks = nil
	cn.signal()
}

// failQueue ends the jobs that were not written. After a protocol error the server is alive and has not received them: those
// that still wait move to another connection. The caller holds mu.
func (cn *conn) failQueue(protocolError bool) {
	for _, j := range cn.queue {
		if j.state == jobQueued && protocolError {
			delete(cn.calls, j.id)
			cn.link.enqueue(cn.addr, cn.server, j)
			continue
		}
		cn.finishJob(j, decision.Unreachable)
	}
}

// reset ends a connection whose peer accepts no bytes by a TCP reset, which drops what is not delivered. The caller holds mu.
func (cn *conn) reset() {
	if t, ok := cn.sock.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	cn.fail(errWriteStalled)
}

// lostStatus returns the status of a call that was in flight when the connection ended. A server that broke the protocol is
// alive, which the decisions distinguish from a reset. Either way the call may have run.
func (cn *conn) lostStatus() decision.Status {
	if errors.Is(cn.closeErr, errProtocol) {
		return decision.Error
	}
	return decision.Reset
}

// finishJob reports the status of a job without an answer to the broker. The caller holds mu.
func (cn *conn) finishJob(j *job, status decision.Status) {
	if j.state == jobFinished {
		return
	}
	j.state = jobFinished
	if j.healthCheck != nil {
		j.healthCheck.Finish(broker.ResultOf(status))
		return
	}
	delete(cn.calls, j.id)
	j.call.Finish(broker.ResultOf(status))
}
