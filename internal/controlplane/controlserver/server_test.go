package controlserver

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision"
)

// testCluster is a cluster of control machines in this process.
type testCluster struct {
	members []Member
	clients []configpb.ControlClient
	results []chan error // each receives the result of Run, in the order of members
}

// startCluster starts control machines that validate documents with rejectBad.
func startCluster(t *testing.T, count int) *testCluster {
	cluster := &testCluster{}
	var listeners [][2]net.Listener
	for i := range count {
		pair := [2]net.Listener{listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")}
		listeners = append(listeners, pair)
		cluster.members = append(cluster.members, Member{Name: fmt.Sprint("m", i+1), ID: uint64(i + 1), Voter: true,
			Address: pair[0].Addr().String(), PeerAddress: pair[1].Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var controlMachines sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		controlMachines.Wait()
	})
	for i, m := range cluster.members {
		options := Options{
			Fleet: "test", Name: m.Name, Members: cluster.members, Folder: t.TempDir(), Create: true, VoterTimeout: time.Minute,
			Listener: listeners[i][0], PeerListener: listeners[i][1], Validate: rejectBad, Logger: discardLogger(),
		}
		result := make(chan error, 1)
		cluster.results = append(cluster.results, result)
		controlMachines.Go(func() { result <- Run(ctx, options) })
		conn, err := dial(m.Address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		cluster.clients = append(cluster.clients, configpb.NewControlClient(conn))
	}
	return cluster
}

// rejectBad rejects documents that begin with "bad".
func rejectBad(document, _ []byte) *configpb.Refusal {
	if len(document) >= 3 && string(document[:3]) == "bad" {
		return &configpb.Refusal{Key: "settings.bad", Reason: "is bad"}
	}
	return nil
}

// leader waits until all control machines report the same leader, and returns its index.
func (c *testCluster) leader(t *testing.T) int {
	leader := -1
	require.Eventually(t, func() bool {
		names := map[string]bool{}
		for _, client := range c.clients {
			s, err := client.Status(t.Context(), &configpb.StatusRequest{})
			if err != nil {
				return false
			}
			names[s.GetLeader()] = true
		}
		for i, m := range c.members {
			if len(names) == 1 && names[m.Name] {
				leader = i
				return true
			}
		}
		return false
	}, eventTimeout, 20*time.Millisecond)
	return leader
}

func publishTo(t *testing.T, client configpb.ControlClient, request, expected uint64, document string) (uint64, error) {
	response, err := client.Publish(t.Context(),
		&configpb.PublishRequest{Request: request, Expected: expected, Document: []byte(document)})
	return response.GetNumber(), err
}

// requireRejected checks the status code of a rejection and its key.
func requireRejected(t *testing.T, err error, code codes.Code, key string) {
	t.Helper()
	require.Equal(t, code, status.Code(err), "%v", err)
	details := status.Convert(err).Details()
	require.Len(t, details, 1)
	rejection, ok := details[0].(*configpb.Refusal)
	require.True(t, ok, "%v", details[0])
	require.Equal(t, key, rejection.GetKey())
}

func TestPublishAtLeaderAndRaftFollower(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("cluster", func(t *testing.T) {
		cluster := startCluster(t, 3)
		leader := cluster.leader(t)
		raftFollower := cluster.clients[(leader+1)%3]

		number, err := publishTo(t, raftFollower, 1, 0, "one")
		require.NoError(t, err, "a raft follower forwards it to the leader")
		require.Equal(t, uint64(1), number)
		number, err = publishTo(t, cluster.clients[leader], 1, 0, "one")
		require.NoError(t, err, "a retry")
		require.Equal(t, uint64(1), number)
		number, err = publishTo(t, cluster.clients[leader], 2, 1, "two")
		require.NoError(t, err)
		require.Equal(t, uint64(2), number)

		for _, client := range []configpb.ControlClient{cluster.clients[leader], raftFollower} {
			_, err = publishTo(t, client, 3, 1, "three")
			requireRejected(t, err, codes.FailedPrecondition, "expected")
			_, err = publishTo(t, client, 1, 0, "another")
			requireRejected(t, err, codes.InvalidArgument, "request")
			_, err = publishTo(t, client, 0, 0, "three")
			requireRejected(t, err, codes.InvalidArgument, "request")
			_, err = publishTo(t, client, 4, 0, "")
			requireRejected(t, err, codes.InvalidArgument, "document")
			_, err = publishTo(t, client, 5, 0, string(make([]byte, revision.MaxDocumentBytes+1)))
			requireRejected(t, err, codes.InvalidArgument, "document")
			_, err = publishTo(t, client, 6, 0, "bad document")
			requireRejected(t, err, codes.InvalidArgument, "settings.bad")
		}

		newest, err := cluster.clients[leader].Get(t.Context(), &configpb.GetRequest{})
		require.NoError(t, err)
		require.Equal(t, uint64(2), newest.GetNumber())
		require.Equal(t, "two", string(newest.GetDocument()))
		_, err = cluster.clients[leader].Get(t.Context(), &configpb.GetRequest{Number: 3})
		require.Equal(t, codes.NotFound, status.Code(err))
	})
}

func TestStatusReportsReachableMembers(t *testing.T) {
	cluster := startCluster(t, 3)
	leader := cluster.leader(t)
	require.Eventually(t, func() bool {
		s, err := cluster.clients[leader].Status(t.Context(), &configpb.StatusRequest{})
		if err != nil || s.GetConfirmedMs() > 2000 || len(s.GetMembers()) != 3 {
			return false
		}
		for i, m := range s.GetMembers() {
			matches := m.GetName() == cluster.members[i].Name && m.GetAddress() == cluster.members[i].Address && m.GetVoter()
			if !matches || !m.GetReachable() {
				return false
			}
		}
		return s.GetName() == cluster.members[leader].Name
	}, eventTimeout, 20*time.Millisecond)
}

// TestPublishWithoutQuorumIsNotAppended publishes at a control machine whose peers belong to another fleet or are
// unreachable.
func TestPublishWithoutQuorumIsNotAppended(t *testing.T) {
	otherFleetMember := startCluster(t, 1).members[0]
	listener := listen(t, "127.0.0.1:0")
	peerListener := listen(t, "127.0.0.1:0")
	members := []Member{
		{Name: "x", ID: 1, Voter: true, Address: listener.Addr().String(), PeerAddress: peerListener.Addr().String()},
		{Name: "y", ID: 2, Voter: true, Address: otherFleetMember.Address, PeerAddress: otherFleetMember.PeerAddress},
		{Name: "z", ID: 3, Voter: true, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:1"},
	}
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		result <- Run(ctx, Options{Fleet: "another", Name: "x", Members: members, Folder: t.TempDir(), Create: true,
			VoterTimeout: time.Minute, Listener: listener, PeerListener: peerListener, Validate: rejectBad, Logger: discardLogger()})
	}()
	conn, err := dial(listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = publishTo(t, configpb.NewControlClient(conn), 1, 0, "one")
	require.Equal(t, codes.Unavailable, status.Code(err), "%v", err)
	details := status.Convert(err).Details()
	require.Len(t, details, 1, "%v", err)
	require.Equal(t, configpb.NotAppended, details[0].(*errdetails.ErrorInfo).GetReason())
	cancel()
	require.NoError(t, <-result)
}

func TestRunRequiresLogUnlessCreating(t *testing.T) {
	folder := t.TempDir()
	members := []Member{{Name: "x", ID: 1, Voter: true, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}}
	run := func(create bool) error {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		return Run(ctx, Options{Fleet: "f", Name: "x", Members: members, Folder: folder, Create: create,
			VoterTimeout: time.Minute, Listener: listen(t, "127.0.0.1:0"), PeerListener: listen(t, "127.0.0.1:0"),
			Validate: rejectBad, Logger: discardLogger()})
	}
	require.ErrorIs(t, run(false), ErrNoLog)
	require.NoError(t, run(true))
	require.Error(t, run(true), "the log exists")
	require.NoError(t, run(false))
}
