package flight

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/httpwire"
)

var errValueTooLong = fmt.Errorf("the value of the part exceeds %d bytes", httpwire.MaxBody)

// readPart reads the stream of a part until its status. Only a stream that ends with OK has delivered the part.
func readPart(stream flight.FlightService_DoGetClient) (broker.CallResult, error) {
	part := broker.CallResult{Status: decision.OK, LoadReport: decision.NoLoadReport, Value: []byte{}}
	r, err := flight.NewRecordReader(stream)
	if err != nil {
		return part, err
	}
	defer r.Release()
	columns := r.Schema().FieldIndices("value")
	if len(columns) != 1 {
		return part, fmt.Errorf("the schema of the part has %d columns named value, want 1", len(columns))
	}
	for r.Next() {
		rows, ok := r.RecordBatch().Column(columns[0]).(*array.String)
		if !ok {
			return part, fmt.Errorf("the column named value has the type %v, want utf8", r.Schema().Field(columns[0]).Type)
		}
		for i := range rows.Len() {
			part.Value = append(part.Value, rows.Value(i)...)
			if len(part.Value) > httpwire.MaxBody {
				return part, errValueTooLong
			}
		}
		readMetadata(r.LatestAppMetadata(), &part)
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return part, err
	}
	return part, nil
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
