// Package flight implements Arrow Flight: a front for partner billing systems, and a link to record servers that speak Flight.
// docs/flight.md describes the tickets, schemas, metadata and statuses.
package flight

import (
	"errors"
	"fmt"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/go-json-experiment/json/jsontext"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"mothrouter/internal/broker"
	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/httpwire"
	"mothrouter/internal/transport/strictjson"
)

// maxMessageSize is the largest gRPC message in bytes: the body of a query and the fields around it.
const maxMessageSize = httpwire.MaxBody + 4<<10

// maxHeaderListSize is the largest header or trailer of a call, in bytes, from clients and from record servers.
const maxHeaderListSize = 8 << 10

// Ticket requests a query from a broker: the body of an HTTP query with the values of its headers. The client's deadline is
// that of the gRPC call.
type Ticket struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	Retry bool   `json:"retry,omitempty"`
	httpwire.Body
}

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (t *Ticket) UnmarshalJSONFrom(decoder *jsontext.Decoder) error {
	return strictjson.ReadObject(decoder, append(t.Members(),
		strictjson.Member{Name: "id", Value: &t.ID},
		strictjson.Member{Name: "class", Value: &t.Class},
		strictjson.Member{Name: "retry", Value: &t.Retry, Optional: true},
	)...)
}

// PartTicket requests one part from a record server.
type PartTicket struct {
	ID        string `json:"id"` // the query's id, a dot and the partition; with the suffix ".p2" in a second phase
	Partition int    `json:"partition"`
	Query     string `json:"query"`
	// FirstPhase is the result of the first phase, for a part of a second phase; absent for a part of the first.
	FirstPhase *FirstPhase `json:"first_step,omitempty"`
}

// FirstPhase is the result of the first phase in the ticket of a part of the second.
type FirstPhase struct {
	AnsweredShards []int `json:"from"` // the partitions that answered, ascending
	Complete       bool  `json:"whole"`
}

// partTicket returns the ticket of a call.
func partTicket(c *broker.Call) PartTicket {
	t := PartTicket{
		ID:        frame.PartID(c.Query, c.Shard, c.FirstPhase != nil),
		Partition: c.Shard,
		Query:     string(c.Payload),
	}
	if c.FirstPhase != nil {
		t.FirstPhase = &FirstPhase{AnsweredShards: c.FirstPhase.AnsweredShards, Complete: c.FirstPhase.Complete}
	}
	return t
}

// AnswerMetadata is the application metadata of the last message of an answer. An answer without it is truncated.
type AnswerMetadata struct {
	ID       string `json:"id"`
	Class    string `json:"class"`
	Complete bool   `json:"whole"`
	Parts    int    `json:"parts"` // rows of the answer
}

// Keys of the schema's metadata.
const (
	idKey    = "mothrouter.id"
	classKey = "mothrouter.class"
)

// answerSchema returns the schema of a broker's answer.
func answerSchema(id, class string) *arrow.Schema {
	md := arrow.NewMetadata([]string{idKey, classKey}, []string{id, class})
	return arrow.NewSchema([]arrow.Field{
		{Name: "partition", Type: arrow.PrimitiveTypes.Int32},
		{Name: "value", Type: arrow.BinaryTypes.String},
	}, &md)
}

// codeOf maps outcomes to gRPC status codes. UNAVAILABLE with RetryInfo means that a retry is safe; gRPC itself returns
// UNAVAILABLE for a broken connection, without RetryInfo.
var codeOf = map[broker.Outcome]codes.Code{
	broker.Rejected:         codes.Unavailable,
	broker.Failed:           codes.Aborted,
	broker.DeadlineExceeded: codes.DeadlineExceeded,
	broker.Duplicate:        codes.AlreadyExists,
}

// messageOf maps outcomes to the messages of their gRPC statuses.
var messageOf = map[broker.Outcome]string{
	broker.Rejected:         "refused: trying again is harmless",
	broker.Failed:           "failed: parts may have run",
	broker.DeadlineExceeded: "the time is up",
	broker.Duplicate:        "a query of this id is being served",
}

// statusOf returns the gRPC status of a query that was not answered.
func statusOf(r broker.Result) error {
	s := status.New(codeOf[r.Outcome], messageOf[r.Outcome])
	if r.Outcome != broker.Rejected {
		return s.Err()
	}
	detailed, err := s.WithDetails(&errdetails.RetryInfo{
		RetryDelay: durationpb.New(secondsOf(r.RetryAfter)),
	})
	if err != nil { // UNAVAILABLE without RetryInfo would not state that a retry is safe
		return status.Error(codes.Aborted, err.Error())
	}
	return detailed.Err()
}

// isRejected reports whether a status is a rejection: no non-idempotent part has run.
func isRejected(err error) bool {
	s, ok := status.FromError(err)
	if !ok || s.Code() != codes.Unavailable {
		return false
	}
	for _, d := range s.Details() {
		if _, ok := d.(*errdetails.RetryInfo); ok {
			return true
		}
	}
	return false
}

// parseTicket parses a ticket of at most maxMessageSize bytes.
func parseTicket(data []byte) (*Ticket, error) {
	var t Ticket
	if len(data) > maxMessageSize {
		return nil, errors.New("the ticket is too long")
	}
	if err := strictjson.Unmarshal(data, &t); err != nil {
		return nil, fmt.Errorf("ticket: %w", err)
	}
	return &t, nil
}
