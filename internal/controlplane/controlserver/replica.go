package controlserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
	"mothrouter/internal/controlplane/raftlog"
)

const (
	// maxInbox is how many messages of peers wait for the replica. Streams are read no further while it is full.
	maxInbox = 64
	// maxCalls is how many calls of handlers wait for the replica.
	maxCalls = 64
	// maxMessagesPerSync is how many messages are taken before what they ask for is written: one sync for all.
	maxMessagesPerSync = 32
	// dropLogInterval is how often the counts of dropped messages are logged, where they have changed.
	dropLogInterval = time.Minute
)

// errStopping is what calls to a replica return that no longer runs.
var errStopping = errors.New("this control machine is stopping")

// storage is that of the replicated log: raftlog.Log but in tests.
type storage interface {
	raft.Storage
	Save(*raftpb.HardState, []*raftpb.Entry, *raftpb.Snapshot) error
	Compact(snapshot *raftpb.Snapshot, first uint64) error
}

var _ storage = (*raftlog.Log)(nil)

// replica is the goroutine that owns the consensus node, the state machine of revisions and the log. All others talk to
// it by bounded channels.
type replica struct {
	node         *consensus.Node
	storage      storage
	send         func(*raftpb.Message) // must not wait
	memberName   func(id uint64) string
	hub          *confighub.Hub
	logger       *slog.Logger
	tickInterval time.Duration // between ticks

	inbox chan *raftpb.Message
	calls chan func()
	ended chan struct{} // closed once run has returned

	publications   publications
	reads          map[uint64]chan<- consensus.ReadOutcome // by id, at most consensus.MaxReads
	lastReadID     uint64
	hubNewest      uint64 // of what the hub was told
	loggedLeader   uint64 // that was logged last
	malformedCount uint64 // messages that the node refused
}

func newReplica(node *consensus.Node, storage storage, hub *confighub.Hub, log *slog.Logger) *replica {
	return &replica{
		node: node, storage: storage, hub: hub, logger: log, tickInterval: consensus.DefaultTickInterval,
		inbox:        make(chan *raftpb.Message, maxInbox),
		calls:        make(chan func(), maxCalls),
		ended:        make(chan struct{}),
		publications: publications{},
		reads:        map[uint64]chan<- consensus.ReadOutcome{},
	}
}

// run owns the node until the context ends. Its error tells why this control machine cannot go on: its storage failed,
// or the node found it wanting.
func (r *replica) run(ctx context.Context) error {
	defer close(r.ended)
	ticks := time.NewTicker(r.tickInterval)
	defer ticks.Stop()
	r.updateHub()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			r.node.Tick(time.Now())
		case message := <-r.inbox:
			r.stepBatch(message)
		case call := <-r.calls:
			call()
		}
		if err := r.processReady(); err != nil {
			return err
		}
	}
}

// stepBatch takes in a message and those that wait behind it.
func (r *replica) stepBatch(message *raftpb.Message) {
	for range maxMessagesPerSync {
		if err := r.node.Step(message); errors.Is(err, consensus.ErrMalformedMessage) {
			r.malformedCount++
			r.logger.Warn("message of a control machine rejected", "error", err)
		}
		select {
		case message = <-r.inbox:
		default:
			return
		}
	}
}

// processReady does what the node asks for until it asks for nothing more.
func (r *replica) processReady() error {
	for ready := r.node.Ready(); ready != nil; ready = r.node.Ready() {
		if err := r.save(ready); err != nil {
			return err
		}
		for _, message := range ready.Messages {
			r.send(message)
		}
		r.deliverOutcomes(r.node.Advance())
	}
	if err := r.node.Err(); err != nil {
		return err
	}
	r.updateHub()
	r.logLeaderChange()
	return nil
}

// save stores what has to be durable before the messages go out.
func (r *replica) save(ready *consensus.Ready) error {
	saves := !raft.IsEmptyHardState(ready.HardState) || len(ready.Entries) > 0 || !raft.IsEmptySnap(ready.Snapshot)
	if saves {
		if err := r.storage.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
			return fmt.Errorf("writing the log: %w", err)
		}
	}
	if c := ready.Compaction; c != nil {
		if err := r.storage.Compact(c.Snapshot, c.FirstIndex); err != nil {
			return fmt.Errorf("compacting the log: %w", err)
		}
	}
	return nil
}

// deliverOutcomes answers those who wait for what was applied.
func (r *replica) deliverOutcomes(applied consensus.Applied) {
	for _, outcome := range applied.Proposals {
		r.publications.finish(outcome)
	}
	for _, outcome := range applied.Reads {
		if waiting, ok := r.reads[outcome.ID]; ok {
			delete(r.reads, outcome.ID)
			waiting <- outcome // of capacity 1
		}
	}
	if applied.Restored {
		r.logger.Info("state restored from a snapshot of the leader", "newest", r.node.Machine().Number())
	}
	for _, revision := range applied.Revisions {
		r.logger.Info("revision committed", "number", revision.GetNumber(), "bytes", len(revision.GetDocument()))
	}
}

// updateHub has brokers told of the newest revision and of how lately a quorum confirmed it.
func (r *replica) updateHub() {
	now := time.Now()
	confirmed := time.Time{}
	if age := r.node.ConfirmedAge(now); age != consensus.Unconfirmed {
		confirmed = now.Add(-age)
	}
	var revision *configpb.Revision
	if newest := r.node.Machine().Newest(); newest.GetNumber() > r.hubNewest {
		revision = newest
		r.hubNewest = newest.GetNumber()
	}
	if err := r.hub.SetNewest(revision, confirmed); err != nil {
		panic(fmt.Sprintf("controlserver: an applied revision that cannot be distributed: %v", err))
	}
}

func (r *replica) logLeaderChange() {
	if leader := r.node.Leader(); leader != r.loggedLeader {
		r.loggedLeader = leader
		if leader == 0 {
			r.logger.Warn("no leader")
			return
		}
		r.logger.Info("leader known", "leader", r.memberName(leader))
	}
}

// enqueue hands a message to the replica. It waits while the inbox is full.
func (r *replica) enqueue(ctx context.Context, message *raftpb.Message) error {
	select {
	case r.inbox <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ended:
		return errStopping
	}
}

// runOnLoop runs a function on the replica's goroutine and returns once it has run. Where it returns an error, the function
// may still run, or not.
func (r *replica) runOnLoop(ctx context.Context, call func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { call(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ended:
		return errStopping
	}
	return r.wait(ctx, done)
}

func (r *replica) wait(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ended:
		return errStopping
	}
}

// barrier returns once this machine has applied all that was acknowledged to anybody before the call. Errors: those of
// consensus.Node.Read and consensus.ErrTimeout; then nobody knows whether this machine is behind.
func (r *replica) barrier(ctx context.Context) error {
	answer := make(chan consensus.ReadOutcome, 1)
	var asked error
	err := r.runOnLoop(ctx, func() {
		r.lastReadID++
		if asked = r.node.Read(r.lastReadID); asked == nil {
			r.reads[r.lastReadID] = answer
		}
	})
	if err != nil {
		return err
	}
	if asked != nil {
		return asked
	}
	select {
	case outcome := <-answer:
		return outcome.Err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ended:
		return errStopping
	}
}
