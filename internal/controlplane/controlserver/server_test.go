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

// testMachines is control machines in this process.
type testMachines struct {
	members []Member
	clients []configpb.ControlClient
	ended   []chan error
}

// startMachines starts machines that validate with rejectBad.
func startMachines(t *testing.T, count int) *testMachines {
	r := &testMachines{}
	var listeners [][2]net.Listener
	for i := range count {
		pair := [2]net.Listener{listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")}
		listeners = append(listeners, pair)
		r.members = append(r.members, Member{Name: fmt.Sprint("m", i+1), ID: uint64(i + 1), Voter: true,
			Address: pair[0].Addr().String(), PeerAddress: pair[1].Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		all.Wait()
	})
	for i, m := range r.members {
		options := Options{
			Fleet: "test", Name: m.Name, Members: r.members, Folder: t.TempDir(), Create: true, VoterTimeout: time.Minute,
			Listener: listeners[i][0], PeerListener: listeners[i][1], Validate: rejectBad, Logger: quiet(),
		}
		ended := make(chan error, 1)
		r.ended = append(r.ended, ended)
		all.Go(func() { ended <- Run(ctx, options) })
		conn, err := dial(m.Address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		r.clients = append(r.clients, configpb.NewControlClient(conn))
	}
	return r
}

// rejectBad rejects documents that begin with "bad".
func rejectBad(document, _ []byte) *configpb.Refusal {
	if len(document) >= 3 && string(document[:3]) == "bad" {
		return &configpb.Refusal{Key: "settings.bad", Reason: "is bad"}
	}
	return nil
}

// leader waits until all machines report the same leader, and returns its index.
func (r *testMachines) leader(t *testing.T) int {
	leader := -1
	require.Eventually(t, func() bool {
		names := map[string]bool{}
		for _, client := range r.clients {
			s, err := client.Status(t.Context(), &configpb.StatusRequest{})
			if err != nil {
				return false
			}
			names[s.GetLeader()] = true
		}
		for i, m := range r.members {
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

// requireRejected requires the code and the key of a rejection.
func requireRejected(t *testing.T, err error, code codes.Code, key string) {
	t.Helper()
	require.Equal(t, code, status.Code(err), "%v", err)
	details := status.Convert(err).Details()
	require.Len(t, details, 1)
	rejection, ok := details[0].(*configpb.Refusal)
	require.True(t, ok, "%v", details[0])
	require.Equal(t, key, rejection.GetKey())
}

func TestPublishAtLeaderAndFollower(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("machines", func(t *testing.T) {
		r := startMachines(t, 3)
		leader := r.leader(t)
		follower := r.clients[(leader+1)%3]

		number, err := publishTo(t, follower, 1, 0, "one")
		require.NoError(t, err, "a follower forwards it to the leader")
		require.Equal(t, uint64(1), number)
		number, err = publishTo(t, r.clients[leader], 1, 0, "one")
		require.NoError(t, err, "a retry")
		require.Equal(t, uint64(1), number)
		number, err = publishTo(t, r.clients[leader], 2, 1, "two")
		require.NoError(t, err)
		require.Equal(t, uint64(2), number)

		for _, client := range []configpb.ControlClient{r.clients[leader], follower} {
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

		newest, err := r.clients[leader].Get(t.Context(), &configpb.GetRequest{})
		require.NoError(t, err)
		require.Equal(t, uint64(2), newest.GetNumber())
		require.Equal(t, "two", string(newest.GetDocument()))
		_, err = r.clients[leader].Get(t.Context(), &configpb.GetRequest{Number: 3})
		require.Equal(t, codes.NotFound, status.Code(err))
	})
}

func TestStatusNamesReachableMembers(t *testing.T) {
	r := startMachines(t, 3)
	leader := r.leader(t)
	require.Eventually(t, func() bool {
		s, err := r.clients[leader].Status(t.Context(), &configpb.StatusRequest{})
		if err != nil || s.GetConfirmedMs() > 2000 || len(s.GetMembers()) != 3 {
			return false
		}
		for i, m := range s.GetMembers() {
			matches := m.GetName() == r.members[i].Name && m.GetAddress() == r.members[i].Address && m.GetVoter()
			if !matches || !m.GetReachable() {
				return false
			}
		}
		return s.GetName() == r.members[leader].Name
	}, eventTimeout, 20*time.Millisecond)
}

// TestPublishWithoutQuorumIsNotAppended publishes at a machine whose peers are of another fleet or unreachable.
func TestPublishWithoutQuorumIsNotAppended(t *testing.T) {
	r := startMachines(t, 1)
	alone := r.members[0]
	l := listen(t, "127.0.0.1:0")
	peers := listen(t, "127.0.0.1:0")
	members := []Member{
		{Name: "x", ID: 1, Voter: true, Address: l.Addr().String(), PeerAddress: peers.Addr().String()},
		{Name: "y", ID: 2, Voter: true, Address: alone.Address, PeerAddress: alone.PeerAddress}, // of another fleet
		{Name: "z", ID: 3, Voter: true, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:1"},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, Options{Fleet: "another", Name: "x", Members: members, Folder: t.TempDir(), Create: true,
			VoterTimeout: time.Minute, Listener: l, PeerListener: peers, Validate: rejectBad, Logger: quiet()})
	}()
	conn, err := dial(l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = publishTo(t, configpb.NewControlClient(conn), 1, 0, "one")
	require.Equal(t, codes.Unavailable, status.Code(err), "%v", err)
	details := status.Convert(err).Details()
	require.Len(t, details, 1, "%v", err)
	require.Equal(t, configpb.NotAppended, details[0].(*errdetails.ErrorInfo).GetReason())
	cancel()
	require.NoError(t, <-ended)
}

func TestRunRequiresLogUnlessCreating(t *testing.T) {
	folder := t.TempDir()
	members := []Member{{Name: "x", ID: 1, Voter: true, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}}
	run := func(create bool) error {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		return Run(ctx, Options{Fleet: "f", Name: "x", Members: members, Folder: folder, Create: create,
			VoterTimeout: time.Minute, Listener: listen(t, "127.0.0.1:0"), PeerListener: listen(t, "127.0.0.1:0"),
			Validate: rejectBad, Logger: quiet()})
	}
	require.ErrorIs(t, run(false), ErrNoLog)
	require.NoError(t, run(true))
	require.Error(t, run(true), "the log exists")
	require.NoError(t, run(false))
}
