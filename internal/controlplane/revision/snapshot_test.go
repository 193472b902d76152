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

func TestSnapshotOfLargestStateIsWithinLimit(t *testing.T) {
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

// TestRestoredStateMachineEqualsOriginal applies the same commands to two state machines, one of which is restored from its
// own snapshot at random points, and checks that both give the same results.
func TestRestoredStateMachineEqualsOriginal(t *testing.T) {
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

// sampleSnapshot returns the snapshot of a state machine with two revisions.
func sampleSnapshot() []byte {
	machine := NewStateMachine()
	machine.Apply(3, command(1, 0, "first"))
	machine.Apply(4, command(2, 0, "second"))
	machine.Skip(9)
	return machine.Snapshot()
}

func TestRestoreRejectsCorruptSnapshots(t *testing.T) {
	complete := sampleSnapshot()
	_, err := Restore(complete)
	require.NoError(t, err)
	for length := range complete {
		_, err := Restore(complete[:length])
		require.ErrorIs(t, err, ErrTruncated, "first %d bytes", length)
	}
	for offset := range complete {
		corrupt := bytes.Clone(complete)
		corrupt[offset] ^= 0x10
		_, err := Restore(corrupt)
		require.Error(t, err, "byte %d", offset)
	}
	_, err = Restore([]byte("not a snapshot"))
	require.ErrorIs(t, err, ErrNotSnapshot)
	_, err = Restore(append(bytes.Clone(complete), 0))
	require.ErrorIs(t, err, ErrCorrupt)
	otherVersion := bytes.Clone(complete)
	otherVersion[len(snapshotMagic)+3] = snapshotVersion + 1
	_, err = Restore(otherVersion)
	require.ErrorIs(t, err, ErrVersion)
}

// snapshotOf returns a snapshot with a valid header and checksum. The state may be inconsistent.
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
	stateWithRequests := func(requests ...*revisionpb.Request) *revisionpb.State {
		return &revisionpb.State{Newest: 1, History: []*configpb.Revision{revision(1, "a")}, Requests: requests}
	}
	wrongChecksum := revision(1, "a")
	wrongChecksum.Checksum++
	for name, state := range map[string]*revisionpb.State{
		"gap between revisions": {Newest: 3, History: []*configpb.Revision{revision(1, "a"), revision(3, "c")}},
		"empty history":         {Newest: 3},
		"newest not in history": {Newest: 3, History: []*configpb.Revision{revision(1, "a"), revision(2, "b")}},
		"more than newest":      {Newest: 1, History: []*configpb.Revision{revision(0, "a"), revision(1, "b")}},
		"wrong checksum":        {Newest: 1, History: []*configpb.Revision{wrongChecksum}},
		"empty document":        {Newest: 1, History: []*configpb.Revision{revision(1, "")}},
		"oversized document":    {Newest: 1, History: []*configpb.Revision{revision(1, string(make([]byte, 1<<17)))}},
		"duplicate request":     stateWithRequests(request(5, 1), request(5, 1)),
		"request of revision 2": stateWithRequests(request(5, 2)),
		"request without an id": stateWithRequests(request(0, 1)),
	} {
		_, err := Restore(snapshotOf(state))
		require.ErrorIs(t, err, ErrCorrupt, name)
	}
}

// FuzzSnapshot calls Restore with arbitrary bytes: if it accepts them, the snapshot of the restored state machine restores to
// an equal state machine.
func FuzzSnapshot(f *testing.F) {
	f.Add(sampleSnapshot())
	f.Add(snapshotOf(&revisionpb.State{Newest: 1}))
	f.Add([]byte(snapshotMagic))
	f.Fuzz(func(t *testing.T, data []byte) {
		machine, err := Restore(data)
		if err != nil {
			return
		}
		restored, err := Restore(machine.Snapshot())
		require.NoError(t, err)
		require.Equal(t, machine.Snapshot(), restored.Snapshot())
		require.Equal(t, machine.Number(), restored.Number())
	})
}
