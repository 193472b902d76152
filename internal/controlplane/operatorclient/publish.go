package operatorclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// minRetryBackoff and maxRetryBackoff are the bounds of the exponential backoff between two rounds over all control
	// machines.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = time.Second
)

// Publish publishes a document under a new request id and returns the number of its revision. It tries the control machines in
// turn, with the same request id, until the outcome is known or ctx ends. Its errors are *RejectedError, *UnavailableError and
// *OutcomeUnknownError.
func Publish(ctx context.Context, addresses []string, request *configpb.PublishRequest) (uint64, error) {
	return publish(ctx, addresses, request, false)
}

// Retry publishes a document again, under the request id of an earlier call whose outcome is unknown. An attempt of that call may be
// committed even if no control machine can be reached now, so Retry does not return *UnavailableError; otherwise it is like
// Publish.
func Retry(ctx context.Context, addresses []string, request *configpb.PublishRequest) (uint64, error) {
	return publish(ctx, addresses, request, true)
}

// publish tries the control machines in turn. mayBeCommitted is whether an attempt under the same request id has an unknown
// outcome.
func publish(ctx context.Context, addresses []string, request *configpb.PublishRequest, mayBeCommitted bool) (uint64, error) {
	if len(addresses) == 0 {
		return 0, unavailableError(mayBeCommitted, errNoAddress)
	}
	lastErr := error(context.DeadlineExceeded)
	for backoff := minRetryBackoff; ; backoff = min(2*backoff, maxRetryBackoff) {
		for _, address := range addresses {
			if ctx.Err() != nil {
				return 0, unavailableError(mayBeCommitted, lastErr)
			}
			number, err := publishTo(ctx, address, request)
			var rejected *RejectedError
			if err == nil || errors.As(err, &rejected) {
				return number, err
			}
			var unknown *OutcomeUnknownError
			if errors.As(err, &unknown) {
				mayBeCommitted = true
			}
			lastErr = fmt.Errorf("%s: %w", address, err)
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
}

// unavailableError returns the error of a publication that no control machine has accepted now.
func unavailableError(mayBeCommitted bool, lastErr error) error {
	if mayBeCommitted {
		return &OutcomeUnknownError{lastErr}
	}
	return &UnavailableError{lastErr}
}

// publishTo publishes a document at one control machine. Its errors are *RejectedError and *OutcomeUnknownError; any other
// error means that the control machine has certainly not accepted the publication.
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

// publishError converts a gRPC error to an error of publishTo.
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
	case codes.ResourceExhausted: // the request exceeds the server's message size limit
		return &RejectedError{Key: "document", Reason: s.Message()}
	case codes.Unimplemented: // the server is not a control machine
		return errors.New(s.Message())
	}
	return &OutcomeUnknownError{errors.New(s.Message())}
}
