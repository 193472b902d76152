package front

import "time"

// maxReads bounds the reads that a readLog records separately.
const maxReads = 64

// readLog records when the bytes of a connection were received, so that the time of each request counts from its own last byte,
// even if bytes of later requests have followed while it waited for its turn.
type readLog struct {
	received int64 // bytes since the connection began
	reads    []socketRead
}

// socketRead is one read that received bytes, or several successive ones with the time of the first.
type socketRead struct {
	end        int64 // bytes received up to and including this read
	receivedAt time.Time
}

// add records a read of n bytes. Beyond maxReads it is merged into the latest recorded read, which is earlier. The time of
// a request may then count from before its last byte was received: the request is given less time than it has, never more.
func (l *readLog) add(n int, receivedAt time.Time) {
	if n <= 0 {
		return
	}
	l.received += int64(n)
	if len(l.reads) == maxReads {
		l.reads[maxReads-1].end = l.received
		return
	}
	l.reads = append(l.reads, socketRead{end: l.received, receivedAt: receivedAt})
}

// lastByte returns when the last byte of a request was received; unread is the number of bytes received after that byte. It
// drops earlier reads, so it must be called in the order of the requests.
func (l *readLog) lastByte(unread int) time.Time {
	end := l.received - int64(unread)
	for len(l.reads) > 1 && l.reads[0].end < end {
		l.reads = l.reads[1:]
	}
	if len(l.reads) == 0 {
		return time.Now()
	}
	return l.reads[0].receivedAt
}
