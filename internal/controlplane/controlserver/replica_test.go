package controlserver

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
	"mothrouter/internal/controlplane/raftlog"
)

var errDisk = errors.New("injected disk failure")

// failingStorage is a raft log whose Save fails once a channel is closed.
type failingStorage struct {
	*raftlog.Log
	fail chan struct{} // closed: Save fails
}

func (f *failingStorage) Save(state *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	select {
	case <-f.fail:
		return errDisk
	default:
		return f.Log.Save(state, entries, snapshot)
	}
}

// TestReplicaStopsOnStorageError checks that a publication that is not persisted is not acknowledged, and that the replica
// returns the error of the storage.
func TestReplicaStopsOnStorageError(t *testing.T) {
	log, err := raftlog.Create(t.TempDir()+"/"+LogFileName, raftlog.Options{Identity: raftlog.Identity{Fleet: 1, Node: 1}},
		consensus.BootstrapSnapshot([]uint64{1}, nil))
	require.NoError(t, err)
	defer log.Close()
	disk := &failingStorage{log, make(chan struct{})}
	node, err := consensus.New(consensus.Options{ID: 1, Members: []uint64{1}}, disk, time.Now())
	require.NoError(t, err)
	r := newReplica(node, disk, confighub.New(discardLogger()), discardLogger())
	r.memberName = func(uint64) string { return "x" }
	result := make(chan error, 1)
	go func() { result <- r.run(t.Context()) }()
	p := newPublisher(1, r, rejectBad)
	publish := func(request uint64) error {
		_, err := p.publish(t.Context(), &configpb.PublishRequest{Request: request, Document: []byte("one")})
		return err
	}
	require.Eventually(t, func() bool { return publish(1) == nil }, eventTimeout, 20*time.Millisecond)
	close(disk.fail)
	require.Error(t, publish(2))
	require.ErrorIs(t, <-result, errDisk)
	require.Equal(t, uint64(1), node.Machine().Number())
	require.Error(t, publish(3), "a stopped replica accepts no publication")
}

// TestForwardedPublicationEndsOnLeaderChange forwards a publication to a former leader that does not respond, while this
// control machine is the leader. Without the check for a leader change the publication would wait for its timeout.
func TestForwardedPublicationEndsOnLeaderChange(t *testing.T) {
	log, err := raftlog.Create(t.TempDir()+"/"+LogFileName, raftlog.Options{Identity: raftlog.Identity{Fleet: 1, Node: 1}},
		consensus.BootstrapSnapshot([]uint64{1}, nil))
	require.NoError(t, err)
	defer log.Close()
	node, err := consensus.New(consensus.Options{ID: 1, Members: []uint64{1}}, log, time.Now())
	require.NoError(t, err)
	r := newReplica(node, log, confighub.New(discardLogger()), discardLogger())
	r.memberName = func(uint64) string { return "x" }
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- r.run(ctx) }()
	p := newPublisher(1, r, rejectBad)
	p.forward = func(ctx context.Context, _ uint64, _ *configpb.PublishRequest) (*configpb.PublishResponse, error) {
		<-ctx.Done() // the former leader does not respond
		return nil, ctx.Err()
	}
	const formerLeader = 2
	startedAt := time.Now()
	_, err = p.forwardToLeader(t.Context(), formerLeader, &configpb.PublishRequest{Request: 1, Document: []byte("one")})
	require.Equal(t, codes.DeadlineExceeded, status.Code(err))
	require.ErrorContains(t, err, errLeaderChanged.Error())
	require.Less(t, time.Since(startedAt), eventTimeout)
	cancel()
	require.NoError(t, <-result)
}
