package consensus

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// historyTimeout bounds the wall-clock time of porcupine's search. A search that times out counts as a violation.
const historyTimeout = 20 * time.Second

// operation is the input or the output of a client's operation.
type operation struct {
	publish  bool   // publication; false: read
	expected uint64 // input of a publication: expected newest revision number; 0: any
	checksum uint64 // of the published document, or of the newest revision read
	number   uint64 // output: of the published revision, or of the newest revision read
	rejected bool   // output: expected was not the newest revision number
	unknown  bool   // output: the client received no response
}

// modelState is the state of revisionsModel: the newest revision.
type modelState struct {
	number   uint64
	checksum uint64
}

// revisionsModel is the sequential specification of publications and reads.
var revisionsModel = porcupine.Model{
	Init:              func() any { return modelState{} },
	Step:              applyOperation,
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// applyOperation reports whether the output of an operation is allowed in a state, and returns the state after the
// operation.
func applyOperation(state, input, output any) (bool, any) {
	before, request, response := state.(modelState), input.(operation), output.(operation)
	if !request.publish {
		return response.number == before.number && response.checksum == before.checksum, before
	}
	matches := request.expected == 0 || request.expected == before.number
	after := modelState{number: before.number + 1, checksum: request.checksum}
	switch {
	case response.unknown && matches:
		return true, after
	case response.unknown:
		return true, before
	case response.rejected:
		return !matches, before
	}
	return matches && response.number == after.number, after
}
