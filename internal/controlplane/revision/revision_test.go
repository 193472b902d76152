package revision

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

func TestEncodeDecodeCommands(t *testing.T) {
	largest := command(^uint64(0), ^uint64(0), string(make([]byte, MaxDocumentBytes)))
	largest.PublishedUnixMs = -1
	data, err := Encode(largest)
	require.NoError(t, err, "a document of the maximum size fits into a command")
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

// FuzzCommand applies arbitrary log entries to two state machines, which must not panic and must stay equal.
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
		machine, replica := NewStateMachine(), NewStateMachine()
		for index, data := range [][]byte{first, second, first} {
			previous := machine.Number()
			entry, err := Decode(data)
			if err != nil {
				entry = nil
			}
			result := machine.Apply(uint64(index+1), entry)
			require.Equal(t, result, replica.Apply(uint64(index+1), entry))
			switch {
			case result.Rejection == Accepted && !result.Repeated:
				require.Equal(t, previous+1, machine.Number())
				require.Equal(t, entry.GetDocument(), machine.Newest().GetDocument())
			default:
				require.Equal(t, previous, machine.Number())
			}
		}
		restored, err := Restore(machine.Snapshot())
		require.NoError(t, err)
		require.Equal(t, replica.Snapshot(), restored.Snapshot())
	})
}
