// Package controlserver runs a control machine: a member of the replicated log of configuration revisions that serves
// brokers and operators. It connects internal/controlplane/consensus, internal/controlplane/raftlog and
// internal/controlplane/confighub to gRPC, the file system and the clock.
//
// One goroutine, the replica, owns the consensus node, its state machine and the raft log. The gRPC handlers and the
// streams of the other control machines communicate with it through bounded channels. A storage error stops only this
// control machine.
package controlserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/controlplane/consensus"
	"mothrouter/internal/controlplane/raftlog"
)

// LogFileName is the name of the raft log in Options.Folder.
const LogFileName = "raft.db"

// Member is one control machine.
type Member struct {
	Name        string
	ID          uint64 // raft id, not 0; must not be reused for another control machine
	Address     string // host:port of its server for brokers and operators
	PeerAddress string // host:port of its server for the other members
	Voter       bool   // in the bootstrap configuration; false: a learner (spare)
}

// Options are the options of a control machine.
type Options struct {
	Fleet        string // name of the fleet; its fingerprint is in every envelope between members
	Name         string // name of this control machine, one of Members
	Members      []Member
	Folder       string        // directory of the raft log; must exist
	Create       bool          // true: create the raft log, which must not exist; false: open it
	VoterTimeout time.Duration // see consensus.Options
	Listener     net.Listener  // for brokers and operators; closed by Run
	PeerListener net.Listener  // for the other members; closed by Run
	Validate     ValidateFunc  // for documents to publish
	Logger       *slog.Logger
}

// ErrNoLog is the error of Run if the folder has no raft log and Options.Create is false.
var ErrNoLog = errors.New("raft log does not exist")

// Run runs a control machine until the context ends or a component fails. Its error is that of the component, of the
// options or of the raft log. Everything that was acknowledged has been persisted. It closes the listeners of the options,
// so they cannot be used for another call.
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
	m, err := newControlMachine(o, self, peers, log)
	if err == nil {
		err = m.serve(ctx)
	}
	return errors.Join(err, log.Close())
}

// resolveMembers returns this control machine and the addresses of the others.
func (o Options) resolveMembers() (self Member, peers []peerAddress, err error) {
	for _, m := range o.Members {
		if m.Name == o.Name {
			self = m
		} else {
			peers = append(peers, peerAddress{id: m.ID, name: m.Name, address: m.PeerAddress})
		}
	}
	if self.ID == 0 {
		return self, nil, fmt.Errorf("control machine %q is not among the members", o.Name)
	}
	return self, peers, nil
}

// openLog opens or creates the raft log of the member with the given raft id.
func (o Options) openLog(id uint64) (*raftlog.Log, error) {
	path := filepath.Join(o.Folder, LogFileName)
	options := raftlog.Options{Identity: raftlog.Identity{Fleet: plane.FleetFingerprint(o.Fleet), Node: id}}
	if !o.Create {
		log, err := raftlog.Open(path, options)
		if errors.Is(err, raftlog.ErrNotExist) {
			return nil, fmt.Errorf("%w in %s: use --create only for a new fleet of control machines; a control machine that "+
				"has lost its log must not rejoin with an empty one", ErrNoLog, o.Folder)
		}
		return log, wrapLogError(path, err)
	}
	var voters, learners []uint64
	for _, m := range o.Members {
		if m.Voter {
			voters = append(voters, m.ID)
		} else {
			learners = append(learners, m.ID)
		}
	}
	log, err := raftlog.Create(path, options, consensus.BootstrapSnapshot(voters, learners))
	return log, wrapLogError(path, err)
}

// wrapLogError adds the path of the raft log to an error.
func wrapLogError(path string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("raft log %s: %w", path, err)
}
