// Package confighub drives distribution.Hub over gRPC: it serves the Follow streams of brokers on a control machine.
package confighub

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

const (
	keepaliveTime     = 10 * time.Second // without a byte from the peer, then it is asked
	keepaliveTimeout  = 5 * time.Second  // to answer
	checkInterval     = 5 * time.Second  // a session whose sending is blocked is checked
	flowControlWindow = 64 << 10         // bytes unread on a stream and on a connection; so set, gRPC does not widen it
	connectionBuffer  = 4 << 10          // bytes of a connection's buffers, each way
)

// ServerOptions are the options of a gRPC server that serves Follow. Messages up to distribution.MaxMessage are taken.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.InitialWindowSize(flowControlWindow),
		grpc.InitialConnWindowSize(flowControlWindow),
		grpc.MaxRecvMsgSize(distribution.MaxMessage),
		grpc.ReadBufferSize(connectionBuffer),
		grpc.WriteBufferSize(connectionBuffer),
		grpc.ConnectionTimeout(keepaliveTimeout),
	}
}

// Hub serves brokers. Make it with New. Its methods may be called by several goroutines at once.
type Hub struct {
	log *slog.Logger

	mu      sync.Mutex
	hub     *distribution.Hub
	wakeups map[distribution.SessionID]chan struct{} // of capacity 1: wakes the sender
}

// New returns a hub without revisions.
func New(log *slog.Logger) *Hub {
	return &Hub{
		log:     log,
		hub:     distribution.NewHub(),
		wakeups: map[distribution.SessionID]chan struct{}{},
	}
}

// SetNewest tells the newest revision of the log that this machine has applied, and when a quorum last confirmed that
// it is the newest. The revision must not be changed afterwards. A nil revision tells the time alone. Errors: those of
// distribution.Hub.Newest; then the time is not taken either.
func (h *Hub) SetNewest(revision *configpb.Revision, confirmedAt time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision != nil {
		if err := h.hub.SetNewest(time.Now(), revision); err != nil {
			return err
		}
		for _, wake := range h.wakeups {
			notify(wake)
		}
	}
	h.hub.SetConfirmed(confirmedAt)
	return nil
}

// Status returns what the hub knows of the brokers and of the latest revisions.
func (h *Hub) Status() distribution.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.Status(time.Now())
}

// Counts returns the reports so far.
func (h *Hub) Counts() distribution.ReportCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.Counts()
}

// Lagging returns the names of the connected brokers that lack a revision for too long.
func (h *Hub) Lagging() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.Lagging(time.Now())
}

// Follow serves one broker until its stream ends. Errors: RESOURCE_EXHAUSTED with too many sessions; UNAVAILABLE where
// the session is silent or another one has taken its place.
func (h *Hub) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	id, wake, err := h.openSession()
	if err != nil {
		return grpcError(err)
	}
	defer h.closeSession(id)
	ended := make(chan error, 2) // one of each goroutine; both end with the stream, when this call returns
	go func() { ended <- h.receive(stream, id, wake) }()
	go func() { ended <- h.send(stream, id, wake) }()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case err := <-ended:
			return grpcError(err)
		case <-check.C:
			if err := h.checkSession(id); err != nil {
				return grpcError(err)
			}
		}
	}
}

// receive takes reports until the stream ends.
func (h *Hub) receive(
	stream grpc.BidiStreamingServer[configpb.Report, configpb.Update], id distribution.SessionID, wake chan struct{},
) error {
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

// send sends updates until the stream ends.
func (h *Hub) send(
	stream grpc.BidiStreamingServer[configpb.Report, configpb.Update], id distribution.SessionID, wake chan struct{},
) error {
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

func (h *Hub) openSession() (distribution.SessionID, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, err := h.hub.OpenSession(time.Now())
	if err != nil {
		h.log.Warn("broker rejected", "error", err, "sessions", h.hub.Sessions())
		return 0, nil, err
	}
	wake := make(chan struct{}, 1)
	h.wakeups[id] = wake
	return id, wake, nil
}

func (h *Hub) closeSession(id distribution.SessionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hub.CloseSession(time.Now(), id)
	delete(h.wakeups, id)
}

func (h *Hub) checkSession(id distribution.SessionID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.CheckSession(time.Now(), id)
}

func (h *Hub) reportReceived(id distribution.SessionID, report *configpb.Report) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.ReportReceived(time.Now(), id, report)
}

func (h *Hub) nextUpdate(id distribution.SessionID) (*configpb.Update, time.Time, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.NextUpdate(time.Now(), id)
}

func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default: // it is awake already
	}
}

// grpcError returns what a broker is told.
func grpcError(err error) error {
	switch {
	case errors.Is(err, distribution.ErrTooManySessions), errors.Is(err, distribution.ErrTooManyBrokers):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.Is(err, distribution.ErrSessionTimeout),
		errors.Is(err, distribution.ErrSuperseded),
		errors.Is(err, distribution.ErrNoSession):
		return status.Error(codes.Unavailable, err.Error())
	}
	return err
}
