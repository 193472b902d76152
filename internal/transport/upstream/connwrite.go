package upstream

import (
	"errors"
	"os"
	"time"

	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
)

const (
	writeTimeout = 2 * time.Second       // for a server to accept a frame, else the connection is reset
	stallTimeout = 20 * time.Millisecond // the same for a frame whose call has been cancelled

	// maxFrameAge is the age at which the frame of a call that is not written yet is rebuilt. The frame states the time that the
	// call has left, and this time must be at most 150 ms old when the frame is written.
	maxFrameAge = 100 * time.Millisecond
)

// writeLoop writes the queued frames until the connection ends.
func (cn *conn) writeLoop() {
	var buf []byte
	for {
		j, frames, ok := cn.nextWrite(buf[:0])
		if !ok {
			return
		}
		buf = frames
		if len(frames) == 0 {
			continue
		}
		n, err := cn.writeFrame(j, frames)
		complete := n == len(frames)
		isCall := j != nil && j.call != nil
		if isCall && complete && cn.link.opt.OnSent != nil {
			cn.link.opt.OnSent(j.call.Class)
		}
		cn.finishWrite(j, complete, err)
	}
}

// nextWrite waits for frames to write and appends them to buf: cancels first, since they save servers work, else a job's frame.
// The job is nil for cancels. Nothing is appended for a job that may no longer start. ok is false if the connection has ended.
func (cn *conn) nextWrite(buf []byte) (j *job, frames []byte, ok bool) {
	for {
		cn.link.mu.Lock()
		switch {
		case cn.closeErr != nil:
			cn.link.mu.Unlock()
			return nil, nil, false
		case len(cn.pendingCancels) > 0:
			for _, id := range cn.pendingCancels {
				buf = frame.Append(buf, frame.TypeCancel, id)
			}
			cn.pendingCancels = cn.pendingCancels[:0]
		case len(cn.queue) > 0:
			j = cn.queue[0]
			cn.queue = cn.queue[1:]
			buf = cn.appendFrame(j, buf)
		default:
			cn.startIdleTimer()
			cn.link.mu.Unlock()
			<-cn.wake
			continue
		}
		cn.writingSince = time.Now()
		cn.link.mu.Unlock()
		return j, buf, true
	}
}

// finishWrite records that a job's frame has been written, completely or in part, and ends the connection after an error.
func (cn *conn) finishWrite(j *job, complete bool, err error) {
	cn.link.mu.Lock()
	defer cn.link.mu.Unlock()
	if j != nil && j.state == jobWriting {
		j.state = jobWritten
		j.writtenAt = time.Now()
		if cn.awaitingSince.IsZero() {
			cn.awaitingSince = j.writtenAt
		}
		if cn.closeErr != nil || err != nil {
			// The connection has ended: the call may have run only if the last byte of its frame was written.
			status := cn.lostStatus()
			if !complete {
				status = decision.Unreachable
			}
			cn.finishJob(j, status)
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cn.reset()
	} else if err != nil {
		cn.fail(err)
	}
}

// appendFrame appends a job's frame to buf, if it may still be sent. The caller holds mu.
func (cn *conn) appendFrame(j *job, buf []byte) []byte {
	switch {
	case j.state == jobFinished:
		return buf
	case j.healthCheck != nil:
		return cn.appendHealthCheck(j, buf)
	case !j.call.TryStart():
		j.state = jobFinished
		delete(cn.calls, j.id)
		return buf
	}
	j.state = jobWriting
	return j.appendCall(buf)
}

// appendHealthCheck appends a health check's frame to buf, if it may still be sent. The caller holds mu.
func (cn *conn) appendHealthCheck(j *job, buf []byte) []byte {
	if !j.healthCheck.TryStart() {
		j.state = jobFinished
		return buf
	}
	messageType := frame.TypeHealth
	if j.healthCheck.WantsLoadReport {
		messageType = frame.TypeLoadReport
	}
	j.state = jobWritten
	cn.healthChecks = append(cn.healthChecks, j)
	return frame.Append(buf, messageType, "")
}

// appendCall appends a call's frame, which states the time that is left now.
func (j *job) appendCall(buf []byte) []byte {
	wait := max(int(time.Until(j.call.Deadline)/time.Millisecond), 1)
	call := frame.Call{ID: j.id, Shard: j.call.Shard, WaitMS: wait, Payload: j.call.Payload}
	if first := j.call.FirstPhase; first != nil {
		call.SecondPhase = true
		call.AnsweredShards = first.AnsweredShards
		call.FirstComplete = first.Complete
	}
	return frame.AppendCall(buf, call)
}

// writeFrame writes frames and returns the number of bytes written; j is nil for cancels. A call's frame states the time that
// is left, so it is rebuilt every maxFrameAge, for writeTimeout at most, while the server accepts no byte of it. A frame that
// was written in part is not rebuilt, and a call that may no longer start is not written.
func (cn *conn) writeFrame(j *job, buf []byte) (n int, err error) {
	limit := time.Now().Add(writeTimeout)
	if j == nil || j.call == nil {
		cn.sock.SetWriteDeadline(limit)
		return cn.sock.Write(buf)
	}
	for {
		cn.sock.SetWriteDeadline(time.Now().Add(maxFrameAge))
		n, err = cn.sock.Write(buf)
		stalled := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if !stalled || !j.call.MayStart() || !time.Now().Before(limit) {
			return n, err
		}
		buf = j.appendCall(buf[:0])
	}
}
