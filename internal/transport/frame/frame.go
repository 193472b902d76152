// Package frame is the protocol of record servers as a state machine without a socket. A driver reads into the slice that Grow
// returns, reports the count to Advance and takes complete messages by Next. What Next returns are slices of the buffer, valid
// until the next call of Grow. A frame is its length as four bytes, big endian, a byte of type, and the body.
package frame

import "strconv"

const (
	// MaxFrame is the longest frame in bytes that is read: the largest value of an answer, and its line.
	MaxFrame = 64<<10 + 1024

	headerSize   = 4   // bytes of a frame's length
	maxReplyLine = 512 // bytes of the first line of a reply: an id, a status, a score and a load report
)

// The types of messages.
const (
	TypeCall       byte = 'S' // to a server: parts to serve
	TypeCancel     byte = 'C' // to a server: the id of a part whose answer is not needed
	TypeReply      byte = 'R' // from a server: how a part ended
	TypeHealth     byte = 'H' // a health check, and its answer
	TypeLoadReport byte = 'M' // a health check that asks for a load report, and its answer
	TypeRejected   byte = 'F' // from a server: it could not parse a frame
)

// secondPhaseSuffix ends the ids of a second phase's parts.
const secondPhaseSuffix = ".p2"

// PartID returns the id of a part: the query's id, a dot and the shard, with a suffix in a second phase.
func PartID(query string, shard int, secondPhase bool) string {
	id := query + "." + strconv.Itoa(shard)
	if secondPhase {
		id += secondPhaseSuffix
	}
	return id
}
