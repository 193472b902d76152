package flight

import (
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
	"mothrouter/internal/transport/httpwire"
)

// messageStream is a stream of recorded messages. As a writer it records them, as a reader it returns them one after the other.
type messageStream struct {
	messages []*flight.FlightData
}

func (s *messageStream) Send(m *flight.FlightData) error {
	s.messages = append(s.messages, &flight.FlightData{
		DataHeader:  slices.Clone(m.DataHeader),
		DataBody:    slices.Clone(m.DataBody),
		AppMetadata: slices.Clone(m.AppMetadata),
	})
	return nil
}

func (s *messageStream) Recv() (*flight.FlightData, error) {
	if len(s.messages) == 0 {
		return nil, io.EOF
	}
	m := s.messages[0]
	s.messages = s.messages[1:]
	return m, nil
}

// recordPart returns the messages of a part whose value is sent in rows of one batch.
func recordPart(t testing.TB, options []ipc.Option, rows ...string) []*flight.FlightData {
	t.Helper()
	schema := arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, nil)
	var stream messageStream
	w := flight.NewRecordWriter(&stream, append(options, ipc.WithSchema(schema))...)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for _, row := range rows {
		builder.Field(0).(*array.StringBuilder).Append(row)
	}
	batch := builder.NewRecordBatch()
	defer batch.Release()
	require.NoError(t, w.WriteWithAppMetadata(batch, []byte("inflight=2,util=0.3")))
	require.NoError(t, w.Close())
	return stream.messages
}

func TestReadPartJoinsRows(t *testing.T) {
	part, err := readPart(&messageStream{recordPart(t, nil, "five", "be", "2a7c")})
	require.NoError(t, err)
	require.Equal(t, decision.OK, part.Status)
	require.Equal(t, "fivebe2a7c", string(part.Value))
	require.Equal(t, 2., part.LoadReport.InFlight)
}

// partColumns are the columns of parts with more than a value: types that have children, a dictionary or vectors of their own.
var partColumns = []arrow.Field{
	{Name: "list", Type: arrow.ListOf(arrow.StructOf(arrow.Field{Name: "n", Type: arrow.PrimitiveTypes.Int32, Nullable: true}))},
	{Name: "dictionary", Type: &arrow.DictionaryType{IndexType: arrow.PrimitiveTypes.Int8, ValueType: arrow.BinaryTypes.String}},
	{Name: "large", Type: arrow.BinaryTypes.LargeString},
	{Name: "union", Type: arrow.DenseUnionOf([]arrow.Field{{Name: "a", Type: arrow.PrimitiveTypes.Int16}}, []arrow.UnionTypeCode{5})},
	{Name: "fixed", Type: arrow.FixedSizeListOf(2, arrow.PrimitiveTypes.Int8)},
	{Name: "map", Type: arrow.MapOf(arrow.BinaryTypes.String, arrow.FixedWidthTypes.Boolean)},
}

// recordWidePart returns the messages of a part with two rows and partColumns.
func recordWidePart(t testing.TB) []*flight.FlightData {
	t.Helper()
	md := arrow.NewMetadata([]string{"key"}, []string{"value"})
	schema := arrow.NewSchema(append([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, partColumns...), &md)
	const row = `{"value": "five", "list": [{"n": 1}], "dictionary": "d", "large": "text",
		"union": [5, 7], "fixed": [1, 2], "map": [{"key": "k", "value": true}]}`
	batch, _, err := array.RecordFromJSON(memory.DefaultAllocator, schema, strings.NewReader("["+row+","+row+"]"))
	require.NoError(t, err)
	defer batch.Release()
	var stream messageStream
	w := flight.NewRecordWriter(&stream, ipc.WithSchema(schema))
	require.NoError(t, w.Write(batch))
	require.NoError(t, w.Close())
	return stream.messages
}

// recordedParts returns the messages of intact parts, by name.
func recordedParts(t testing.TB) map[string][]*flight.FlightData {
	return map[string][]*flight.FlightData{
		"plain": recordPart(t, nil, "five", "be2a7c"),
		"lz4":   recordPart(t, []ipc.Option{ipc.WithLZ4()}, "five", strings.Repeat("be2a7c", 40)),
		"zstd":  recordPart(t, []ipc.Option{ipc.WithZstd()}, "five", strings.Repeat("be2a7c", 40)),
		"wide":  recordWidePart(t),
	}
}

// TestReadPartSurvivesEverySpoiltBit guards against a process that ends because one bit of an answer is wrong: of a row's offset, or
// of a length by which the Arrow library allocates memory.
func TestReadPartSurvivesEverySpoiltBit(t *testing.T) {
	for name, messages := range recordedParts(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := readPart(&messageStream{slices.Clone(messages)})
			require.NoError(t, err, "the intact part")
			rejected := 0
			for _, m := range messages {
				for _, content := range [][]byte{m.DataHeader, m.DataBody} {
					for bit := range len(content) * 8 {
						content[bit/8] ^= 1 << (bit % 8)
						part, err := readPart(&messageStream{slices.Clone(messages)})
						content[bit/8] ^= 1 << (bit % 8)
						if err != nil {
							rejected++
							continue
						}
						require.LessOrEqual(t, len(part.Value), httpwire.MaxBody)
					}
				}
			}
			require.Positive(t, rejected)
		})
	}
}

// TestReadPartBoundsMemoryOfDecodedColumns guards against buffers that are compressed and state a huge size.
func TestReadPartBoundsMemoryOfDecodedColumns(t *testing.T) {
	for name, option := range map[string]ipc.Option{"lz4": ipc.WithLZ4(), "zstd": ipc.WithZstd()} {
		for _, size := range []uint64{maxDecodedBytes + 1, 1 << 33, 1 << 40, 1 << 62, 1 << 63} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				messages := recordPart(t, []ipc.Option{option}, strings.Repeat("be2a7c", 40))
				binary.LittleEndian.PutUint64(messages[1].DataBody, size) // of the offsets, the first buffer
				_, err := readPart(&messageStream{messages})
				require.Error(t, err)
			})
		}
	}
}

// TestReadPartRejectsViewColumns guards against the number of a view column's buffers, by which the library allocates memory.
func TestReadPartRejectsViewColumns(t *testing.T) {
	for _, view := range []arrow.DataType{arrow.BinaryTypes.StringView, arrow.BinaryTypes.BinaryView} {
		for _, column := range []arrow.DataType{view, arrow.ListOf(view)} {
			schema := arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}, {Name: "other", Type: column}}, nil)
			var stream messageStream
			require.NoError(t, flight.NewRecordWriter(&stream, ipc.WithSchema(schema)).Close())
			_, err := readPart(&stream)
			require.ErrorIs(t, err, errViewColumn)
		}
	}
}

// TestReadPartBoundsNestedColumns guards against columns that are nested without end: offsets of a header may point backwards, or
// to the same column repeatedly.
func TestReadPartBoundsNestedColumns(t *testing.T) {
	column := arrow.DataType(arrow.PrimitiveTypes.Int8)
	for range maxSchemaDepth {
		column = arrow.ListOf(column)
	}
	for name, fields := range map[string][]arrow.Field{
		"deep": {{Name: "value", Type: arrow.BinaryTypes.String}, {Name: "deep", Type: column}},
		"many": slices.Repeat([]arrow.Field{{Name: "c", Type: arrow.PrimitiveTypes.Int8}}, maxSchemaTables+1),
	} {
		t.Run(name, func(t *testing.T) {
			var stream messageStream
			require.NoError(t, flight.NewRecordWriter(&stream, ipc.WithSchema(arrow.NewSchema(fields, nil))).Close())
			_, err := readPart(&stream)
			require.ErrorIs(t, err, errMalformed)
		})
	}
}

// FuzzReadPart checks that no messages of a record server make the decoder panic or allocate without bound.
func FuzzReadPart(f *testing.F) {
	for _, messages := range recordedParts(f) {
		schema, batch := messages[0], messages[len(messages)-1]
		f.Add(schema.DataHeader, messages[1].DataHeader, messages[1].DataBody, batch.DataHeader, batch.DataBody)
	}
	f.Fuzz(func(t *testing.T, schema, dictionary, values, batch, body []byte) {
		part, err := readPart(&messageStream{[]*flight.FlightData{
			{DataHeader: schema}, {DataHeader: dictionary, DataBody: values}, {DataHeader: batch, DataBody: body},
		}})
		if err == nil {
			require.LessOrEqual(t, len(part.Value), httpwire.MaxBody)
		}
	})
}

// TestReadPartRejectsOffsetsOutOfRange guards against offsets of rows that the library does not check when it decodes a batch.
func TestReadPartRejectsOffsetsOutOfRange(t *testing.T) {
	for name, offsets := range map[string][3]byte{
		"beyond the data": {0, 200, 10}, "decreasing": {6, 4, 10}, "first beyond the data": {200, 200, 10},
	} {
		t.Run(name, func(t *testing.T) {
			messages := recordPart(t, nil, "five", "be2a7c")
			body := messages[len(messages)-1].DataBody
			for i, offset := range offsets { // three little-endian int32 at the begin of the body
				body[4*i] = offset
			}
			_, err := readPart(&messageStream{messages})
			require.ErrorIs(t, err, errMalformed)
		})
	}
}
