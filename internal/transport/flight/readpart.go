package flight

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/httpwire"
)

var errTooLong = errors.New("the value is too long")

// readPart reads a part's stream to its status. Only a stream that ends with OK has delivered the part.
func readPart(stream flight.FlightService_DoGetClient) (broker.CallResult, error) {
	part := broker.CallResult{Status: decision.OK, LoadReport: decision.NoLoadReport, Value: []byte{}}
	r, err := flight.NewRecordReader(stream)
	if err != nil {
		return part, err
	}
	defer r.Release()
	column := r.Schema().FieldIndices("value")
	if len(column) != 1 {
		return part, errors.New("a part's schema has one column named value")
	}
	for r.Next() {
		rows, ok := r.RecordBatch().Column(column[0]).(*array.String)
		if !ok {
			return part, errors.New("a part's value is utf8")
		}
		for i := range rows.Len() {
			part.Value = append(part.Value, rows.Value(i)...)
			if len(part.Value) > httpwire.MaxBody {
				return part, errTooLong
			}
		}
		readMetadata(r.LatestAppMetadata(), &part)
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return part, err
	}
	return part, nil
}

// scoreName is the metadata's name for the score of a part.
const scoreName = "score"

// readMetadata parses the load report and the score in a message's metadata, name=value pairs separated by commas. A pair that
// cannot be parsed counts as absent: the value is valid all the same.
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
