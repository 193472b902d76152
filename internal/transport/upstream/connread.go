package upstream

import (
	"errors"
	"fmt"
	"os"
	"time"
	"unicode/utf8"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
)

const frameTimeout = 400 * time.Millisecond // to receive the rest of a frame: one that takes longer may have a corrupt length

// readLoop reads frames until the connection ends.
func (cn *conn) readLoop() error {
	var in frame.Reader
	for {
		n, err := cn.sock.Read(in.Grow())
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("%w: incomplete frame after %v", errProtocol, frameTimeout)
		}
		if err != nil {
			return err
		}
		in.Advance(n)
		if err := cn.handleFrames(&in); err != nil {
			return err
		}
		// If a partial frame follows the last answer, the next call's answer would be parsed as the rest of it.
		var deadline time.Time
		if in.Receiving() {
			if !cn.awaitsAnswer() {
				return fmt.Errorf("%w: unexpected bytes after the last outstanding answer", errProtocol)
			}
			deadline = time.Now().Add(frameTimeout)
		}
		cn.sock.SetReadDeadline(deadline)
	}
}

// awaitsAnswer reports whether an answer is outstanding, including one to a cancelled call.
func (cn *conn) awaitsAnswer() bool {
	cn.link.mu.Lock()
	defer cn.link.mu.Unlock()
	return len(cn.calls)+len(cn.healthChecks)+len(cn.abandonedIDs) > 0
}

// handleFrames handles the complete frames that have been received.
func (cn *conn) handleFrames(in *frame.Reader) error {
	for {
		m, ok, err := in.Next()
		if err != nil {
			return fmt.Errorf("%w: %w", errProtocol, err)
		}
		if !ok {
			return nil
		}
		if m.Type == frame.TypeRejected {
			return errFrameRejected
		}
		cn.link.mu.Lock()
		err = cn.handleMessage(m)
		cn.link.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// handleMessage handles one message. Its errors wrap errProtocol and end the connection. The caller holds mu.
func (cn *conn) handleMessage(m frame.Message) error {
	cn.lastReceived = time.Now()
	err := cn.dispatch(m)
	cn.awaitingSince = time.Time{}
	if len(cn.calls) > 0 {
		cn.awaitingSince = cn.lastReceived
	}
	if err == nil {
		cn.startIdleTimer()
	}
	return err
}

// dispatch handles a message by its type. The caller holds mu.
func (cn *conn) dispatch(m frame.Message) error {
	switch m.Type {
	case frame.TypeReply:
		return cn.handleReply(&m.Reply)
	case frame.TypeHealth, frame.TypeLoadReport:
		return cn.handleHealth(m)
	}
	return fmt.Errorf("%w: unexpected message type %q", errProtocol, m.Type)
}

// handleReply handles an answer to a call. The caller holds mu.
func (cn *conn) handleReply(reply *frame.Reply) error {
	id := string(reply.ID)
	j := cn.calls[id]
	if j == nil || j.state == jobQueued {
		return cn.handleUnexpectedReply(id)
	}
	r := broker.CallResult{Status: reply.Status, Score: reply.Score, Scored: reply.Scored, LoadReport: reply.LoadReport}
	if r.Status == decision.OK && !utf8.Valid(reply.Value) {
		return fmt.Errorf("%w: the value of %q is not UTF-8", errProtocol, id)
	}
	delete(cn.calls, id)
	cn.markAnswered(id)
	j.state = jobFinished
	if r.Status == decision.OK {
		writeRecorded := !j.writtenAt.IsZero() // the answer may be read before the writer records the write
		if writeRecorded {
			cn.link.recordLatency(time.Since(j.writtenAt))
		}
		r.Value = append([]byte{}, reply.Value...) // copied, since it outlives the buffer
	}
	j.call.Finish(r)
	return nil
}

// handleUnexpectedReply handles an answer that no call awaits. An answer to a cancelled call and a duplicate are ignored; any
// other is a protocol error. The caller holds mu.
func (cn *conn) handleUnexpectedReply(id string) error {
	switch {
	case cn.abandonedIDs[id]:
		delete(cn.abandonedIDs, id)
		cn.markAnswered(id)
	case !cn.answeredIDs[id]:
		return fmt.Errorf("%w: an answer to %q, which was not sent on this connection", errProtocol, id)
	}
	return nil
}

// handleHealth handles an answer to a health check. A server answers them in order. The caller holds mu.
func (cn *conn) handleHealth(m frame.Message) error {
	if len(cn.healthChecks) == 0 {
		return fmt.Errorf("%w: a health check answer without a health check", errProtocol)
	}
	j := cn.healthChecks[0]
	cn.healthChecks = cn.healthChecks[1:]
	j.state = jobFinished
	r := broker.ResultOf(decision.OK)
	if string(m.Body) == "failed" {
		r.Status = decision.Error
	} else if m.Type == frame.TypeLoadReport {
		setLoadReport(&r, m.Body)
	}
	j.healthCheck.Finish(r)
	return nil
}

// setLoadReport sets the load report of a result. A report that cannot be parsed counts as absent.
func setLoadReport(r *broker.CallResult, body []byte) {
	report, err := frame.ParseLoadReport(body)
	if err == nil {
		r.LoadReport = report
	}
}
