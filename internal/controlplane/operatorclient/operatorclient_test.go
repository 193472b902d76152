package operatorclient_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/operatorclient"
)

// machine is a control machine that answers publications by a script, and repeats its last answer.
type machine struct {
	configpb.UnimplementedControlServer
	script   []func() (*configpb.PublishResponse, error)
	requests []uint64 // request ids received; calls are not concurrent
}

func (m *machine) Publish(_ context.Context, r *configpb.PublishRequest) (*configpb.PublishResponse, error) {
	m.requests = append(m.requests, r.GetRequest())
	return m.script[min(len(m.requests), len(m.script))-1]()
}

func committed() (*configpb.PublishResponse, error) { return &configpb.PublishResponse{Number: 7}, nil }

func unknown() (*configpb.PublishResponse, error) {
	return nil, status.Error(codes.DeadlineExceeded, "committed or not")
}

func notAppended() (*configpb.PublishResponse, error) {
	s, err := status.New(codes.Unavailable, "no leader").WithDetails(
		&errdetails.ErrorInfo{Reason: configpb.NotAppended, Domain: configpb.ErrorDomain})
	return nil, errors.Join(err, s.Err())
}

func rejected() (*configpb.PublishResponse, error) {
	s, err := status.New(codes.InvalidArgument, "no").WithDetails(&configpb.Refusal{Key: "settings.x", Reason: "is odd"})
	return nil, errors.Join(err, s.Err())
}

func start(t *testing.T, script ...func() (*configpb.PublishResponse, error)) (*machine, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &machine{script: script}
	server := grpc.NewServer()
	configpb.RegisterControlServer(server, m)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return m, listener.Addr().String()
}

func publish(t *testing.T, within time.Duration, addresses ...string) (uint64, error) {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	return operatorclient.Publish(ctx, addresses, &configpb.PublishRequest{Request: 5, Document: []byte("x")})
}

const long = 10 * time.Second

func TestPublishRetriesWithSameRequestUntilOutcomeIsKnown(t *testing.T) {
	first, firstAddress := start(t, notAppended, unknown)
	second, secondAddress := start(t, unknown, committed)
	number, err := publish(t, long, "127.0.0.1:1", firstAddress, secondAddress)
	require.NoError(t, err)
	require.Equal(t, uint64(7), number)
	require.Equal(t, []uint64{5, 5}, first.requests)
	require.Equal(t, []uint64{5, 5}, second.requests)
}

func TestPublishReturnsRejectionWithoutRetry(t *testing.T) {
	m, address := start(t, rejected)
	_, err := publish(t, long, address)
	var rejection *operatorclient.RejectedError
	require.ErrorAs(t, err, &rejection)
	require.Equal(t, operatorclient.RejectedError{Key: "settings.x", Reason: "is odd"}, *rejection)
	require.Len(t, m.requests, 1)
}

func TestPublishDistinguishesUnavailableFromUnknown(t *testing.T) {
	const short = 500 * time.Millisecond
	_, never := start(t, notAppended)
	_, err := publish(t, short, never, "127.0.0.1:1")
	var unavailable *operatorclient.UnavailableError
	require.ErrorAs(t, err, &unavailable)

	_, once := start(t, unknown, notAppended)
	_, err = publish(t, short, once)
	var unknownOutcome *operatorclient.OutcomeUnknownError
	require.ErrorAs(t, err, &unknownOutcome, "one unknown outcome is not undone by a later one that is known")

	_, err = publish(t, short)
	require.ErrorAs(t, err, &unavailable, "no address")
}
