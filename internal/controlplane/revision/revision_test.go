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
		one, other := NewStateMachine(), NewStateMachine()
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
