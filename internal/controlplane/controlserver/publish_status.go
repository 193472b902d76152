package controlserver

import (
	"errors"
	"fmt"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
	"mothrouter/internal/controlplane/revision"
)

// statusOfProposeError returns the error of a publication that was not appended: a NotLeaderError or a gRPC status.
func statusOfProposeError(err error) error {
	var notLeader *consensus.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return err
	case errors.Is(err, errRequestReused):
		return rejectionError(codes.InvalidArgument, &configpb.Refusal{Key: keyRequest, Reason: err.Error()})
	case errors.Is(err, revision.ErrInvalidCommand):
		return rejectionError(codes.InvalidArgument, &configpb.Refusal{Key: keyDocument, Reason: err.Error()})
	}
	return notAppendedError("%v", err)
}

// outcomeResponse returns the response, or the gRPC status, for the outcome of a proposal.
func outcomeResponse(outcome consensus.ProposalOutcome) (*configpb.PublishResponse, error) {
	if outcome.Err != nil {
		return nil, outcomeUnknownError(outcome.Err)
	}
	switch result := outcome.Result; result.Rejection {
	case revision.Accepted:
		return &configpb.PublishResponse{Number: result.Number}, nil
	case revision.NotNewest:
		return nil, rejectionError(codes.FailedPrecondition, &configpb.Refusal{Number: result.Number, Key: keyExpected,
			Reason: fmt.Sprintf("the newest revision is %d", result.Number)})
	case revision.RequestReused:
		return nil, rejectionError(codes.InvalidArgument, &configpb.Refusal{Key: keyRequest, Reason: result.Rejection.String()})
	default:
		return nil, rejectionError(codes.InvalidArgument, &configpb.Refusal{Key: keyDocument, Reason: result.Rejection.String()})
	}
}

// notAppendedError returns status UNAVAILABLE for a publication that has certainly not been appended to the
// raft log.
func notAppendedError(format string, arguments ...any) error {
	return withDetails(status.Newf(codes.Unavailable, format, arguments...),
		&errdetails.ErrorInfo{Reason: configpb.NotAppended, Domain: configpb.ErrorDomain})
}

// outcomeUnknownError returns status DEADLINE_EXCEEDED for a publication that may or may not be committed.
func outcomeUnknownError(err error) error {
	return status.Errorf(codes.DeadlineExceeded, "the publication may be committed or not: %v", err)
}

// rejectionError returns a status with a rejection in its details.
func rejectionError(code codes.Code, rejection *configpb.Refusal) error {
	return withDetails(status.Newf(code, "%s: %s", rejection.GetKey(), rejection.GetReason()), rejection)
}

// withDetails returns a status with details as an error.
func withDetails(s *status.Status, details protoadapt.MessageV1) error {
	detailed, err := s.WithDetails(details)
	if err != nil {
		panic(fmt.Sprintf("controlserver: encoding the details of a status: %v", err))
	}
	return detailed.Err()
}
