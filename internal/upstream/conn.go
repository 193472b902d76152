package upstream

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
	"unicode/utf8"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/frame"
)

const (
	idleShare  = 0.8                    // of the servers' idle limit: no call is written to a connection they close
	doneMost   = 64                     // ids of the latest answered calls kept; a second copy follows the first directly
	staleMost  = 1024                   // ids of cancelled calls kept; a connection with more is retired
	wholeLimit = 400 * time.Millisecond // for a frame to come whole: what is not may be noise
	writeLimit = 2 * time.Second        // a peer that takes no bytes for so long is given up,
	stuckAfter = 20 * time.Millisecond  // or for so long, once what is being written is taken back
	renewAfter = 100 * time.Millisecond // age of the time left in a call's frame; the rules allow 150 ms
)

// A part that must not run twice is lost where its connection breaks, so it goes by one that is sure, else by a
// new one. On the platform, connections were reset at the next request from a tenth of a second's rest on.
const (
	settled = 2 * time.Millisecond
	freshly = 80 * time.Millisecond
)

// A connection that owes answers and has been without a word for longer than answers take gets no more calls:
// the machine, or the path of this one connection, may have dropped off the network, which shows nowhere else.
const (
	SilentFor   = 400 * time.Millisecond // at most, and while no answer has told how long they take
	silentLeast = 20 * time.Millisecond
	silentTimes = 8    // the mean time of answers
	paceStep    = 0.05 // weight of one answer in that mean
)

// job is one call or probe on a connection.
type job struct {
	call  *broker.Call
	probe *broker.HealthCheck
	id    string
	state jobState
	at    time.Time // when it was written
}

type jobState int

const (
	jobQueued  jobState = iota
	jobWriting          // bytes of its frame are being written
	jobWritten
	jobOver
)

// conn is one connection. The link's mu guards its fields.
type conn struct {
	l       *Link
	addr    string
	server  *broker.Server // as first asked there
	sock    net.Conn       // nil until it is up
	retired bool           // takes nothing new
	broken  error          // why it ended
	queue   []*job         // to be written, in order
	cancels []string       // ids for which a C is to be written
	calls   map[string]*job
	stale   map[string]bool // written, then cancelled, and unanswered so far
	done    map[string]bool // answered lately
	doneIDs []string        // the same, in order
	probes  []*job          // written and unanswered, in order
	heard   time.Time       // when the last message came; zero: none has
	writes  time.Time       // since when bytes are being written; zero: none are
	owed    time.Time       // since when it owes an answer without a word; zero: it owes none
	wake    chan struct{}   // tells the writer that there is something, cap 1
	idle    *time.Timer     // runs while nothing is out
}

func partID(c *broker.Call) string { return frame.PartID(c.Query, c.Shard, c.FirstPhase != nil) }

func newConn(l *Link, addr string, server *broker.Server) *conn {
	return &conn{
		l: l, addr: addr, server: server, calls: map[string]*job{}, stale: map[string]bool{},
		done: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// had tells that an answer on this connection might be one to an earlier attempt of the id.
func (cn *conn) had(id string) bool { return cn.calls[id] != nil || cn.stale[id] || cn.done[id] }

// answered remembers that a call of the id has had its answer. The caller holds mu.
func (cn *conn) answered(id string) {
	if len(cn.doneIDs) == doneMost {
		delete(cn.done, cn.doneIDs[0])
		cn.doneIDs = cn.doneIDs[1:]
	}
	cn.done[id], cn.doneIDs = true, append(cn.doneIDs, id)
}

func (cn *conn) enqueue(j *job) {
	if cn.idle != nil {
		cn.idle.Stop()
		cn.idle = nil
	}
	if j.call != nil {
		cn.calls[j.id] = j
	}
	cn.queue = append(cn.queue, j)
	cn.signal()
}

func (cn *conn) signal() {
	select {
	case cn.wake <- struct{}{}:
	default:
	}
}

// cancel takes a call off. The caller holds mu.
func (cn *conn) cancel(j *job) {
	delete(cn.calls, j.id)
	if j.state == jobWriting && time.Since(cn.writes) > stuckAfter {
		// Guards against a peer that takes no bytes: the rest of the frame would come to it long after another attempt
		// has begun, with the cancel behind it. A reset takes back what is not delivered.
		j.state = jobOver
		cn.reset()
		return
	}
	if j.state == jobWriting || j.state == jobWritten {
		// Guards against a machine that has dropped off the network: its connections stay open and silent,
		// and what is written to them may have run. A new one does not come up, and shows that nothing ran.
		if cn.silent(cn.l.patience() / 2) {
			cn.retired = true
		}
		cn.cancels = append(cn.cancels, j.id)
		cn.stale[j.id] = true
		if len(cn.stale) > staleMost {
			cn.retired = true
		}
		cn.signal()
	}
	j.state = jobOver
	if len(cn.calls) == 0 {
		cn.owed = time.Time{}
	}
	cn.rest()
}

// silent tells that the connection has owed an answer for so long without a word. The caller holds mu.
func (cn *conn) silent(limit time.Duration) bool {
	return !cn.owed.IsZero() && time.Since(cn.owed) > limit
}

// reserved tells that a part that must not run twice is out on the connection, alone. The caller holds mu.
func (cn *conn) reserved() bool {
	if len(cn.calls) == 1 {
		for _, j := range cn.calls {
			return j.call.NonIdempotent
		}
	}
	return false
}

// sure tells that nothing is out on the connection, and that it very likely lives: it has spoken lately, but
// not only just now, since servers close some right behind an answer. The caller holds mu.
func (cn *conn) sure() bool {
	age := time.Since(cn.heard)
	return !cn.busy() && age >= settled && age <= cn.l.opt.Fresh
}

func (cn *conn) busy() bool { return len(cn.calls)+len(cn.probes)+len(cn.queue)+len(cn.cancels) > 0 }

// rest starts the idle timer once nothing is out. The caller holds mu.
func (cn *conn) rest() {
	if cn.busy() || cn.broken != nil || cn.idle != nil {
		return
	}
	limit := time.Duration(float64(cn.l.opt.Idle) * idleShare)
	if cn.retired {
		limit = 0
	}
	cn.idle = time.AfterFunc(limit, func() {
		cn.l.mu.Lock()
		defer cn.l.mu.Unlock()
		if !cn.busy() {
			cn.fail(errIdle)
		}
	})
}

var (
	errIdle    = errors.New("the connection was idle")
	errStuck   = errors.New("the server takes no bytes")
	errRefused = errors.New("the server could not use a frame")
	errSpoilt  = errors.New("the server sent what cannot be read")
	errMoot    = errors.New("nobody waits for the connection any more")
)

// run connects, then reads until the connection ends.
func (cn *conn) run() {
	sock, err := cn.l.dial(cn.addr)
	cn.l.mu.Lock()
	if err != nil || cn.broken != nil {
		cn.fail(err)
		cn.l.mu.Unlock()
		if sock != nil {
			sock.Close()
		}
		return
	}
	cn.sock = sock
	cn.rest()
	cn.l.mu.Unlock()
	go cn.write()
	err = cn.read()
	cn.l.mu.Lock()
	cn.fail(err)
	cn.l.mu.Unlock()
}

// fail ends the connection and all that is on it. What was not written whole cannot have run. A job that is
// being written is left to the writer, which knows how much of it went out. The caller holds mu.
func (cn *conn) fail(err error) {
	if cn.broken != nil {
		return
	}
	if cn.broken = err; err == nil {
		cn.broken = errMoot
	}
	cn.retired = true
	cn.l.drop(cn)
	if cn.idle != nil {
		cn.idle.Stop()
	}
	if cn.sock != nil {
		cn.sock.Close()
	}
	for _, j := range cn.queue {
		if j.state == jobQueued && errors.Is(err, errSpoilt) { // the server lives, and has not heard of it
			delete(cn.calls, j.id)
			cn.l.enqueue(cn.addr, cn.server, j)
			continue
		}
		cn.end(j, decision.Unreachable)
	}
	for _, j := range cn.calls {
		if j.state == jobWritten {
			cn.end(j, cn.lost())
		}
	}
	for _, j := range cn.probes {
		cn.end(j, cn.lost())
	}
	cn.queue, cn.probes = nil, nil
	cn.signal()
}

// reset ends a connection whose peer takes no bytes, and takes back what is not delivered. The caller holds mu.
func (cn *conn) reset() {
	if t, ok := cn.sock.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	cn.fail(errStuck)
}

// lost is how a call ended that was out when the connection did. A server whose answer was spoilt lives: that
// it is not cut off matters to the decisions. Either way the call may have run.
func (cn *conn) lost() decision.Status {
	if errors.Is(cn.broken, errSpoilt) {
		return decision.Error
	}
	return decision.Reset
}

// end tells how a job ended that got no answer. The caller holds mu.
func (cn *conn) end(j *job, status decision.Status) {
	if j.state == jobOver {
		return
	}
	j.state = jobOver
	if j.probe != nil {
		j.probe.Finish(unsent(status))
		return
	}
	delete(cn.calls, j.id)
	j.call.Finish(unsent(status))
}

// write writes what is queued, cancels first: they free work.
func (cn *conn) write() {
	var buf []byte
	for {
		cn.l.mu.Lock()
		var j *job
		ready := false
		switch {
		case cn.broken != nil:
			cn.l.mu.Unlock()
			return
		case len(cn.cancels) > 0:
			buf, ready = buf[:0], true
			for _, id := range cn.cancels {
				buf = frame.Append(buf, 'C', id)
			}
			cn.cancels = cn.cancels[:0]
		case len(cn.queue) > 0:
			j, cn.queue = cn.queue[0], cn.queue[1:]
			buf, ready = cn.prepare(j, buf[:0])
		default:
			cn.rest()
			cn.l.mu.Unlock()
			<-cn.wake
			continue
		}
		cn.writes = time.Now()
		cn.l.mu.Unlock()
		if !ready {
			continue
		}
		n, err := cn.send(j, buf)
		if j != nil && j.call != nil && n == len(buf) && cn.l.opt.Relayed != nil {
			cn.l.opt.Relayed(j.call.Class)
		}
		cn.l.mu.Lock()
		if j != nil && j.state == jobWriting {
			if j.state, j.at = jobWritten, time.Now(); cn.owed.IsZero() {
				cn.owed = j.at
			}
			if cn.broken != nil || err != nil {
				// The break came meanwhile: it may have run only if its last byte was written.
				status := cn.lost()
				if n < len(buf) {
					status = decision.Unreachable
				}
				cn.end(j, status)
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			cn.reset()
		} else if err != nil {
			cn.fail(err)
		}
		cn.l.mu.Unlock()
	}
}

// prepare makes a job's frame, if it may still be sent. The caller holds mu.
func (cn *conn) prepare(j *job, buf []byte) ([]byte, bool) {
	if j.state == jobOver {
		return buf, false
	}
	if j.probe != nil {
		if !j.probe.TryStart() {
			j.state = jobOver
			return buf, false
		}
		letter := byte('H')
		if j.probe.WantsLoadReport {
			letter = 'M'
		}
		j.state = jobWritten
		cn.probes = append(cn.probes, j)
		return frame.Append(buf, letter, ""), true
	}
	if !j.call.TryStart() {
		j.state = jobOver
		delete(cn.calls, j.id)
		return buf, false
	}
	j.state = jobWriting
	return j.appendCall(buf), true
}

// appendCall appends a call's frame with the time that is left now.
func (j *job) appendCall(buf []byte) []byte {
	wait := max(int(time.Until(j.call.Deadline)/time.Millisecond), 1)
	call := frame.Call{ID: j.id, Shard: j.call.Shard, WaitMS: wait, Text: j.call.Payload}
	if second := j.call.FirstPhase; second != nil {
		call.Second, call.From, call.Whole = true, second.AnsweredShards, second.Complete
	}
	return frame.AppendCall(buf, call)
}

// send writes a frame; j is nil for cancels. A call's frame tells the server how much time is left, so while the server
// takes none of it, it is made anew every renewAfter, for writeLimit at most; one that was taken in part ends there. A call
// that may no longer begin is not written. It returns how many bytes of the frame were taken.
func (cn *conn) send(j *job, buf []byte) (n int, err error) {
	limit := time.Now().Add(writeLimit)
	if j == nil || j.call == nil {
		cn.sock.SetWriteDeadline(limit)
		return cn.sock.Write(buf)
	}
	for {
		cn.sock.SetWriteDeadline(time.Now().Add(renewAfter))
		n, err = cn.sock.Write(buf)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !j.call.MayStart() || !time.Now().Before(limit) {
			return n, err
		}
		buf = j.appendCall(buf[:0])
	}
}

// read reads frames until the connection ends.
func (cn *conn) read() error {
	var in frame.Reader
	for {
		n, err := cn.sock.Read(in.Space())
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("%w: a frame that does not end", errSpoilt)
		}
		if err != nil {
			return err
		}
		in.Filled(n)
		for {
			m, ok, err := in.Next()
			if err != nil {
				return fmt.Errorf("%w: %w", errSpoilt, err)
			}
			if !ok {
				break
			}
			if m.Letter == 'F' {
				return errRefused
			}
			cn.l.mu.Lock()
			err = cn.take(m)
			cn.l.mu.Unlock()
			if err != nil {
				return err
			}
		}
		// Guards the calls that come next: with the rest of a frame behind an answer, theirs would be taken
		// for more of it.
		var limit time.Time
		if in.Pending() {
			cn.l.mu.Lock()
			waited := len(cn.calls)+len(cn.probes)+len(cn.stale) > 0
			cn.l.mu.Unlock()
			if !waited {
				return fmt.Errorf("%w: more than was asked for", errSpoilt)
			}
			limit = time.Now().Add(wholeLimit)
		}
		cn.sock.SetReadDeadline(limit)
	}
}

// take books one message. The caller holds mu.
func (cn *conn) take(m frame.Message) error {
	cn.heard = time.Now()
	defer func() {
		if cn.owed = (time.Time{}); len(cn.calls) > 0 {
			cn.owed = cn.heard
		}
	}()
	switch m.Letter {
	case 'R':
		id := string(m.Reply.ID)
		j := cn.calls[id]
		if j == nil || j.state == jobQueued {
			if cn.stale[id] { // the late answer to a call that was cancelled
				delete(cn.stale, id)
				cn.answered(id)
			} else if !cn.done[id] { // but a second copy does no harm
				return fmt.Errorf("%w: an answer to what was never asked here", errSpoilt)
			}
			break
		}
		r := broker.CallResult{Status: m.Reply.Status, Score: m.Reply.Score, Scored: m.Reply.Scored, LoadReport: m.Reply.Load}
		if r.Status == decision.OK && !utf8.Valid(m.Reply.Value) {
			return fmt.Errorf("%w: a value that no answer can carry", errSpoilt)
		}
		delete(cn.calls, id)
		cn.answered(id)
		j.state = jobOver
		if r.Status == decision.OK {
			if !j.at.IsZero() { // it may come before the writer has noted that all is written
				cn.l.answered(time.Since(j.at))
			}
			r.Value = append([]byte{}, m.Reply.Value...) // it outlives the buffer
		}
		j.call.Finish(r)
	case 'H', 'M':
		if len(cn.probes) == 0 {
			return fmt.Errorf("%w: an answer to no probe", errSpoilt)
		}
		j := cn.probes[0]
		cn.probes = cn.probes[1:]
		j.state = jobOver
		r := unsent(decision.OK)
		if string(m.Rest) == "failed" {
			r.Status = decision.Error
		} else if load, err := frame.ParseLoad(m.Rest); m.Letter == 'M' && err == nil {
			r.LoadReport = load
		}
		j.probe.Finish(r)
	default:
		return fmt.Errorf("%w: a frame of the letter %q", errSpoilt, m.Letter)
	}
	cn.rest()
	return nil
}
