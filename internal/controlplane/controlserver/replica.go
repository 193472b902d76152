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
	// maxMessagesAtOnce is how many messages are taken before what they ask for is written: one sync for all.
	maxMessagesAtOnce = 32
	// countsEvery is how often the counts of dropped messages are logged, where they have changed.
	countsEvery = time.Minute
)

// errStopped is what calls to a replica return that no longer runs.
var errStopped = errors.New("this control machine is stopping")

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
	node     *consensus.Node
	storage  storage
	send     func(*raftpb.Message) // must not wait
	nameOf   func(id uint64) string
	hub      *confighub.Hub
	log      *slog.Logger
	interval time.Duration // between ticks

	inbox chan *raftpb.Message
	calls chan func()
	ended chan struct{} // closed once run has returned

	publications publications
	reads        map[uint64]chan<- consensus.ReadOutcome // by id, at most consensus.MaxReads
	lastRead     uint64
	newest       uint64 // of what the hub was told
	leader       uint64 // that was logged last
	malformed    uint64 // messages that the node refused
}

func newReplica(node *consensus.Node, storage storage, hub *confighub.Hub, log *slog.Logger) *replica {
	return &replica{
		node: node, storage: storage, hub: hub, log: log, interval: consensus.DefaultTickInterval,
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
	ticks := time.NewTicker(r.interval)
	defer ticks.Stop()
	r.updateHub()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			r.node.Tick(time.Now())
		case message := <-r.inbox:
			r.advance(message)
		case call := <-r.calls:
			call()
		}
		if err := r.work(); err != nil {
			return err
		}
	}
}

// advance takes in a message and those that wait behind it.
func (r *replica) advance(message *raftpb.Message) {
	for range maxMessagesAtOnce {
		if err := r.node.Step(message); errors.Is(err, consensus.ErrMalformedMessage) {
			r.malformed++
			r.log.Warn("message of a control machine rejected", "error", err)
		}
		select {
		case message = <-r.inbox:
		default:
			return
		}
	}
}

// work does what the node asks for until it asks for nothing more.
func (r *replica) work() error {
	for ready := r.node.Ready(); ready != nil; ready = r.node.Ready() {
		if err := r.save(ready); err != nil {
			return err
		}
		for _, message := range ready.Messages {
			r.send(message)
		}
		r.applied(r.node.Advance())
	}
	if err := r.node.Err(); err != nil {
		return err
	}
	r.updateHub()
	r.announceLeader()
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

// applied answers those who wait for what was applied.
func (r *replica) applied(applied consensus.Applied) {
	for _, outcome := range applied.Proposals {
		r.publications.end(outcome)
	}
	for _, outcome := range applied.Reads {
		if waiting, ok := r.reads[outcome.ID]; ok {
			delete(r.reads, outcome.ID)
			waiting <- outcome // of capacity 1
		}
	}
	if applied.Restored {
		r.log.Info("state restored from a snapshot of the leader", "newest", r.node.Machine().Number())
	}
	for _, revision := range applied.Revisions {
		r.log.Info("revision committed", "number", revision.GetNumber(), "bytes", len(revision.GetDocument()))
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
	if newest := r.node.Machine().Newest(); newest.GetNumber() > r.newest {
		revision = newest
		r.newest = newest.GetNumber()
	}
	if err := r.hub.SetNewest(revision, confirmed); err != nil {
		panic(fmt.Sprintf("controlserver: an applied revision that cannot be distributed: %v", err))
	}
}

func (r *replica) announceLeader() {
	if leader := r.node.Leader(); leader != r.leader {
		r.leader = leader
		if leader == 0 {
			r.log.Warn("no leader")
			return
		}
		r.log.Info("leader known", "leader", r.nameOf(leader))
	}
}

// deliver hands a message to the replica. It waits while the inbox is full.
func (r *replica) deliver(ctx context.Context, message *raftpb.Message) error {
	select {
	case r.inbox <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ended:
		return errStopped
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
		return errStopped
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
		return errStopped
	}
}

// barrier returns once this machine has applied all that was acknowledged to anybody before the call. Errors: those of
// consensus.Node.Read and consensus.ErrTimeout; then nobody knows whether this machine is behind.
func (r *replica) barrier(ctx context.Context) error {
	answer := make(chan consensus.ReadOutcome, 1)
	var asked error
	err := r.runOnLoop(ctx, func() {
		r.lastRead++
		if asked = r.node.Read(r.lastRead); asked == nil {
			r.reads[r.lastRead] = answer
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
		return errStopped
	}
}
