// Package operatorclient is the client of the control machines for the operators' commands. It publishes documents, with
// retries under one request id until the outcome is known, and reads status and revisions.
package operatorclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// MaxStatusBytes is the maximum size of a received status, in bytes. It holds 3,000 brokers with at most 2 KiB each,
	// including their rejections.
	MaxStatusBytes = 8 << 20

	// connectTimeout is the maximum duration of a connection attempt: several times the three round trips between
	// regions that it needs.
	connectTimeout = time.Second
	// callTimeout is how long one control machine may take to respond to Publish or Get before the next one is tried.
	callTimeout = 5 * time.Second
)

// Status returns the status of one control machine.
func Status(ctx context.Context, address string) (*configpb.StatusResponse, error) {
	conn, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	response, err := configpb.NewControlClient(conn).Status(ctx, &configpb.StatusRequest{},
		grpc.MaxCallRecvMsgSize(MaxStatusBytes))
	if err != nil {
		return nil, errors.New(status.Convert(err).Message())
	}
	return response, nil
}

// Get returns a revision from the first control machine that has it, or for number 0 the newest revision of the first
// control machine that responds. The error is that of the last control machine, with its address.
func Get(ctx context.Context, addresses []string, number uint64) (*configpb.Revision, error) {
	lastErr := errNoAddress
	for _, address := range addresses {
		revision, err := getFrom(ctx, address, number)
		if err == nil {
			return revision, nil
		}
		lastErr = fmt.Errorf("%s: %w", address, err)
	}
	return nil, lastErr
}

// getFrom returns a revision from one control machine.
func getFrom(ctx context.Context, address string, number uint64) (*configpb.Revision, error) {
	conn, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := configpb.NewControlClient(conn).Get(ctx, &configpb.GetRequest{Number: number})
	if err != nil {
		return nil, errors.New(status.Convert(err).Message())
	}
	return revision, nil
}

// connect returns a connection that is ready for requests. If it returns an error, no request has been sent.
func connect(ctx context.Context, address string) (*grpc.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
	)
	if err != nil {
		return nil, err
	}
	conn.Connect()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		if state == connectivity.TransientFailure || !conn.WaitForStateChange(ctx, state) {
			conn.Close()
			return nil, errors.New("no connection")
		}
	}
	return conn, nil
}
