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
	// maxConnections is the maximum number of connections of brokers and operators: one per session of the hub, and 100
	// for operators.
	maxConnections = distribution.MaxSessions + 100

	// maxPeerConnections is the maximum number of connections of peers: two for each of 8 members, whose previous
	// connections may not have ended yet.
	maxPeerConnections = 16

	// minPingInterval is the minimum interval between keepalive pings that a server accepts: half of pingInterval.
	minPingInterval = pingInterval / 2

	// drainTimeout is the maximum time that a machine waits at shutdown for publications in progress.
	drainTimeout = 2 * time.Second
)

// machine is the components of a control machine on an open log.
type machine struct {
	options  Options
	self     Member
	node     *consensus.Node
	replica  *replica
	streams  *transport
	receiver *receiver
	service  *service
}

// newMachine creates the components. The transport is started, and closed by serve.
func newMachine(o Options, self Member, peers []peerAddress, log *raftlog.Log) (*machine, error) {
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
	streams, err := newTransport(fleet, self.ID, peers, o.Logger)
	if err != nil {
		return nil, err
	}
	hub := confighub.New(o.Logger)
	owner := newReplica(node, log, hub, o.Logger)
	owner.send = streams.send
	owner.memberName = func(id uint64) string { return findMember(o.Members, id).Name }
	received := newReceiver(fleet, self.ID, peers, owner.enqueue)
	return &machine{
		options:  o,
		self:     self,
		node:     node,
		replica:  owner,
		streams:  streams,
		receiver: received,
		service:  newService(o, self, owner, hub, received, streams),
	}, nil
}

// newService creates the Control service of a machine.
func newService(o Options, self Member, owner *replica, hub *confighub.Hub, received *receiver,
	streams *transport) *service {
	s := &service{
		publisher: newPublisher(self.ID, owner, o.Validate),
		self:      self,
		members:   o.Members,
		replica:   owner,
		hub:       hub,
		reachable: received.reachable,
	}
	s.forward = streams.forward
	s.describeMember = func(id uint64) string {
		member := s.member(id)
		return fmt.Sprintf("%s at %s", member.Name, member.Address)
	}
	return s
}

// serve runs the components until the context ends or one of them fails, and then stops them. Its error is that of the
// component and names the machine and its log.
func (m *machine) serve(ctx context.Context) error {
	defer m.streams.close()
	brokers := newBrokerServer(m.service)
	members := newPeerServer(m.service, m.receiver)
	failed := make(chan error, 3) // one for each component, so that none blocks
	listener := netutil.LimitListener(m.options.Listener, maxConnections)
	go func() { failed <- brokers.Serve(listener) }()
	peerListener := netutil.LimitListener(m.options.PeerListener, maxPeerConnections)
	go func() { failed <- members.Serve(peerListener) }()
	replicaCtx, stopReplica := context.WithCancel(context.Background())
	defer stopReplica()
	go func() { failed <- m.replica.run(replicaCtx) }()
	m.logStarted()

	err := m.waitUntilStopped(ctx, failed)
	stopReplica()
	<-m.replica.ended
	brokers.Stop()
	members.Stop()
	if err != nil {
		return fmt.Errorf("control machine %s stops, with its log at %s: %w", m.self.Name,
			filepath.Join(m.options.Folder, LogFileName), err)
	}
	m.options.Logger.Info("control machine ended", "name", m.self.Name)
	return nil
}

func (m *machine) logStarted() {
	m.options.Logger.Info("control machine started", "name", m.self.Name, "id", m.self.ID,
		"listen", m.options.Listener.Addr().String(), "peers", m.options.PeerListener.Addr().String(),
		"newest", m.node.Machine().Number())
}

// waitUntilStopped waits until a component fails, and returns its error, or until the context ends and the publications
// in progress have ended, at most drainTimeout. It logs dropped messages every dropLogInterval.
func (m *machine) waitUntilStopped(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(dropLogInterval)
	defer ticker.Stop()
	drops := &dropLogger{}
	for {
		select {
		case <-ctx.Done():
			waitAtMost(m.service.drain(), drainTimeout)
			return nil
		case err := <-failed:
			return err
		case <-ticker.C:
			drops.logChanges(m.options.Logger, m.receiver.envelopes(), m.streams.droppedCount())
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

// newBrokerServer returns the server of brokers and operators.
func newBrokerServer(control *service) *grpc.Server {
	server := grpc.NewServer(confighub.ServerOptions()...)
	configpb.RegisterControlServer(server, control)
	return server
}

// newPeerServer returns the server of the other members, for raft messages and forwarded publications.
func newPeerServer(control *service, received *receiver) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxPeerMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	)
	configpb.RegisterControlServer(server, control)
	configpb.RegisterConsensusServer(server, received)
	return server
}
