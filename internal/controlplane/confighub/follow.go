package confighub

import (
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// checkInterval is how often each session is checked for a timeout. The sender cannot do this while it is blocked by flow
// control.
const checkInterval = 5 * time.Second

// followStream is the server side of a Follow call.
type followStream = grpc.BidiStreamingServer[configpb.Report, configpb.Update]

// Follow serves one broker until its stream ends. It returns RESOURCE_EXHAUSTED if there are too many sessions or brokers,
// and UNAVAILABLE if the session has timed out or has been superseded by another one.
func (h *Hub) Follow(stream followStream) error {
	id, wake, err := h.openSession()
	if err != nil {
		return grpcError(err)
	}
	defer h.closeSession(id)
	results := make(chan error, 2) // one result per goroutine; the stream ends when Follow returns, which ends both goroutines
	go func() { results <- h.receive(stream, id, wake) }()
	go func() { results <- h.send(stream, id, wake) }()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case err := <-results:
			return grpcError(err)
		case <-check.C:
			if err := h.checkSession(id); err != nil {
				return grpcError(err)
			}
		}
	}
}

// receive receives status reports until the stream ends and wakes the sender after each report.
func (h *Hub) receive(stream followStream, id distribution.SessionID, wake chan struct{}) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := h.reportReceived(id, report); err != nil {
			return err
		}
		notify(wake)
	}
}

// send sends the hub's updates until the stream ends. It asks the hub for the next update when it is woken and at the time
// returned by the previous call of NextUpdate.
func (h *Hub) send(stream followStream, id distribution.SessionID, wake <-chan struct{}) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-wake:
		case <-timer.C:
		}
		update, wakeAt, err := h.nextUpdate(id)
		if err != nil {
			return err
		}
		if update != nil {
			if err := stream.Send(update); err != nil {
				return err
			}
		}
		timer.Reset(time.Until(wakeAt))
	}
}

// grpcError converts an error of the hub to a gRPC status error; it returns any other error unchanged.
func grpcError(err error) error {
	switch {
	case errors.Is(err, distribution.ErrTooManySessions),
		errors.Is(err, distribution.ErrTooManyBrokers):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.Is(err, distribution.ErrSessionTimeout),
		errors.Is(err, distribution.ErrSuperseded),
		errors.Is(err, distribution.ErrNoSession):
		return status.Error(codes.Unavailable, err.Error())
	}
	return err
}
