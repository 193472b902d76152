// Package confighub drives distribution.Hub over gRPC: it serves the Follow streams of brokers on a control machine.
package confighub

import (
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

const (
	// keepaliveTime is how long a connection is idle before the server pings the peer.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is how long the peer may take to answer a keepalive ping, or to complete the connection handshake.
	keepaliveTimeout = 5 * time.Second
	// flowControlWindow is the HTTP/2 flow-control window of each stream and connection, in bytes. It holds one document.
	// gRPC does not grow a window whose size is set explicitly.
	flowControlWindow = 64 << 10
	// connectionBufferSize is the size of each connection's read and write buffer, in bytes. It is small because there are
	// up to distribution.MaxSessions connections.
	connectionBufferSize = 4 << 10
)

// ServerOptions returns the options of a gRPC server that serves Follow. It accepts messages up to
// distribution.MaxMessage.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.InitialWindowSize(flowControlWindow),
		grpc.InitialConnWindowSize(flowControlWindow),
		grpc.MaxRecvMsgSize(distribution.MaxMessage),
		grpc.ReadBufferSize(connectionBufferSize),
		grpc.WriteBufferSize(connectionBufferSize),
		grpc.ConnectionTimeout(keepaliveTimeout),
	}
}

// Hub serves Follow streams with the newest revision. Create it with New. It is safe for concurrent use.
type Hub struct {
	log *slog.Logger

	mu      sync.Mutex // guards the fields below
	hub     *distribution.Hub
	wakeups map[distribution.SessionID]chan struct{} // wake the sender of each session; capacity 1
}

// New returns a hub without a revision.
func New(log *slog.Logger) *Hub {
	return &Hub{
		log:     log,
		hub:     distribution.NewHub(),
		wakeups: map[distribution.SessionID]chan struct{}{},
	}
}

// SetNewest sets the newest revision that this control machine has applied from the log, and when a quorum last confirmed
// that it is the newest. The revision must not be modified afterwards; if it is nil, only the time is set. SetNewest returns
// the errors of distribution.Hub.SetNewest; on an error the time is not set either.
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

// Status returns a snapshot of the state of the brokers and of the tracked revisions.
func (h *Hub) Status() distribution.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.Status(time.Now())
}

// Counts returns the counters of status reports.
func (h *Hub) Counts() distribution.ReportCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.Counts()
}

// Lagging returns the names of the lagging brokers, as distribution.Hub.Lagging does.
func (h *Hub) Lagging() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hub.Lagging(time.Now())
}

// openSession opens a session and returns the channel that wakes its sender.
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

// notify wakes a sender. It does nothing if a wakeup is already pending.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
