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

// fakeControlMachine returns the given results to successive publications, and repeats the last one.
type fakeControlMachine struct {
	configpb.UnimplementedControlServer
	results  []func() (*configpb.PublishResponse, error)
	requests []uint64 // received request ids; calls are not concurrent
}

func (m *fakeControlMachine) Publish(_ context.Context, r *configpb.PublishRequest) (*configpb.PublishResponse, error) {
	m.requests = append(m.requests, r.GetRequest())
	return m.results[min(len(m.requests), len(m.results))-1]()
}

func committed() (*configpb.PublishResponse, error) { return &configpb.PublishResponse{Number: 7}, nil }

func outcomeUnknown() (*configpb.PublishResponse, error) {
	return nil, status.Error(codes.DeadlineExceeded, "committed or not")
}

func notAppended() (*configpb.PublishResponse, error) {
	s, err := status.New(codes.Unavailable, "no leader").WithDetails(
		&errdetails.ErrorInfo{Reason: configpb.NotAppended, Domain: configpb.ErrorDomain})
	return nil, errors.Join(err, s.Err())
}

func rejected() (*configpb.PublishResponse, error) {
	s, err := status.New(codes.InvalidArgument, "rejected").WithDetails(
		&configpb.Refusal{Key: "settings.x", Reason: "must be positive"})
	return nil, errors.Join(err, s.Err())
}

func startControlMachine(t *testing.T, results ...func() (*configpb.PublishResponse, error)) (
	*fakeControlMachine, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &fakeControlMachine{results: results}
	server := grpc.NewServer()
	configpb.RegisterControlServer(server, m)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return m, listener.Addr().String()
}

func publish(t *testing.T, timeout time.Duration, addresses ...string) (uint64, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return operatorclient.Publish(ctx, addresses, &configpb.PublishRequest{Request: 5, Document: []byte("x")})
}

const longTimeout = 10 * time.Second

func TestPublishRetriesWithSameRequestUntilOutcomeIsKnown(t *testing.T) {
	first, firstAddress := startControlMachine(t, notAppended, outcomeUnknown)
	second, secondAddress := startControlMachine(t, outcomeUnknown, committed)
	number, err := publish(t, longTimeout, "127.0.0.1:1", firstAddress, secondAddress)
	require.NoError(t, err)
	require.Equal(t, uint64(7), number)
	require.Equal(t, []uint64{5, 5}, first.requests)
	require.Equal(t, []uint64{5, 5}, second.requests)
}

func TestPublishReturnsRejectionWithoutRetry(t *testing.T) {
	m, address := startControlMachine(t, rejected)
	_, err := publish(t, longTimeout, address)
	var rejection *operatorclient.RejectedError
	require.ErrorAs(t, err, &rejection)
	require.Equal(t, operatorclient.RejectedError{Key: "settings.x", Reason: "must be positive"}, *rejection)
	require.Len(t, m.requests, 1)
}

// TestRetryNeverReportsUnavailable guards against a retry that is reported as certainly not committed, although an attempt of an
// earlier call under the same request id can still be committed.
func TestRetryNeverReportsUnavailable(t *testing.T) {
	_, notAppending := startControlMachine(t, notAppended)
	for name, addresses := range map[string][]string{
		"no address": nil, "none reached": {"127.0.0.1:1"}, "no majority": {notAppending},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := operatorclient.Retry(ctx, addresses, &configpb.PublishRequest{Request: 5, Document: []byte("x")})
			var unknown *operatorclient.OutcomeUnknownError
			require.ErrorAs(t, err, &unknown)
			_, err = publish(t, 300*time.Millisecond, addresses...)
			var unavailable *operatorclient.UnavailableError
			require.ErrorAs(t, err, &unavailable)
		})
	}
}

func TestPublishDistinguishesUnavailableFromUnknown(t *testing.T) {
	const shortTimeout = 500 * time.Millisecond
	_, notAppendingAddress := startControlMachine(t, notAppended)
	_, err := publish(t, shortTimeout, notAppendingAddress, "127.0.0.1:1")
	var unavailable *operatorclient.UnavailableError
	require.ErrorAs(t, err, &unavailable)

	_, unknownOnceAddress := startControlMachine(t, outcomeUnknown, notAppended)
	_, err = publish(t, shortTimeout, unknownOnceAddress)
	var unknownOutcome *operatorclient.OutcomeUnknownError
	require.ErrorAs(t, err, &unknownOutcome, "a later attempt that is not appended does not resolve an unknown outcome")

	_, err = publish(t, shortTimeout)
	require.ErrorAs(t, err, &unavailable, "no address")
}
