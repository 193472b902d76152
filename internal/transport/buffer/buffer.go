// Package buffer provides the receive buffer of the transport's state machines. A driver reads into the slice that Grow returns
// and reports the number of bytes read to Advance; a state machine consumes the unread bytes. All slices refer to the buffer's
// memory and are valid until the next call of Grow.
package buffer

const (
	minAllocation = 4 << 10           // bytes of the first allocation
	minReadSize   = minAllocation / 2 // minimum bytes that Grow returns; less would cause small reads
	maxIdle       = minAllocation     // bytes of memory that an empty buffer keeps for the next message
)

// Buffer holds received bytes until a state machine has consumed them. Before the unread bytes it keeps the message that is
// being assembled from them. The zero value is an empty buffer.
//
//	bytes: [ discarded | message | consumed | unread | free ]
type Buffer struct {
	bytes        []byte
	messageStart int
	messageEnd   int
	readOffset   int
	writeOffset  int
	consumed     int64 // total bytes, since the buffer was first used
}

// Grow returns free memory for the next bytes, minReadSize or more. It invalidates every slice returned earlier. An empty
// buffer drops its memory if that is more than maxIdle: a connection that once received a large message must not keep it.
func (b *Buffer) Grow() []byte {
	size := b.CapAfterGrow()
	b.closeGap()
	empty := b.messageStart == b.writeOffset
	if empty || len(b.bytes)-b.writeOffset < minReadSize {
		b.Compact()
	}
	if size != len(b.bytes) {
		resized := make([]byte, size)
		copy(resized, b.bytes[:b.writeOffset])
		b.bytes = resized
	}
	return b.bytes[b.writeOffset:]
}

// CapAfterGrow returns what Cap will return after the next call of Grow.
func (b *Buffer) CapAfterGrow() int {
	used := b.messageEnd - b.messageStart + len(b.Unread())
	switch {
	case used == 0 && len(b.bytes) > maxIdle:
		return minAllocation
	case len(b.bytes)-used < minReadSize:
		return max(minAllocation, 2*len(b.bytes))
	}
	return len(b.bytes)
}

// Advance marks the first n bytes of the slice that Grow returned as received.
func (b *Buffer) Advance(n int) { b.writeOffset += n }

// Compact moves the message and the unread bytes to the start of the memory. It invalidates every slice returned earlier.
func (b *Buffer) Compact() {
	shift := b.messageStart
	if shift == 0 {
		return
	}
	copy(b.bytes, b.bytes[shift:b.writeOffset])
	b.messageStart = 0
	b.messageEnd -= shift
	b.readOffset -= shift
	b.writeOffset -= shift
}

// closeGap moves the unread bytes to the end of the message. Skip leaves a gap between the message and the unread bytes, which
// would otherwise grow with the framing of every chunk.
func (b *Buffer) closeGap() {
	if b.readOffset == b.messageEnd {
		return
	}
	n := copy(b.bytes[b.messageEnd:], b.Unread())
	b.readOffset = b.messageEnd
	b.writeOffset = b.messageEnd + n
}

// Unread returns the received bytes that are not consumed.
func (b *Buffer) Unread() []byte { return b.bytes[b.readOffset:b.writeOffset] }

// Skip consumes the first n unread bytes.
func (b *Buffer) Skip(n int) {
	b.readOffset += n
	b.consumed += int64(n)
}

// StartMessage discards the message and starts an empty one at the first unread byte.
func (b *Buffer) StartMessage() { b.messageStart, b.messageEnd = b.readOffset, b.readOffset }

// Append consumes the first n unread bytes and appends them to the message.
func (b *Buffer) Append(n int) {
	b.messageEnd += copy(b.bytes[b.messageEnd:], b.Unread()[:n])
	b.Skip(n)
}

// Message returns the message so far. Appending to the slice does not overwrite the buffer.
func (b *Buffer) Message() []byte { return b.bytes[b.messageStart:b.messageEnd:b.messageEnd] }

// Discard removes the first n bytes of the message.
func (b *Buffer) Discard(n int) { b.messageStart += n }

// Cap returns the size of the memory in bytes.
func (b *Buffer) Cap() int { return len(b.bytes) }

// Consumed returns how many bytes have been consumed since the buffer was first used: the offset of the first unread byte in
// the stream.
func (b *Buffer) Consumed() int64 { return b.consumed }
