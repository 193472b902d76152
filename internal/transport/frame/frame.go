// Package frame is the protocol of record servers as a state machine. It is fed bytes and knows no socket:
// a driver reads into Grow, reports the count by Advance and takes what has become complete by Next.
// What Next returns are slices of the buffer, good until the next call of Grow.
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"

	"mothrouter/internal/decision"
)

const (
	// MaxFrame is the longest frame that is read: a value that fits an answer, and its line.
	MaxFrame      = 64<<10 + 1024
	headerSize    = 4
	readSize      = 4 << 10
	maxIdleBuffer = 16 << 10 // room that is kept for the next frame
	maxLine       = 512      // of an R: an id, an end, a score and a report
)

// Message is one frame from a record server.
type Message struct {
	Type  byte
	Reply Reply  // of R
	Body  []byte // of the others
}

// Reply is how a part ended.
type Reply struct {
	ID         []byte
	Status     decision.Status
	Score      int64 // by which the shards of a second step are chosen
	Scored     bool  // the score could be read
	LoadReport decision.LoadReport
	Value      []byte
}

// Reader reads frames.
type Reader struct {
	b    []byte
	r, w int
	err  error
}

// Grow returns where to read the next bytes to. It ends what earlier messages refer to.
func (d *Reader) Grow() []byte {
	if d.r > 0 {
		d.w = copy(d.b, d.b[d.r:d.w])
		d.r = 0
	}
	if d.w == 0 && len(d.b) > maxIdleBuffer {
		d.b = nil // a connection that once brought a large value must not keep its room for good
	}
	if len(d.b)-d.w < readSize/2 {
		grown := make([]byte, max(readSize, 2*len(d.b)))
		copy(grown, d.b[:d.w])
		d.b = grown
	}
	return d.b[d.w:]
}

// Advance tells that n more bytes stand at the start of what Grow returned.
func (d *Reader) Advance(n int) { d.w += n }

// Receiving tells that a frame has begun to come and is not whole.
func (d *Reader) Receiving() bool { return d.w > d.r }

// Next returns the next message; ok is false where more bytes must come first. After an error the
// connection cannot be read on.
func (d *Reader) Next() (m Message, ok bool, err error) {
	if d.err != nil {
		return m, false, d.err
	}
	p := d.b[d.r:d.w]
	if len(p) < headerSize {
		return m, false, nil
	}
	n := binary.BigEndian.Uint32(p)
	if n == 0 || n > MaxFrame {
		d.err = fmt.Errorf("a frame of %d bytes", n)
		return m, false, d.err
	}
	// Guards against noise that reads as a length: what follows would be taken for the rest of a frame, and
	// the good answers behind it with it. So no more is waited for than must be.
	if len(p) > headerSize {
		if d.err = plausible(p[headerSize:], int(n)); d.err != nil {
			return m, false, d.err
		}
	}
	if len(p) < headerSize+int(n) {
		return m, false, nil
	}
	d.r += headerSize + int(n)
	m.Type, m.Body = p[headerSize], p[headerSize+1:headerSize+int(n)]
	if m.Type == 'R' {
		m.Reply, d.err = parseReply(m.Body)
	}
	return m, d.err == nil, d.err
}

// plausible tells what is wrong with the bytes so far of a frame of n bytes.
func plausible(p []byte, n int) error {
	switch p[0] {
	case 'S', 'C', 'H', 'M', 'F':
	case 'R':
		if head := p[:min(len(p), n, maxLine)]; len(head) == maxLine && bytes.IndexByte(head, '\n') < 0 {
			return errors.New("an R frame whose line does not end")
		}
	default:
		return fmt.Errorf("a frame of the letter %q", p[0])
	}
	return nil
}

var outcomes = map[string]decision.Status{
	"done": decision.OK, "failed": decision.Error, "full": decision.Overloaded,
}

func parseReply(p []byte) (r Reply, err error) {
	line, value, ok := bytes.Cut(p, []byte{'\n'})
	if !ok {
		return r, errors.New("an R frame without a line")
	}
	var end, score, report []byte
	r.ID, line, _ = bytes.Cut(line, []byte{' '})
	end, line, _ = bytes.Cut(line, []byte{' '})
	score, report, _ = bytes.Cut(line, []byte{' '})
	if n, err := strconv.ParseInt(string(score), 10, 64); err == nil {
		r.Score, r.Scored = n, true
	}
	if r.Status, ok = outcomes[string(end)]; !ok {
		return r, fmt.Errorf("an R frame that ends with %q", end)
	}
	// The value is good whatever the report: one that cannot be read tells nothing and spoils nothing.
	if r.LoadReport, err = ParseLoadReport(report); err != nil {
		r.LoadReport = decision.NoLoadReport
	}
	r.Value = value
	return r, nil
}

// ParseLoadReport reads a load report: name=value pairs set apart by commas, or "-". A deployment's settings list
// its names for the values (report.columns), which differ from the protocol's own; both are known here, any
// other is ignored.
func ParseLoadReport(p []byte) (decision.LoadReport, error) {
	l := decision.NoLoadReport
	for len(p) > 0 && string(p) != "-" {
		var pair []byte
		pair, p, _ = bytes.Cut(p, []byte{','})
		name, number, ok := bytes.Cut(pair, []byte{'='})
		v, err := strconv.ParseFloat(string(number), 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return decision.NoLoadReport, fmt.Errorf("a load report with %q", pair)
		}
		switch string(name) {
		case "inflight", "rif":
			l.InFlight = v
		case "queue", "q":
			l.QueueLength = v
		case "util", "busy":
			l.Utilization = v
		case "latency_ms", "lat_ms":
			l.Latency = v / 1000
		case "qps", "rate":
			l.Rate = v
		case "eps", "fail_rate":
			l.ErrorRate = v
		}
	}
	return l, nil
}

// secondSuffix ends the ids of a second step's parts.
const secondSuffix = ".p2"

// PartID is a part's id: the query's, a dot and the shard, and a mark where it belongs to a second step.
func PartID(query string, shard int, second bool) string {
	id := query + "." + strconv.Itoa(shard)
	if second {
		id += secondSuffix
	}
	return id
}

// Call is one part in a frame S.
type Call struct {
	ID             string
	Shard          int
	WaitMS         int    // how long the broker waits, in milliseconds
	Payload        []byte // the query's text
	SecondPhase    bool   // a part of a second step, whose list tells of the first one:
	AnsweredShards []int  // the shards that were in
	FirstComplete  bool   // whether it was whole
}

// AppendCall writes a frame S with one part behind b.
func AppendCall(b []byte, c Call) []byte {
	at := len(b)
	b = append(append(append(b, 0, 0, 0, 0, 'S'), c.ID...), ' ')
	b = strconv.AppendInt(b, int64(c.Shard), 10)
	b = strconv.AppendInt(append(b, " d="...), int64(c.WaitMS), 10)
	if c.SecondPhase {
		b = appendFirstPhase(b, c.AnsweredShards, c.FirstComplete)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(c.Payload)), 10)
	return closeFrame(append(append(b, '\n'), c.Payload...), at)
}

// appendFirstPhase writes what a second step's list tells of the first step.
func appendFirstPhase(b []byte, from []int, whole bool) []byte {
	b = append(b, ",from="...)
	for i, shard := range from {
		if i > 0 {
			b = append(b, '+')
		}
		b = strconv.AppendInt(b, int64(shard), 10)
	}
	if whole {
		return append(b, ",whole=1"...)
	}
	return append(b, ",whole=0"...)
}

// Append writes a frame of any other letter behind b.
func Append(b []byte, letter byte, rest string) []byte {
	at := len(b)
	return closeFrame(append(append(b, 0, 0, 0, 0, letter), rest...), at)
}

func closeFrame(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-headerSize))
	return b
}
