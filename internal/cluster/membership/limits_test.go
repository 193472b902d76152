package membership

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// maxVectorHeader is the longest header of a datagram with a state vector, in bytes: 2 of the version, 9 + 9 of fleet and
// sender, 11 of the sequence number, 5 + 5 of the digest, and 3 of the vector's tag and length.
const maxVectorHeader = 44

// TestStateVectorOfFullRosterFitsDatagram checks the largest vector with the longest sequence number. States of a larger
// roster could not be gossiped at all.
func TestStateVectorOfFullRosterFitsDatagram(t *testing.T) {
	v := newViewOfBrokers(1)
	for i := 0; len(v.roster) < maxRoster; i++ {
		v.add(Instance{Name: fmt.Sprint("b", i), Start: 1, Addr: v.self.Addr}, 0)
	}
	v.seq = math.MaxUint64 - 1
	require.True(t, v.send(v.self.Addr, &planepb.Datagram{Vector: v.stateVector()}, nil))
	size := plane.WireSize(v.drainOutbox()[0].Data) - plane.Overhead
	require.LessOrEqual(t, size, plane.MaxDatagramSize)
	require.LessOrEqual(t, size-maxRoster, maxVectorHeader, "the arithmetic beside MaxMembers")
}
