// Package operatorclient is what operators' tools call control machines with: it publishes under one request id until
// the outcome is known, and reads status and revisions.
package operatorclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// MaxStatusBytes is the largest status that is read: 3,000 brokers of at most 2 KiB each, and their refusals.
	MaxStatusBytes = 8 << 20

	connectTimeout = time.Second     // three round trips between regions, many times over
	callTimeout    = 5 * time.Second // of one publication to one machine, before the next machine is tried

	minRetryBackoff = 100 * time.Millisecond // between two rounds over all machines
	maxRetryBackoff = time.Second
)

// RejectedError tells that a publication was refused, by the key at fault. It is in no revision.
type RejectedError struct {
	Key, Reason string
}

// Error implements error.
func (e *RejectedError) Error() string { return fmt.Sprintf("refused by %s: %s", e.Key, e.Reason) }

// UnavailableError tells that a publication was surely not taken by any machine.
type UnavailableError struct {
	Last error // of the last machine that was tried
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("not taken by any control machine: %v", e.Last)
}

// Unwrap returns the last machine's error.
func (e *UnavailableError) Unwrap() error { return e.Last }

// UnknownError tells that nobody knows whether a publication is in the log. It may be tried again under the same
// request id.
type UnknownError struct {
	Last error // of the last machine that was tried
}

// Error implements error.
func (e *UnknownError) Error() string { return e.Last.Error() }

// Unwrap returns the last machine's error.
func (e *UnknownError) Unwrap() error { return e.Last }

var errNoAddress = errors.New("no address of a control machine")

// Publish publishes a document and returns the number of its revision. It tries one machine after the other under the
// same request id until the outcome is known or the context ends. Errors: a RefusedError, an UnavailableError or an
// UnknownError.
func Publish(ctx context.Context, addresses []string, request *configpb.PublishRequest) (uint64, error) {
	if len(addresses) == 0 {
		return 0, &UnavailableError{errNoAddress}
	}
	var lastErr error
	mayBeCommitted := false // perhaps, by an earlier try
	for backoff := minRetryBackoff; ; backoff = min(2*backoff, maxRetryBackoff) {
		for _, address := range addresses {
			if ctx.Err() != nil {
				return 0, unresolved(mayBeCommitted, lastErr)
			}
			number, err := publishTo(ctx, address, request)
			var rejected *RejectedError
			if err == nil || errors.As(err, &rejected) {
				return number, err
			}
			var unknown *UnknownError
			mayBeCommitted = mayBeCommitted || errors.As(err, &unknown)
			lastErr = fmt.Errorf("%s: %w", address, err)
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
}

func unresolved(taken bool, last error) error {
	if last == nil {
		last = context.DeadlineExceeded
	}
	if taken {
		return &UnknownError{last}
	}
	return &UnavailableError{last}
}

// publishTo asks one machine.
func publishTo(ctx context.Context, address string, request *configpb.PublishRequest) (uint64, error) {
	conn, err := connect(ctx, address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := configpb.NewControlClient(conn).Publish(ctx, request)
	if err != nil {
		return 0, publishError(err)
	}
	return response.GetNumber(), nil
}

// publishError tells refusals and what was surely not taken from what may be in the log.
func publishError(err error) error {
	s := status.Convert(err)
	for _, detail := range s.Details() {
		switch d := detail.(type) {
		case *configpb.Refusal:
			return &RejectedError{Key: d.GetKey(), Reason: d.GetReason()}
		case *errdetails.ErrorInfo:
			if d.GetReason() == configpb.NotAppended && d.GetDomain() == configpb.ErrorDomain {
				return errors.New(s.Message())
			}
		}
	}
	switch s.Code() {
	case codes.ResourceExhausted: // too large to be read
		return &RejectedError{Key: "document", Reason: s.Message()}
	case codes.Unimplemented: // no control machine is there
		return errors.New(s.Message())
	}
	return &UnknownError{errors.New(s.Message())}
}

// Status asks one machine for its status.
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

// Get returns a revision from the first machine that has it; number 0: the newest one that the first machine which
// answers has.
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

// connect returns a connection that is ready. Before that nothing can have been sent.
func connect(ctx context.Context, address string) (*grpc.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry())
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
