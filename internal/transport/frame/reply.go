package frame

import (
	"bytes"
	"strconv"

	"mothrouter/internal/decision"
)

// Reply is the result of a part.
type Reply struct {
	ID         []byte
	Status     decision.Status
	Score      int64 // the second phase goes to the shards with the highest scores
	Scored     bool  // the reply has a valid score
	LoadReport decision.LoadReport
	Value      []byte
}

// replyStatuses maps the protocol's status names to statuses.
var replyStatuses = map[string]decision.Status{
	"done": decision.OK, "failed": decision.Error, "full": decision.Overloaded,
}

// parseReply parses the body of a TypeReply frame into reply: a line "id status score report", then the value. A score or load
// report that cannot be parsed counts as absent, since the value is still valid.
func parseReply(reply *Reply, body []byte) error {
	line, value, ok := bytes.Cut(body, []byte{'\n'})
	if !ok {
		return newError("an R frame without a line")
	}
	id, line, _ := bytes.Cut(line, []byte{' '})
	statusName, line, _ := bytes.Cut(line, []byte{' '})
	score, report, _ := bytes.Cut(line, []byte{' '})
	status, ok := replyStatuses[string(statusName)]
	if !ok {
		return newError("an R frame that ends with %q", statusName)
	}
	reply.ID, reply.Status, reply.Value = id, status, value
	if n, err := strconv.ParseInt(string(score), 10, 64); err == nil {
		reply.Score, reply.Scored = n, true
	}
	var err error
	reply.LoadReport, err = ParseLoadReport(report)
	if err != nil {
		reply.LoadReport = decision.NoLoadReport
	}
	return nil
}
