package flight

import (
	"io"
	"slices"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
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
