package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
)

func TestNewRejectsInvalidOptionsAndStorage(t *testing.T) {
	storage := newMemoryDisk(BootstrapSnapshot(testVoters, testLearners), noFault)
	for name, options := range map[string]Options{
		"unknown member":   {ID: 5, Members: testMembers},
		"member id 0":      {ID: 1, Members: []uint64{0, 1}},
		"duplicate member": {ID: 1, Members: []uint64{1, 1}},
		"voter timeout":    {ID: 1, Members: testMembers, VoterTimeout: time.Second},
		"tick interval":    {ID: 1, Members: testMembers, TickInterval: -1},
	} {
		_, err := New(options, storage, epoch)
		require.ErrorIs(t, err, ErrInvalidOptions, name)
	}
	_, err := New(Options{ID: 1, Members: []uint64{1, 2, 3}}, storage, epoch)
	require.ErrorIs(t, err, ErrInvalidStorage, "the storage has a configuration with an unknown member")
	_, err = New(Options{ID: 1, Members: testMembers}, raft.NewMemoryStorage(), epoch)
	require.ErrorIs(t, err, ErrInvalidStorage, "the storage is empty")
}

func TestNewReplaysCommittedEntries(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	for request := uint64(1); request <= 20; request++ {
		c.propose(request, "document")
	}
	c.run(time.Second)
	for _, id := range testMembers {
		applied := c.nodes[id].Machine().Applied()
		c.start(id)
		require.Equal(t, applied, c.nodes[id].Machine().Applied())
	}
}
