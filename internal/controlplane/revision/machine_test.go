package revision

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/configpb"
)

// command returns a command that publishes a document; it is accepted after any newest revision if expected is 0.
func command(request, expected uint64, document string) *configpb.Command {
	return &configpb.Command{
		Request: request, Expected: expected, Document: []byte(document), PublishedUnixMs: int64(1000 + request),
	}
}

func TestApplyNumbersRevisions(t *testing.T) {
	machine := NewStateMachine()
	require.Nil(t, machine.Newest())
	require.Zero(t, machine.Number())
	for number := uint64(1); number <= 3; number++ {
		result := machine.Apply(10*number, command(number, 0, fmt.Sprint("document ", number)))
		require.Equal(t, Result{Number: number}, result)
	}
	require.Equal(t, uint64(30), machine.Applied())
	require.Equal(t, uint64(3), machine.Newest().GetNumber())
	second := machine.Get(2)
	require.Equal(t, "document 2", string(second.GetDocument()))
	require.Equal(t, xxhash.Sum64String("document 2"), second.GetChecksum())
	require.Equal(t, int64(1002), second.GetPublishedUnixMs())
	require.Equal(t, machine.Newest(), machine.Get(0))
	require.Nil(t, machine.Get(4))
}

func TestApplyRejectsInvalidCommands(t *testing.T) {
	machine := NewStateMachine()
	require.Equal(t, Accepted, machine.Apply(1, command(1, 0, "first")).Rejection)
	for index, test := range []struct {
		command *configpb.Command
		want    Rejection
	}{
		{command(2, 2, "expects a later revision"), NotNewest},
		{command(3, 0, ""), NoDocument},
		{command(0, 0, "without a request id"), NoRequest},
		{command(4, 0, string(make([]byte, MaxDocumentBytes+1))), Oversized},
		{command(1, 0, "other"), RequestReused},
		{nil, Undecodable},
	} {
		result := machine.Apply(uint64(index+2), test.command)
		require.Equal(t, Result{Rejection: test.want, Number: 1}, result, test.want)
		require.NotContains(t, test.want.String(), "rejection ")
	}
	require.Equal(t, uint64(7), machine.Applied(), "rejected entries count as applied")
	require.Equal(t, uint64(1), machine.Number())
	largest := command(9, 1, string(make([]byte, MaxDocumentBytes)))
	require.Equal(t, Result{Number: 2}, machine.Apply(8, largest))
	require.Equal(t, NotNewest, machine.Apply(9, command(10, 1, "expects an earlier revision")).Rejection)
	require.Equal(t, "rejection 99", Rejection(99).String())
}

func TestApplyRetryReturnsFirstNumber(t *testing.T) {
	machine := NewStateMachine()
	machine.Apply(1, command(7, 0, "first"))
	machine.Apply(2, command(8, 1, "second"))
	require.Equal(t, Result{Number: 1, Repeated: true}, machine.Apply(3, command(7, 0, "first")))
	require.Equal(t, Result{Number: 2, Repeated: true}, machine.Apply(4, command(8, 1, "second")), "retries ignore expected")
	require.Equal(t, uint64(2), machine.Number())
}

func TestApplyAcceptsRequestIDOfRejectedCommand(t *testing.T) {
	machine := NewStateMachine()
	require.Equal(t, NotNewest, machine.Apply(1, command(7, 3, "document")).Rejection)
	require.Equal(t, Result{Number: 1}, machine.Apply(2, command(7, 0, "document")))
}

func TestApplyLimitsRecordedRequests(t *testing.T) {
	machine := NewStateMachine()
	for request := uint64(1); request <= MaxRequests+1; request++ {
		machine.Apply(request, command(request, 0, fmt.Sprint(request)))
	}
	require.Len(t, machine.requests, MaxRequests)
	require.Len(t, machine.requestByID, MaxRequests)
	require.Equal(t, Result{Number: 2, Repeated: true}, machine.Apply(MaxRequests+2, command(2, 0, "2")))
	require.Equal(t, Result{Number: MaxRequests + 2}, machine.Apply(MaxRequests+3, command(1, 0, "1")), "dropped request")
}

func TestApplyLimitsHistory(t *testing.T) {
	machine := NewStateMachine()
	for number := uint64(1); number <= MaxHistory+5; number++ {
		machine.Apply(number, command(number, 0, "small"))
	}
	require.Equal(t, uint64(6), machine.Oldest())
	require.Nil(t, machine.Get(5))
	require.Equal(t, uint64(6), machine.Get(6).GetNumber())

	machine = NewStateMachine()
	document := string(make([]byte, MaxDocumentBytes))
	for number := uint64(1); number <= 300; number++ {
		machine.Apply(number, command(number, 0, document))
	}
	require.Len(t, machine.history, MaxHistoryBytes/MaxDocumentBytes)
	require.Equal(t, uint64(300), machine.Newest().GetNumber())
	require.Equal(t, machine.Get(machine.Oldest()).GetNumber(), machine.Oldest())
	require.LessOrEqual(t, len(machine.Snapshot()), MaxSnapshotBytes)
}

func TestApplyPanicsOnRepeatedIndex(t *testing.T) {
	machine := NewStateMachine()
	machine.Skip(4)
	require.Panics(t, func() { machine.Apply(4, command(1, 0, "again")) })
	require.Panics(t, func() { machine.Skip(3) })
}
