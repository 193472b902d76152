package membership

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// vectorHeader is the longest header of a datagram with a vector: 2 bytes of version, 9 + 9 of fleet and sender, 11 of
// seq, 5 + 5 of hashes, and 3 of the vector's own tag and length.
const vectorHeader = 44

// The states of a full roster go into one datagram, also where numbers have grown as long as they get. A roster that
// grew further could tell no states any more.
func TestStateVectorOfFullRosterFitsDatagram(t *testing.T) {
	v := newViewOfBrokers(1)
	for i := 0; len(v.roster) < maxRoster; i++ {
		v.add(Instance{Name: fmt.Sprint("b", i), Start: 1, Addr: v.self.Addr}, 0)
	}
	v.seq = math.MaxUint64 - 1
	require.True(t, v.send(v.self.Addr, &planepb.Datagram{Vector: v.stateVector()}, nil))
	size := plane.WireSize(v.takeOutbox()[0].Data) - plane.Overhead
	require.LessOrEqual(t, size, plane.MaxSize)
	require.LessOrEqual(t, size-maxRoster, vectorHeader, "the arithmetic beside rosterMost")
}
