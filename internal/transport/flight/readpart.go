package flight

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/httpwire"
)

var errValueTooLong = fmt.Errorf("the value of the part exceeds %d bytes", httpwire.MaxBody)

// readPart reads the stream of a part until its status. Only a stream that ends with OK has delivered the part. It returns
// errMalformed for data that cannot be decoded.
func readPart(stream flight.DataStreamReader) (part broker.CallResult, err error) {
	defer recoverMalformed(&err) // the Arrow library panics on some malformed messages
	part = broker.CallResult{Status: decision.OK, LoadReport: decision.NoLoadReport, Value: []byte{}}
	r, err := flight.NewRecordReader(verifiedStream{stream}, ipc.WithAllocator(&limitedAllocator{remaining: maxDecodedBytes}))
	if err != nil {
		return part, err
	}
	defer r.Release()
	columns := r.Schema().FieldIndices("value")
	if len(columns) != 1 {
		return part, fmt.Errorf("the schema of the part has %d columns named value, want 1", len(columns))
	}
	for r.Next() {
		if part.Value, err = appendRows(part.Value, r.RecordBatch(), columns[0]); err != nil {
			return part, err
		}
		readMetadata(r.LatestAppMetadata(), &part)
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return part, err
	}
	return part, nil
}

// appendRows appends the rows of a column to a part's value. It validates the batch first: the library decodes a batch without
// a look at most of its offsets, and panics when a row is read whose offsets are out of range.
func appendRows(value []byte, batch arrow.RecordBatch, column int) ([]byte, error) {
	if err := array.ValidateRecordFull(batch); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	rows, ok := batch.Column(column).(*array.String)
	if !ok {
		return nil, fmt.Errorf("the column named value has the type %v, want utf8", batch.Column(column).DataType())
	}
	for i := range rows.Len() {
		value = append(value, rows.Value(i)...)
		if len(value) > httpwire.MaxBody {
			return nil, errValueTooLong
		}
	}
	return value, nil
}

// scoreName is the name of a part's score in the metadata.
const scoreName = "score"

// readMetadata parses the load report and the score in a message's metadata, which is name=value pairs separated by commas. A
// load report or score that cannot be parsed counts as absent, since the value of the part is still valid.
func readMetadata(data []byte, part *broker.CallResult) {
	if len(data) == 0 {
		return
	}
	report, err := frame.ParseLoadReport(data)
	if err == nil {
		part.LoadReport = report
	}
	for pair := range bytes.SplitSeq(data, []byte{','}) {
		name, number, _ := bytes.Cut(pair, []byte{'='})
		if string(name) != scoreName {
			continue
		}
		score, err := strconv.ParseInt(string(number), 10, 64)
		if err == nil {
			part.Score = score
			part.Scored = true
		}
	}
}
