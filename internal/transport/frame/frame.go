// Package frame implements the wire protocol of record servers as a state machine that does no I/O. A driver reads into the
// slice that Grow returns, reports the number of bytes read to Advance, and takes complete messages from Next. The slices in a
// message refer to the buffer and are valid until the next call of Grow.
//
// A frame is a big-endian length of four bytes, a type byte and a body. The length counts the type byte and the body.
package frame

import "strconv"

const (
	// MaxFrame is the largest length in bytes that a received frame may state: it fits the first line of a reply and the
	// largest value.
	MaxFrame = 64<<10 + 1024

	lengthSize   = 4   // bytes of the length field
	maxReplyLine = 512 // bytes of the first line of a reply: an id, a status, a score and a load report
)

// Message types.
const (
	TypeCall       byte = 'S' // to a server: a part to serve
	TypeCancel     byte = 'C' // to a server: the id of a part whose answer is not needed
	TypeReply      byte = 'R' // from a server: the result of a part
	TypeHealth     byte = 'H' // to a server: a health check; from a server: its answer
	TypeLoadReport byte = 'M' // to a server: a health check that requests a load report; from a server: its answer
	TypeRejected   byte = 'F' // from a server: it could not parse a frame
)

// secondPhaseSuffix is appended to the ids of parts of a second phase.
const secondPhaseSuffix = ".p2"

// PartID returns the id of a part: the query's id, a dot and the shard, with a suffix in a second phase.
func PartID(query string, shard int, secondPhase bool) string {
	id := query + "." + strconv.Itoa(shard)
	if secondPhase {
		id += secondPhaseSuffix
	}
	return id
}
