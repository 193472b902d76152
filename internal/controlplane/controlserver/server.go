// Package controlserver runs a control machine: a member of the replicated log of configurations that serves brokers
// and operators. It drives internal/controlplane/consensus, internal/controlplane/raftlog and internal/controlplane/confighub over gRPC, files and the clock.
//
// One goroutine, the replica, owns the consensus node, the state machine and the log. The handlers of gRPC and the
// streams of the other control machines talk to it by bounded channels. What it cannot store stops this machine, and
// no other.
package controlserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
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
	// LogFileName is the file of the log in its folder.
	LogFileName = "raft.db"

	// maxConnections of brokers and operators: one for each session of the hub, and 100 for operators.
	maxConnections = distribution.MaxSessions + 100
	// maxPeerConnections: two for each of 8 members, whose former connections may not have ended yet.
	maxPeerConnections = 16

	// minPingInterval is how often a peer may ping at most, half of pingAfter.
	minPingInterval = pingInterval / 2

	// drainTimeout is how long a machine that is told to end waits for publications under way.
	drainTimeout = 2 * time.Second
)

// Member is one of the control machines.
type Member struct {
	Name        string
	ID          uint64 // in the log; never 0, never of another machine later
	Address     string // host:port, where brokers and operators reach it
	PeerAddress string // host:port, where the other members reach it
	Voter       bool   // at the begin of the log; false: the spare
}

// Options of a control machine.
type Options struct {
	Fleet        string // its fingerprint marks what members send each other
	Name         string // of this machine, among the members
	Members      []Member
	Folder       string // of the log; must exist
	Create       bool   // make a new log: the folder must have none. Otherwise it must have one
	VoterTimeout time.Duration
	Listener     net.Listener // for brokers and operators; closed by Run
	PeerListener net.Listener // for the other members; closed by Run
	Validate     Validate
	Logger       *slog.Logger
}

// ErrNoLog tells that the folder has no log, and that none was to be made.
var ErrNoLog = errors.New("there is no log")

// Run runs a control machine until the context ends, or until it cannot go on: then the error tells why, and nothing
// was acknowledged that is not stored. Run is called once for its options.
func Run(ctx context.Context, o Options) error {
	defer o.Listener.Close()
	defer o.PeerListener.Close()
	self, peers, err := o.resolveMembers()
	if err != nil {
		return err
	}
	log, err := o.openLog(self.ID)
	if err != nil {
		return err
	}
	err = o.run(ctx, self, peers, log)
	return errors.Join(err, log.Close())
}

// resolveMembers returns this machine and where the others are reached.
func (o Options) resolveMembers() (self Member, peers []peerAddress, err error) {
	for _, m := range o.Members {
		if m.Name == o.Name {
			self = m
		} else {
			peers = append(peers, peerAddress{id: m.ID, name: m.Name, address: m.PeerAddress})
		}
	}
	if self.ID == 0 {
		return self, nil, fmt.Errorf("%q is not among the members", o.Name)
	}
	return self, peers, nil
}

// openLog opens the log, or makes it.
func (o Options) openLog(id uint64) (*raftlog.Log, error) {
	path := filepath.Join(o.Folder, LogFileName)
	options := raftlog.Options{Identity: raftlog.Identity{Fleet: plane.FleetFingerprint(o.Fleet), Node: id}}
	if !o.Create {
		log, err := raftlog.Open(path, options)
		if errors.Is(err, raftlog.ErrNotExist) {
			return nil, fmt.Errorf("%w in %s: a new one is made with --create, when the fleet of control machines is "+
				"new; a machine that has lost its log must not come back with an empty one", ErrNoLog, o.Folder)
		}
		return log, wrapLogError(path, err)
	}
	var voters, spares []uint64
	for _, m := range o.Members {
		if m.Voter {
			voters = append(voters, m.ID)
		} else {
			spares = append(spares, m.ID)
		}
	}
	log, err := raftlog.Create(path, options, consensus.BootstrapSnapshot(voters, spares))
	return log, wrapLogError(path, err)
}

// wrapLogError names the file of an error.
func wrapLogError(path string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("the log %s: %w", path, err)
}

// run starts all parts on an open log and ends them in turn.
func (o Options) run(ctx context.Context, self Member, peers []peerAddress, log *raftlog.Log) error {
	node, err := consensus.New(consensus.Options{
		ID: self.ID, Members: memberIDs(o.Members), Incarnation: uint64(time.Now().UnixNano()),
		VoterTimeout: o.VoterTimeout, Logger: o.Logger,
	}, log, time.Now())
	if err != nil {
		return err
	}
	fleet := plane.FleetFingerprint(o.Fleet)
	streams, err := newTransport(fleet, self.ID, peers, o.Logger)
	if err != nil {
		return err
	}
	defer streams.close()
	hub := confighub.New(o.Logger)
	owner := newReplica(node, log, hub, o.Logger)
	owner.send = streams.send
	owner.memberName = func(id uint64) string { return findMember(o.Members, id).Name }
	received := newReceiver(fleet, self.ID, peers, owner.enqueue)
	control := &service{
		publisher: newPublisher(self.ID, owner, o.Validate),
		self:      self, members: o.Members, replica: owner, hub: hub, reachable: received.reachable,
	}
	control.forward = streams.forward
	control.describeMember = func(id uint64) string {
		leader := control.member(id)
		return fmt.Sprintf("%s at %s", leader.Name, leader.Address)
	}
	brokers := newBrokerServer(control)
	members := newPeerServer(control, received)
	failed := make(chan error, 3)
	go func() { failed <- brokers.Serve(netutil.LimitListener(o.Listener, maxConnections)) }()
	go func() { failed <- members.Serve(netutil.LimitListener(o.PeerListener, maxPeerConnections)) }()
	owning, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { failed <- owner.run(owning) }()
	o.Logger.Info("control machine started", "name", self.Name, "id", self.ID, "listen", o.Listener.Addr().String(),
		"peers", o.PeerListener.Addr().String(), "newest", node.Machine().Number())

	err = control.waitUntilStopped(ctx, failed, func(report *dropLogger) { report.logChanges(o.Logger, received.envelopes(), streams.droppedCount()) })
	stop()
	<-owner.ended
	brokers.Stop()
	members.Stop()
	if err != nil {
		return fmt.Errorf("control machine %s stops, with its log at %s: %w", self.Name,
			filepath.Join(o.Folder, LogFileName), err)
	}
	o.Logger.Info("control machine ended", "name", self.Name)
	return nil
}

// waitUntilStopped waits until ctx ends, and publications then, or until a component fails with the error that it returns. It calls
// report at intervals.
func (s *service) waitUntilStopped(ctx context.Context, failed <-chan error, report func(*dropLogger)) error {
	counts := time.NewTicker(dropLogInterval)
	defer counts.Stop()
	reported := &dropLogger{}
	for {
		select {
		case <-ctx.Done():
			waitAtMost(s.drain(), drainTimeout)
			return nil
		case err := <-failed:
			return err
		case <-counts.C:
			report(reported)
		}
	}
}

func waitAtMost(done <-chan struct{}, limit time.Duration) {
	select {
	case <-done:
	case <-time.After(limit):
	}
}

func memberIDs(members []Member) (list []uint64) {
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

// newBrokerServer serves brokers and operators.
func newBrokerServer(control *service) *grpc.Server {
	server := grpc.NewServer(confighub.ServerOptions()...)
	configpb.RegisterControlServer(server, control)
	return server
}

// newPeerServer serves the other members: messages of the log, and publications that they send on.
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

// dropLogger logs what peers sent in vain and what could not be sent, where that has changed.
type dropLogger struct {
	envelopes EnvelopeCounts
	dropped   uint64
}

func (r *dropLogger) logChanges(log *slog.Logger, envelopes EnvelopeCounts, dropped uint64) {
	before := r.envelopes
	r.envelopes = envelopes
	bad := EnvelopeCounts{Foreign: envelopes.Foreign - before.Foreign, Oversized: envelopes.Oversized - before.Oversized,
		Unreadable: envelopes.Unreadable - before.Unreadable}
	if bad != (EnvelopeCounts{}) {
		log.Warn("messages of control machines dropped", "foreign", bad.Foreign, "oversized", bad.Oversized,
			"unreadable", bad.Unreadable)
	}
	if dropped > r.dropped {
		log.Warn("messages to control machines dropped by a full outbox", "count", dropped-r.dropped)
	}
	r.dropped = dropped
}
