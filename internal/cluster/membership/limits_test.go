package membership

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// maxVectorHeader is the maximum size of everything but the states in a datagram with a state vector, in bytes: 2 for the
// version, 9 + 9 for fleet and sender, 11 for the sequence number, 5 + 5 for the digest, and 3 for the vector's tag and length.
const maxVectorHeader = 44

// TestStateVectorOfFullMemberListFitsDatagram checks the size of a datagram with the largest vector and the longest sequence
// number. The states of a member list that does not fit could not be gossiped at all.
func TestStateVectorOfFullMemberListFitsDatagram(t *testing.T) {
	v := newViewOfBrokers(1)
	for i := 0; len(v.memberList) < maxInstances; i++ {
		v.add(Instance{Name: fmt.Sprint("b", i), Start: 1, Addr: v.self.Addr}, 0)
	}
	v.seq = math.MaxUint64 - 1
	require.True(t, v.send(v.self.Addr, &planepb.Datagram{Vector: v.stateVector()}, nil))
	size := plane.WireSize(v.drainOutbox()[0].Data) - plane.Overhead
	require.LessOrEqual(t, size, plane.MaxDatagramSize)
	require.LessOrEqual(t, size-maxInstances, maxVectorHeader, "header size that the comment on MaxMembers relies on")
}
