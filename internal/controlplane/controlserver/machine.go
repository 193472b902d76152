package controlserver

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
	"mothrouter/internal/controlplane/distribution"
	"mothrouter/internal/controlplane/raftlog"
)

const (
	// maxConnections is the maximum number of connections from brokers and operators: one per session of the hub, and 100
	// for operators.
	maxConnections = distribution.MaxSessions + 100

	// maxPeerConnections is the maximum number of connections from peers: two for each of 8 members, because a member's
	// previous connection may not have ended when it reconnects.
	maxPeerConnections = 16

	// minPingInterval is the minimum interval between keepalive pings that a server accepts: half of pingInterval.
	minPingInterval = pingInterval / 2

	// drainTimeout limits how long a control machine waits at shutdown for publications in progress.
	drainTimeout = 2 * time.Second
)

// controlMachine holds the components of a control machine with an open raft log.
type controlMachine struct {
	options   Options
	self      Member
	node      *consensus.Node
	replica   *replica
	transport *transport
	receiver  *receiver
	service   *service
}

// newControlMachine creates the components and starts the transport, which serve closes.
func newControlMachine(o Options, self Member, peers []peerAddress, log *raftlog.Log) (*controlMachine, error) {
	node, err := consensus.New(consensus.Options{
		ID:           self.ID,
		Members:      memberIDs(o.Members),
		Incarnation:  uint64(time.Now().UnixNano()),
		VoterTimeout: o.VoterTimeout,
		Logger:       o.Logger,
	}, log, time.Now())
	if err != nil {
		return nil, err
	}
	fleet := plane.FleetFingerprint(o.Fleet)
	transport, err := newTransport(fleet, self.ID, peers, o.Logger)
	if err != nil {
		return nil, err
	}
	hub := confighub.New(o.Logger)
	replica := newReplica(node, log, hub, o.Logger)
	replica.send = transport.send
	replica.memberName = func(id uint64) string { return findMember(o.Members, id).Name }
	receiver := newReceiver(fleet, self.ID, peers, replica.enqueue)
	return &controlMachine{
		options:   o,
		self:      self,
		node:      node,
		replica:   replica,
		transport: transport,
		receiver:  receiver,
		service:   newService(o, self, replica, hub, receiver, transport),
	}, nil
}

// newService creates the Control service of a control machine.
func newService(o Options, self Member, replica *replica, hub *confighub.Hub, receiver *receiver,
	transport *transport) *service {
	s := &service{
		publisher: newPublisher(self.ID, replica, o.Validate),
		self:      self,
		members:   o.Members,
		replica:   replica,
		hub:       hub,
		reachable: receiver.reachable,
	}
	s.forward = transport.forward
	s.describeMember = func(id uint64) string {
		member := s.member(id)
		return fmt.Sprintf("%s at %s", member.Name, member.Address)
	}
	return s
}

// serve runs the components until the context ends or one of them fails, and then stops them. Its error wraps that of the
// component and names the control machine and its raft log.
func (m *controlMachine) serve(ctx context.Context) error {
	defer m.transport.close()
	brokerServer := newBrokerServer(m.service)
	peerServer := newPeerServer(m.service, m.receiver)
	failures := make(chan error, 3) // one for each component, so that none blocks
	listener := netutil.LimitListener(m.options.Listener, maxConnections)
	go func() { failures <- brokerServer.Serve(listener) }()
	peerListener := netutil.LimitListener(m.options.PeerListener, maxPeerConnections)
	go func() { failures <- peerServer.Serve(peerListener) }()
	replicaCtx, stopReplica := context.WithCancel(context.Background())
	defer stopReplica()
	go func() { failures <- m.replica.run(replicaCtx) }()
	m.logStarted()

	err := m.waitUntilStopped(ctx, failures)
	stopReplica()
	<-m.replica.runDone
	brokerServer.Stop()
	peerServer.Stop()
	if err != nil {
		return fmt.Errorf("control machine %s failed (raft log %s): %w", m.self.Name,
			filepath.Join(m.options.Folder, LogFileName), err)
	}
	m.options.Logger.Info("control machine stopped", "name", m.self.Name)
	return nil
}

func (m *controlMachine) logStarted() {
	m.options.Logger.Info("control machine started", "name", m.self.Name, "id", m.self.ID,
		"listen", m.options.Listener.Addr().String(), "peers", m.options.PeerListener.Addr().String(),
		"newest", m.node.Machine().Number())
}

// waitUntilStopped waits until a component fails, and returns its error, or until the context ends. After the end of the
// context it waits at most drainTimeout for the publications in progress. It logs dropped messages every dropLogInterval.
func (m *controlMachine) waitUntilStopped(ctx context.Context, failures <-chan error) error {
	ticker := time.NewTicker(dropLogInterval)
	defer ticker.Stop()
	drops := &dropLogger{}
	for {
		select {
		case <-ctx.Done():
			waitAtMost(m.service.drain(), drainTimeout)
			return nil
		case err := <-failures:
			return err
		case <-ticker.C:
			drops.logNewDrops(m.options.Logger, m.receiver.envelopeCounts(), m.transport.droppedCount())
		}
	}
}

// waitAtMost waits until a channel is closed or the timeout has passed.
func waitAtMost(done <-chan struct{}, timeout time.Duration) {
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

func memberIDs(members []Member) []uint64 {
	var ids []uint64
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}

// newBrokerServer returns the gRPC server for brokers and operators.
func newBrokerServer(control *service) *grpc.Server {
	server := grpc.NewServer(confighub.ServerOptions()...)
	configpb.RegisterControlServer(server, control)
	return server
}

// newPeerServer returns the gRPC server for the other members. It receives raft messages and forwarded publications.
func newPeerServer(control *service, receiver *receiver) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxPeerMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	)
	configpb.RegisterControlServer(server, control)
	configpb.RegisterConsensusServer(server, receiver)
	return server
}
