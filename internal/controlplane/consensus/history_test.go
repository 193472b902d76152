package consensus

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// historyTimeout bounds porcupine's search, in real time. An undecided history counts as a violation.
const historyTimeout = 20 * time.Second

// operation is the input or the output of a client's operation.
type operation struct {
	publish  bool   // else a read
	expected uint64 // of a publication's input
	checksum uint64 // of the published document, or of the newest revision read
	number   uint64 // of the published revision, or of the newest revision read
	rejected bool   // output: expected was not the newest number
	unknown  bool   // output: the client has no response
}

// modelState is the state of the model: the newest revision.
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

// applyOperation reports whether the output of an operation is legal in a state, and returns the state after it.
func applyOperation(state, input, output any) (bool, any) {
	before, request, response := state.(modelState), input.(operation), output.(operation)
	if !request.publish {
		return response.number == before.number && response.checksum == before.checksum, before
	}
	fits := request.expected == 0 || request.expected == before.number
	after := modelState{number: before.number + 1, checksum: request.checksum}
	switch {
	case response.unknown && fits:
		return true, after
	case response.unknown:
		return true, before
	case response.rejected:
		return !fits, before
	}
	return fits && response.number == after.number, after
}
