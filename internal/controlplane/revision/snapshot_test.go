package revision

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision/revisionpb"
)

func TestSnapshotOfLargestStateWithinLimit(t *testing.T) {
	machine := NewStateMachine()
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

// TestRestoredMachineEqualsOriginal compares a machine that is restored from its snapshot at random points with one that is
// not.
func TestRestoredMachineEqualsOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original, restored := NewStateMachine(), NewStateMachine()
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
	machine := NewStateMachine()
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
