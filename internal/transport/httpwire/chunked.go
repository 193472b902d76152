package httpwire

import (
	"bytes"
	"net/textproto"
	"strconv"
)

// chunkedDecoder removes the framing of a chunked body.
type chunkedDecoder struct {
	state         chunkState
	remaining     int // bytes of the current chunk that are not decoded
	trailerLength int // bytes of the trailer so far
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
	chunkDone
)

func (d *chunkedDecoder) done() bool { return d.state == chunkDone }

// decode decodes the start of the unread bytes: chunk data if isData, else one line of framing. It returns how many bytes it
// has used; 0 if more must be received first or the body has ended.
func (d *chunkedDecoder) decode(unread []byte) (used int, isData bool, err error) {
	switch d.state {
	case chunkDone:
		return 0, false, nil
	case chunkData:
		used = min(d.remaining, len(unread))
		d.remaining -= used
		if d.remaining == 0 {
			d.state = chunkEnd
		}
		return used, true, nil
	}
	limit := maxChunkLine
	if d.state == chunkTrailer {
		limit = maxHead
	}
	end := bytes.IndexByte(unread, '\n')
	// The limit also applies to an incomplete line, so that the result does not depend on how the input is split into reads.
	if end > limit || end < 0 && len(unread) > limit {
		return 0, false, tooLarge(400, limit, "a line of the chunked body is too long")
	}
	if end < 0 {
		return 0, false, nil
	}
	used = end + 1
	if err := d.parseLine(bytes.TrimSuffix(unread[:end], []byte("\r")), used); err != nil {
		return 0, false, err
	}
	return used, false, nil
}

// parseLine parses one line of framing; size is its length in bytes with the line end.
func (d *chunkedDecoder) parseLine(line []byte, size int) error {
	switch d.state {
	case chunkSize:
		return d.parseSize(line)
	case chunkEnd:
		if len(line) > 0 {
			return malformed("a chunk is longer than its size")
		}
		d.state = chunkSize
	case chunkTrailer:
		if len(line) == 0 {
			d.state = chunkDone
		}
		d.trailerLength += size
		if d.trailerLength > maxHead {
			return tooLarge(431, maxHead, "the trailer is too long")
		}
	}
	return nil
}

// parseSize parses a chunk-size line. Chunk extensions are ignored.
func (d *chunkedDecoder) parseSize(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(textproto.TrimBytes(size)), 16, 31)
	if err != nil {
		return malformed("chunk size: cannot read %q", size)
	}
	if n == 0 {
		d.state = chunkTrailer
		return nil
	}
	d.remaining, d.state = int(n), chunkData
	return nil
}
