package revision

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision/revisionpb"
)

// command returns a publication of a document; expected 0 accepts any newest revision.
func command(request, expected uint64, document string) *configpb.Command {
	return &configpb.Command{
		Request: request, Expected: expected, Document: []byte(document), PublishedUnixMs: int64(1000 + request),
	}
}

func TestApplyNumbersRevisions(t *testing.T) {
	machine := NewMachine()
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
	machine := NewMachine()
	require.Equal(t, Accepted, machine.Apply(1, command(1, 0, "first")).Rejection)
	for index, bad := range []struct {
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
		result := machine.Apply(uint64(index+2), bad.command)
		require.Equal(t, Result{Rejection: bad.want, Number: 1}, result, bad.want)
		require.NotContains(t, bad.want.String(), "rejection ")
	}
	require.Equal(t, uint64(7), machine.Applied(), "a rejected entry counts as applied")
	require.Equal(t, uint64(1), machine.Number())
	largest := command(9, 1, string(make([]byte, MaxDocumentBytes)))
	require.Equal(t, Result{Number: 2}, machine.Apply(8, largest))
	require.Equal(t, NotNewest, machine.Apply(9, command(10, 1, "expects an earlier revision")).Rejection)
	require.Equal(t, "rejection 99", Rejection(99).String())
}

func TestApplyRetryReturnsFirstNumber(t *testing.T) {
	machine := NewMachine()
	machine.Apply(1, command(7, 0, "first"))
	machine.Apply(2, command(8, 1, "second"))
	require.Equal(t, Result{Number: 1, Repeated: true}, machine.Apply(3, command(7, 0, "first")))
	require.Equal(t, Result{Number: 2, Repeated: true}, machine.Apply(4, command(8, 1, "second")), "whatever the expected number")
	require.Equal(t, uint64(2), machine.Number())
}

func TestApplyAcceptsRejectedRequestLater(t *testing.T) {
	machine := NewMachine()
	require.Equal(t, NotNewest, machine.Apply(1, command(7, 3, "document")).Rejection)
	require.Equal(t, Result{Number: 1}, machine.Apply(2, command(7, 0, "document")))
}

func TestApplyLimitsRecordedRequests(t *testing.T) {
	machine := NewMachine()
	for request := uint64(1); request <= MaxRequests+1; request++ {
		machine.Apply(request, command(request, 0, fmt.Sprint(request)))
	}
	require.Len(t, machine.requests, MaxRequests)
	require.Len(t, machine.requestByID, MaxRequests)
	require.Equal(t, Result{Number: 2, Repeated: true}, machine.Apply(MaxRequests+2, command(2, 0, "2")))
	require.Equal(t, Result{Number: MaxRequests + 2}, machine.Apply(MaxRequests+3, command(1, 0, "1")), "no longer recorded")
}

func TestApplyLimitsHistory(t *testing.T) {
	machine := NewMachine()
	for number := uint64(1); number <= MaxHistory+5; number++ {
		machine.Apply(number, command(number, 0, "small"))
	}
	require.Equal(t, uint64(6), machine.Oldest())
	require.Nil(t, machine.Get(5))
	require.Equal(t, uint64(6), machine.Get(6).GetNumber())

	machine = NewMachine()
	document := string(make([]byte, MaxDocumentBytes))
	for number := uint64(1); number <= 300; number++ {
		machine.Apply(number, command(number, 0, document))
	}
	require.Len(t, machine.history, MaxHistoryBytes/MaxDocumentBytes)
	require.Equal(t, uint64(300), machine.Newest().GetNumber())
	require.Equal(t, machine.Get(machine.Oldest()).GetNumber(), machine.Oldest())
	require.LessOrEqual(t, len(machine.Snapshot()), MaxSnapshotBytes)
}

func TestSnapshotOfLargestStateWithinLimit(t *testing.T) {
	machine := NewMachine()
	document := bytes.Repeat([]byte{'x'}, MaxHistoryBytes/MaxHistory)
	for number := uint64(1); number <= MaxHistory; number++ {
		machine.Apply(number, &configpb.Command{Request: ^number, Document: document, PublishedUnixMs: -1})
	}
	require.Len(t, machine.history, MaxHistory)
	snapshot := machine.Snapshot()
	require.LessOrEqual(t, len(snapshot), MaxSnapshotBytes)
	_, err := Restore(snapshot)
	require.NoError(t, err)
}

func TestApplyPanicsOnRepeatedIndex(t *testing.T) {
	machine := NewMachine()
	machine.Skip(4)
	require.Panics(t, func() { machine.Apply(4, command(1, 0, "again")) })
	require.Panics(t, func() { machine.Skip(3) })
}

// TestRestoredMachineEqualsOriginal compares a machine that is restored from its snapshot at random points with one that is
// not.
func TestRestoredMachineEqualsOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original, restored := NewMachine(), NewMachine()
		for index := uint64(1); index <= 60; index++ {
			next := command(
				rapid.Uint64Range(0, 30).Draw(t, "request"), rapid.Uint64Range(0, 12).Draw(t, "expected"),
				rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "document"),
			)
			require.Equal(t, original.Apply(index, next), restored.Apply(index, next))
			if rapid.Bool().Draw(t, "restore") {
				var err error
				restored, err = Restore(restored.Snapshot())
				require.NoError(t, err)
			}
		}
		require.Equal(t, original.Snapshot(), restored.Snapshot())
		for number := uint64(1); number <= original.Number(); number++ {
			require.True(t, proto.Equal(original.Get(number), restored.Get(number)))
		}
	})
}

// someSnapshot returns the snapshot of a machine with two revisions.
func someSnapshot() []byte {
	machine := NewMachine()
	machine.Apply(3, command(1, 0, "first"))
	machine.Apply(4, command(2, 0, "second"))
	machine.Skip(9)
	return machine.Snapshot()
}

func TestRestoreRejectsCorruptSnapshots(t *testing.T) {
	complete := someSnapshot()
	_, err := Restore(complete)
	require.NoError(t, err)
	for length := range complete {
		_, err := Restore(complete[:length])
		require.ErrorIs(t, err, ErrTorn, "first %d bytes", length)
	}
	for offset := range complete {
		corrupt := bytes.Clone(complete)
		corrupt[offset] ^= 0x10
		_, err := Restore(corrupt)
		require.Error(t, err, "byte %d", offset)
	}
	_, err = Restore([]byte("not a snapshot"))
	require.ErrorIs(t, err, ErrForeign)
	_, err = Restore(append(bytes.Clone(complete), 0))
	require.ErrorIs(t, err, ErrCorrupt)
	otherVersion := bytes.Clone(complete)
	otherVersion[len(snapshotMagic)+3] = snapshotVersion + 1
	_, err = Restore(otherVersion)
	require.ErrorIs(t, err, ErrVersion)
}

// snapshotOf returns a snapshot of any state, consistent or not, with a valid header and checksum.
func snapshotOf(state *revisionpb.State) []byte {
	body, err := proto.Marshal(state)
	if err != nil {
		panic(err)
	}
	data := binary.BigEndian.AppendUint32([]byte(snapshotMagic), snapshotVersion)
	data = binary.BigEndian.AppendUint64(data, uint64(len(body)))
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	return append(data, body...)
}

func TestRestoreRejectsInconsistentStates(t *testing.T) {
	revision := func(number uint64, document string) *configpb.Revision {
		return &configpb.Revision{Number: number, Document: []byte(document), Checksum: configpb.Checksum([]byte(document))}
	}
	request := func(id, number uint64) *revisionpb.Request {
		return &revisionpb.Request{Request: id, Number: number}
	}
	with := func(requests ...*revisionpb.Request) *revisionpb.State {
		return &revisionpb.State{Newest: 1, History: []*configpb.Revision{revision(1, "a")}, Requests: requests}
	}
	wrongChecksum := revision(1, "a")
	wrongChecksum.Checksum++
	for name, state := range map[string]*revisionpb.State{
		"gap":            {Newest: 3, History: []*configpb.Revision{revision(1, "a"), revision(3, "c")}},
		"newest missing": {Newest: 3},
		"other newest":   {Newest: 3, History: []*configpb.Revision{revision(1, "a"), revision(2, "b")}},
		"too many":       {Newest: 1, History: []*configpb.Revision{revision(0, "a"), revision(1, "b")}},
		"checksum":       {Newest: 1, History: []*configpb.Revision{wrongChecksum}},
		"empty document": {Newest: 1, History: []*configpb.Revision{revision(1, "")}},
		"oversized":      {Newest: 1, History: []*configpb.Revision{revision(1, string(make([]byte, 1<<17)))}},
		"request twice":  with(request(5, 1), request(5, 1)),
		"later revision": with(request(5, 2)),
		"no request id":  with(request(0, 1)),
	} {
		_, err := Restore(snapshotOf(state))
		require.ErrorIs(t, err, ErrCorrupt, name)
	}
}

func TestEncodeDecodeCommands(t *testing.T) {
	largest := command(^uint64(0), ^uint64(0), string(make([]byte, MaxDocumentBytes)))
	largest.PublishedUnixMs = -1
	data, err := Encode(largest)
	require.NoError(t, err, "the largest document fits an entry")
	decoded, err := Decode(data)
	require.NoError(t, err)
	require.True(t, proto.Equal(largest, decoded))
	_, err = Encode(command(1, 0, string(make([]byte, MaxCommandBytes))))
	require.ErrorIs(t, err, ErrInvalidCommand)
	_, err = Decode(make([]byte, MaxCommandBytes+1))
	require.ErrorIs(t, err, ErrInvalidCommand)
	_, err = Decode([]byte{0xff})
	require.ErrorIs(t, err, ErrInvalidCommand)
}

// FuzzCommand applies entries of any content to two machines: they never panic and stay equal.
func FuzzCommand(f *testing.F) {
	for _, seed := range []*configpb.Command{command(1, 0, "first"), command(2, 1, "{}"), command(1, 9, ""), {}} {
		data, err := Encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Add([]byte{0xff, 0x01}, []byte(nil))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		one, other := NewMachine(), NewMachine()
		for index, data := range [][]byte{first, second, first} {
			before := one.Number()
			entry, err := Decode(data)
			if err != nil {
				entry = nil
			}
			result := one.Apply(uint64(index+1), entry)
			require.Equal(t, result, other.Apply(uint64(index+1), entry))
			switch {
			case result.Rejection == Accepted && !result.Repeated:
				require.Equal(t, before+1, one.Number())
				require.Equal(t, entry.GetDocument(), one.Newest().GetDocument())
			default:
				require.Equal(t, before, one.Number())
			}
		}
		restored, err := Restore(one.Snapshot())
		require.NoError(t, err)
		require.Equal(t, other.Snapshot(), restored.Snapshot())
	})
}

// FuzzSnapshot restores any content: a machine that Restore accepts has a snapshot that restores to an equal machine.
func FuzzSnapshot(f *testing.F) {
	f.Add(someSnapshot())
	f.Add(snapshotOf(&revisionpb.State{Newest: 1}))
	f.Add([]byte(snapshotMagic))
	f.Fuzz(func(t *testing.T, data []byte) {
		machine, err := Restore(data)
		if err != nil {
			return
		}
		again, err := Restore(machine.Snapshot())
		require.NoError(t, err)
		require.Equal(t, machine.Snapshot(), again.Snapshot())
		require.Equal(t, machine.Number(), again.Number())
	})
}
