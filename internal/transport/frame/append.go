package frame

import (
	"encoding/binary"
	"strconv"
)

// Call is a request to serve one part.
type Call struct {
	ID             string
	Shard          int
	WaitMS         int    // how long the broker waits, in milliseconds
	Payload        []byte // the query's text
	SecondPhase    bool   // the part belongs to a second phase; only then the fields below are set
	AnsweredShards []int  // the shards that answered in the first phase, ascending
	FirstComplete  bool   // whether the answer of the first phase was complete
}

// AppendCall appends a frame of TypeCall with one part to b.
func AppendCall(b []byte, c Call) []byte {
	start := len(b)
	b = appendHeader(b, TypeCall)
	b = append(b, c.ID...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(c.Shard), 10)
	b = append(b, " d="...)
	b = strconv.AppendInt(b, int64(c.WaitMS), 10)
	if c.SecondPhase {
		b = appendFirstPhase(b, c.AnsweredShards, c.FirstComplete)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(c.Payload)), 10)
	b = append(b, '\n')
	b = append(b, c.Payload...)
	return setLength(b, start)
}

// appendFirstPhase appends the result of the first phase to the options of a TypeCall frame.
func appendFirstPhase(b []byte, answeredShards []int, complete bool) []byte {
	b = append(b, ",from="...)
	for i, shard := range answeredShards {
		if i > 0 {
			b = append(b, '+')
		}
		b = strconv.AppendInt(b, int64(shard), 10)
	}
	if complete {
		return append(b, ",whole=1"...)
	}
	return append(b, ",whole=0"...)
}

// Append appends a frame of a type other than TypeCall to b.
func Append(b []byte, messageType byte, body string) []byte {
	start := len(b)
	b = appendHeader(b, messageType)
	b = append(b, body...)
	return setLength(b, start)
}

// appendHeader appends a placeholder for a frame's length, which setLength fills in, and the frame's type.
func appendHeader(b []byte, messageType byte) []byte {
	return append(b, 0, 0, 0, 0, messageType)
}

// setLength sets the length of the frame that occupies b from start to its end.
func setLength(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}
