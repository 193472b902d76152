package flight

import (
	"errors"
	"fmt"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	flatbuffers "github.com/google/flatbuffers/go"

	"mothrouter/internal/transport/httpwire"
)

// Bounds of the messages of a part, which record servers send. A part needs one column, and its value has at most
// httpwire.MaxBody bytes.
const (
	maxSchemaTables = 1024                 // columns, their children and metadata entries of a message
	maxSchemaDepth  = 16                   // of columns within columns
	maxDecodedBytes = 4 * httpwire.MaxBody // that the library allocates for the decoded columns of a part
)

// errMalformed is the error of Arrow data that cannot be decoded.
var errMalformed = errors.New("malformed Arrow data")

var errViewColumn = errors.New("columns of view types are not supported")

// verifiedStream is a stream of messages whose headers have been verified.
type verifiedStream struct{ flight.DataStreamReader }

// Recv returns the next message, or errMalformed if its header is invalid.
func (s verifiedStream) Recv() (*flight.FlightData, error) {
	m, err := s.DataStreamReader.Recv()
	if err != nil {
		return nil, err
	}
	if err := verifyHeader(m.DataHeader); err != nil {
		return nil, err
	}
	return m, nil
}

// verifyHeader checks the lengths in a message's header, which is a flatbuffer (Message.fbs of the Arrow format). The library
// allocates memory by these lengths without comparing them with the size of the header, and the Go runtime ends a process that
// cannot allocate. verifyHeader returns errMalformed if a vector exceeds the header, or columns are nested too deeply or too
// many, and errViewColumn if a column has a view type. An empty header, of a message of metadata only, is valid.
func verifyHeader(header []byte) (err error) {
	defer recoverMalformed(&err) // the flatbuffers library panics on offsets out of range
	if len(header) == 0 {
		return nil
	}
	v := verifier{remainingTables: maxSchemaTables}
	return v.message(flatbuffers.Table{Bytes: header, Pos: flatbuffers.GetUOffsetT(header)})
}

// recoverMalformed turns a panic of a library that decodes Arrow data into an error. It must be deferred.
func recoverMalformed(err *error) {
	if reason := recover(); reason != nil {
		*err = fmt.Errorf("%w: %v", errMalformed, reason)
	}
}

// Slots of the fields in the tables of the Arrow format.
const (
	messageHeaderType flatbuffers.VOffsetT = 6
	messageHeader     flatbuffers.VOffsetT = 8
	messageMetadata   flatbuffers.VOffsetT = 12
	schemaFields      flatbuffers.VOffsetT = 6
	schemaMetadata    flatbuffers.VOffsetT = 8
	fieldTypeType     flatbuffers.VOffsetT = 8
	fieldType         flatbuffers.VOffsetT = 10
	fieldChildren     flatbuffers.VOffsetT = 14
	fieldMetadata     flatbuffers.VOffsetT = 16
	unionTypeIDs      flatbuffers.VOffsetT = 6
	dictionaryData    flatbuffers.VOffsetT = 6
	batchNodes        flatbuffers.VOffsetT = 6
	batchBuffers      flatbuffers.VOffsetT = 8
)

// Types of a message's header, and types of columns that have lengths of their own.
const (
	headerSchema     = 1
	headerDictionary = 2
	headerBatch      = 3
	typeUnion        = 14
	typeBinaryView   = 23
	typeUTF8View     = 24
)

// Sizes of the elements of vectors, in bytes.
const (
	offsetSize      = 4
	typeIDSize      = 4
	batchStructSize = 16 // FieldNode and Buffer
)

// verifier verifies one message. Its methods panic on offsets out of range.
type verifier struct {
	remainingTables int // that may still be visited; an offset may point backwards, so a header may refer to a table repeatedly
}

func (v *verifier) message(m flatbuffers.Table) error {
	if err := v.metadata(m, messageMetadata); err != nil {
		return err
	}
	header, ok := child(m, messageHeader)
	if !ok {
		return nil
	}
	switch m.GetByteSlot(messageHeaderType, 0) {
	case headerSchema:
		if err := v.metadata(header, schemaMetadata); err != nil {
			return err
		}
		return v.columns(header, schemaFields, maxSchemaDepth)
	case headerDictionary:
		if data, ok := child(header, dictionaryData); ok {
			return v.batch(data)
		}
	case headerBatch:
		return v.batch(header)
	}
	return nil
}

// columns verifies the columns in a vector of a table, and their children down to a depth.
func (v *verifier) columns(t flatbuffers.Table, slot flatbuffers.VOffsetT, depth int) error {
	start, n, err := vector(t, slot, offsetSize)
	if err != nil || n == 0 {
		return err
	}
	if depth == 0 {
		return fmt.Errorf("%w: columns are nested too deeply", errMalformed)
	}
	if err := v.visit(n); err != nil {
		return err
	}
	for i := range n {
		column := flatbuffers.Table{Bytes: t.Bytes, Pos: t.Indirect(start + flatbuffers.UOffsetT(i*offsetSize))}
		if err := v.column(column, depth-1); err != nil {
			return err
		}
	}
	return nil
}

func (v *verifier) column(c flatbuffers.Table, depth int) error {
	if err := v.metadata(c, fieldMetadata); err != nil {
		return err
	}
	switch c.GetByteSlot(fieldTypeType, 0) {
	case typeUnion:
		if union, ok := child(c, fieldType); ok {
			if _, _, err := vector(union, unionTypeIDs, typeIDSize); err != nil {
				return err
			}
		}
	case typeBinaryView, typeUTF8View: // the library does not check the number of their buffers
		return errViewColumn
	}
	return v.columns(c, fieldChildren, depth)
}

// metadata verifies the number of entries of a table's metadata.
func (v *verifier) metadata(t flatbuffers.Table, slot flatbuffers.VOffsetT) error {
	_, n, err := vector(t, slot, offsetSize)
	if err != nil {
		return err
	}
	return v.visit(n)
}

// batch verifies a record batch.
func (v *verifier) batch(b flatbuffers.Table) error {
	if _, _, err := vector(b, batchNodes, batchStructSize); err != nil {
		return err
	}
	_, _, err := vector(b, batchBuffers, batchStructSize)
	return err
}

// visit counts n tables.
func (v *verifier) visit(n int) error {
	v.remainingTables -= n
	if v.remainingTables < 0 {
		return fmt.Errorf("%w: more than %d columns and metadata entries", errMalformed, maxSchemaTables)
	}
	return nil
}

// child returns the table that a slot of a table refers to; ok is false if there is none.
func child(t flatbuffers.Table, slot flatbuffers.VOffsetT) (c flatbuffers.Table, ok bool) {
	offset := t.Offset(slot)
	if offset == 0 {
		return c, false
	}
	t.Union(&c, flatbuffers.UOffsetT(offset))
	return c, true
}

// vector returns the start and the number of elements of a table's vector; n is 0 if there is none. A vector that exceeds
// the header is an error.
func vector(t flatbuffers.Table, slot flatbuffers.VOffsetT, elementSize int) (start flatbuffers.UOffsetT, n int, err error) {
	offset := flatbuffers.UOffsetT(t.Offset(slot))
	if offset == 0 {
		return 0, 0, nil
	}
	start, n = t.Vector(offset), t.VectorLen(offset)
	if n > (len(t.Bytes)-int(start))/elementSize {
		return 0, 0, fmt.Errorf("%w: a vector of %d elements exceeds the header", errMalformed, n)
	}
	return start, n, nil
}

// limitedAllocator is an allocator of the Arrow library that panics when the memory in use exceeds a limit: the library decompresses
// buffers to the size that their sender states. It serves one stream, so it is not safe for concurrent use.
type limitedAllocator struct {
	memory.GoAllocator
	remaining int // bytes
}

// Allocate implements memory.Allocator.
func (a *limitedAllocator) Allocate(size int) []byte {
	a.reserve(size)
	return a.GoAllocator.Allocate(size)
}

// Reallocate implements memory.Allocator.
func (a *limitedAllocator) Reallocate(size int, b []byte) []byte {
	a.reserve(size - len(b))
	return a.GoAllocator.Reallocate(size, b)
}

// Free implements memory.Allocator.
func (a *limitedAllocator) Free(b []byte) { a.remaining += len(b) }

func (a *limitedAllocator) reserve(size int) {
	if size > a.remaining {
		panic(fmt.Errorf("%w: more than %d bytes decoded", errMalformed, maxDecodedBytes))
	}
	a.remaining -= size
}
