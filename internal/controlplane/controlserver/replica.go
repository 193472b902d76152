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
	// maxInbox is the maximum number of messages from peers that wait for the replica. While the inbox is full, the peers'
	// streams are not read.
	maxInbox = 64
	// maxCalls is the maximum number of functions that handlers have queued for the replica's goroutine.
	maxCalls = 64
	// maxMessagesPerSync is the maximum number of messages that are processed before their entries are persisted with one
	// sync.
	maxMessagesPerSync = 32
	// dropLogInterval is the interval at which dropped messages are logged.
	dropLogInterval = time.Minute
)

// errStopping is the error of calls that are made while the control machine stops or after its replica has stopped.
var errStopping = errors.New("this control machine is stopping")

// storage is the storage of the raft log: raftlog.Log, except in tests.
type storage interface {
	raft.Storage
	Save(*raftpb.HardState, []*raftpb.Entry, *raftpb.Snapshot) error
	Compact(snapshot *raftpb.Snapshot, first uint64) error
}

var _ storage = (*raftlog.Log)(nil)

// replica owns the consensus node, its state machine and the raft log, and runs them on one goroutine. Other goroutines
// communicate with it through bounded channels.
type replica struct {
	node         *consensus.Node
	storage      storage
	send         func(*raftpb.Message)  // must not block
	memberName   func(id uint64) string // for logs
	hub          *confighub.Hub
	logger       *slog.Logger
	tickInterval time.Duration // of node.Tick

	inbox   chan *raftpb.Message
	calls   chan func()
	runDone chan struct{} // closed once run has returned

	publications   publications
	reads          map[uint64]chan<- consensus.ReadOutcome // by id, at most consensus.MaxReads
	lastReadID     uint64
	hubNewest      uint64 // number of the newest revision that was passed to hub
	loggedLeader   uint64 // raft id in the last log line on the leader; 0: none
	malformedCount uint64 // messages rejected by the node
}

func newReplica(node *consensus.Node, storage storage, hub *confighub.Hub, log *slog.Logger) *replica {
	return &replica{
		node: node, storage: storage, hub: hub, logger: log, tickInterval: consensus.DefaultTickInterval,
		inbox:        make(chan *raftpb.Message, maxInbox),
		calls:        make(chan func(), maxCalls),
		runDone:      make(chan struct{}),
		publications: publications{},
		reads:        map[uint64]chan<- consensus.ReadOutcome{},
	}
}

// run drives the node until the context ends, the storage fails or the node stops. Its error is that of the storage or
// consensus.Node.Err.
func (r *replica) run(ctx context.Context) error {
	defer close(r.runDone)
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

// stepBatch passes a message and those waiting in the inbox to the node, at most maxMessagesPerSync in total.
func (r *replica) stepBatch(message *raftpb.Message) {
	for range maxMessagesPerSync {
		if err := r.node.Step(message); errors.Is(err, consensus.ErrMalformedMessage) {
			r.malformedCount++
			r.logger.Warn("rejected malformed raft message", "error", err)
		}
		select {
		case message = <-r.inbox:
		default:
			return
		}
	}
}

// processReady persists, sends and applies what is ready at the node until nothing is, and updates the hub.
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

// save persists what must be durable before the messages are sent.
func (r *replica) save(ready *consensus.Ready) error {
	needsSave := !raft.IsEmptyHardState(ready.HardState) || len(ready.Entries) > 0 || !raft.IsEmptySnap(ready.Snapshot)
	if needsSave {
		if err := r.storage.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
			return fmt.Errorf("writing the raft log: %w", err)
		}
	}
	if compaction := ready.Compaction; compaction != nil {
		if err := r.storage.Compact(compaction.Snapshot, compaction.FirstIndex); err != nil {
			return fmt.Errorf("compacting the raft log: %w", err)
		}
	}
	return nil
}

// deliverOutcomes sends the outcomes to the waiting publishers and readers, and logs new revisions.
func (r *replica) deliverOutcomes(applied consensus.Applied) {
	for _, outcome := range applied.Proposals {
		r.publications.finish(outcome)
	}
	for _, outcome := range applied.Reads {
		if reader, ok := r.reads[outcome.ID]; ok {
			delete(r.reads, outcome.ID)
			reader <- outcome // does not block: capacity 1
		}
	}
	if applied.Restored {
		r.logger.Info("state restored from a snapshot of the leader", "newest", r.node.Machine().Number())
	}
	for _, revision := range applied.Revisions {
		r.logger.Info("revision committed", "number", revision.GetNumber(), "bytes", len(revision.GetDocument()))
	}
}

// updateHub passes the newest revision and the time of the last confirmation by a quorum to the hub.
func (r *replica) updateHub() {
	now := time.Now()
	var confirmedAt time.Time
	if age := r.node.ConfirmedAge(now); age != consensus.Unconfirmed {
		confirmedAt = now.Add(-age)
	}
	var revision *configpb.Revision
	if newest := r.node.Machine().Newest(); newest.GetNumber() > r.hubNewest {
		revision = newest
		r.hubNewest = newest.GetNumber()
	}
	if err := r.hub.SetNewest(revision, confirmedAt); err != nil {
		panic(fmt.Sprintf("controlserver: hub rejects applied revision %d: %v", revision.GetNumber(), err))
	}
}

// logLeaderChange logs the leader if it has changed since the last log line.
func (r *replica) logLeaderChange() {
	if leader := r.node.Leader(); leader != r.loggedLeader {
		r.loggedLeader = leader
		if leader == 0 {
			r.logger.Warn("no raft leader")
			return
		}
		r.logger.Info("raft leader changed", "leader", r.memberName(leader))
	}
}

// enqueue passes a message to the replica. It blocks while the inbox is full. Its error is the context's or errStopping.
func (r *replica) enqueue(ctx context.Context, message *raftpb.Message) error {
	select {
	case r.inbox <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.runDone:
		return errStopping
	}
}

// runOnLoop runs a function on the replica's goroutine and returns when it has run. Its error is the context's or
// errStopping; the function may then still run.
func (r *replica) runOnLoop(ctx context.Context, call func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { call(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.runDone:
		return errStopping
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.runDone:
		return errStopping
	}
}

// callOnLoop returns the result of a function that runs on the replica's goroutine. Its error is that of runOnLoop.
func callOnLoop[T any](ctx context.Context, r *replica, call func() T) (T, error) {
	result := make(chan T, 1)
	if err := r.runOnLoop(ctx, func() { result <- call() }); err != nil {
		var none T
		return none, err
	}
	return <-result, nil
}

// barrier is a linearizable read: it returns when this control machine has applied every publication acknowledged before
// the call. Its error is that of consensus.Node.Read, of the read's outcome, the context's or errStopping; this control
// machine's state may then be out of date.
func (r *replica) barrier(ctx context.Context) error {
	result := make(chan consensus.ReadOutcome, 1)
	var readErr error
	err := r.runOnLoop(ctx, func() {
		r.lastReadID++
		if readErr = r.node.Read(r.lastReadID); readErr == nil {
			r.reads[r.lastReadID] = result
		}
	})
	if err != nil {
		return err
	}
	if readErr != nil {
		return readErr
	}
	select {
	case outcome := <-result:
		return outcome.Err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.runDone:
		return errStopping
	}
}
