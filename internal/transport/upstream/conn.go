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
	idleFraction   = 0.8  // of the servers' idle timeout, so that no call is written to a connection that a server is closing
	maxAnsweredIDs = 64   // ids of answered calls kept to recognize duplicate answers, which directly follow the first
	maxAbandoned   = 1024 // ids of cancelled calls that are kept; a connection with more is retired
)

// job is one call or health check on a connection.
type job struct {
	call        *broker.Call        // nil: a health check
	healthCheck *broker.HealthCheck // nil: a call
	id          string              // of the part; empty for a health check
	state       jobState
	writtenAt   time.Time // when the write of its frame returned; zero: not yet
}

type jobState int

const (
	jobQueued  jobState = iota
	jobWriting          // bytes of its frame are being written
	jobWritten
	jobFinished
)

// conn is one connection to a record server. The link's mu guards its fields.
type conn struct {
	link           *Link
	addr           string
	server         *broker.Server  // the server at addr, as of the first job
	sock           net.Conn        // nil until connected
	retired        bool            // it accepts no more jobs
	closeErr       error           // why it ended; nil: it has not
	queue          []*job          // jobs to be written, in order
	pendingCancels []string        // ids of cancels to be written
	calls          map[string]*job // queued or in flight, by id
	abandonedIDs   map[string]bool // ids of calls that were written, then cancelled, and are not answered yet
	answeredIDs    map[string]bool // ids of recently answered calls
	answerOrder    []string        // the keys of answeredIDs, oldest answer first
	healthChecks   []*job          // written and not answered yet, in order
	lastReceived   time.Time       // when the last message was received; zero: none yet
	writingSince   time.Time       // when the latest write started; zero: none yet
	awaitingSince  time.Time       // since when an answer is outstanding and nothing was received; zero: none is outstanding
	wake           chan struct{}   // wakes the writer, cap 1
	idleTimer      *time.Timer     // runs while nothing is in flight; nil: stopped
}

// partID returns the id in the frames of a call, which is the same for all attempts of a part.
func partID(c *broker.Call) string { return frame.PartID(c.Query, c.Shard, c.FirstPhase != nil) }

func newConn(l *Link, addr string, server *broker.Server) *conn {
	return &conn{
		link:         l,
		addr:         addr,
		server:       server,
		calls:        map[string]*job{},
		abandonedIDs: map[string]bool{},
		answeredIDs:  map[string]bool{},
		wake:         make(chan struct{}, 1),
	}
}

// hasUsed reports whether an answer with the id on this connection might belong to an earlier attempt. The caller holds mu.
func (cn *conn) hasUsed(id string) bool {
	return cn.calls[id] != nil || cn.abandonedIDs[id] || cn.answeredIDs[id]
}

// markAnswered records that the call with the id has been answered. The caller holds mu.
func (cn *conn) markAnswered(id string) {
	if len(cn.answerOrder) == maxAnsweredIDs {
		delete(cn.answeredIDs, cn.answerOrder[0])
		cn.answerOrder = cn.answerOrder[1:]
	}
	cn.answeredIDs[id] = true
	cn.answerOrder = append(cn.answerOrder, id)
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

// cancel stops waiting for a call's answer. The caller holds mu.
func (cn *conn) cancel(j *job) {
	delete(cn.calls, j.id)
	if j.state == jobWriting && time.Since(cn.writingSince) > stallTimeout {
		// The server accepts no bytes: the rest of the frame, and the cancel after it, would reach it long after another
		// attempt has started. A reset drops the undelivered bytes.
		j.state = jobFinished
		cn.reset()
		return
	}
	if j.state == jobWriting || j.state == jobWritten {
		// A partitioned server leaves its connections open and silent, and a call written to one of them may have run.
		// Opening a new connection fails instead, which proves that the call did not run.
		if cn.isSilent(cn.link.silenceTimeout() / 2) {
			cn.retired = true
		}
		cn.pendingCancels = append(cn.pendingCancels, j.id)
		cn.abandonedIDs[j.id] = true
		if len(cn.abandonedIDs) > maxAbandoned {
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

// startIdleTimer starts the idle timer if nothing is in flight. The caller holds mu.
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

// Reasons why connections end.
var (
	errIdle          = errors.New("idle connection closed")
	errWriteStalled  = errors.New("the record server accepts no bytes")
	errFrameRejected = errors.New("the record server rejected a frame")
	errProtocol      = errors.New("the record server violated the protocol")
	errAbandoned     = errors.New("the connection is no longer needed")
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

// fail ends the connection and all jobs on it. A call whose frame was not written completely cannot have run. A job that is
// being written is left to the writer, which knows how many bytes were written. The caller holds mu.
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

// failQueue finishes the jobs that were not written. After a protocol error the server is alive and has not received these
// jobs, so the ones in state jobQueued move to another connection. The caller holds mu.
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

// reset ends a connection whose server accepts no bytes with a TCP reset, which drops undelivered bytes. The caller holds mu.
func (cn *conn) reset() {
	if t, ok := cn.sock.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	cn.fail(errWriteStalled)
}

// lostStatus returns the status of a call that was in flight when the connection ended. A server that violated the protocol is
// alive, which the Decider distinguishes from a reset. In both cases the call may have run.
func (cn *conn) lostStatus() decision.Status {
	if errors.Is(cn.closeErr, errProtocol) {
		return decision.Error
	}
	return decision.Reset
}

// finishJob finishes a job that got no answer with a status. The caller holds mu.
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
