// Package consensus implements one member of the control machines' replicated log. It wraps the raft library
// go.etcd.io/raft/v3 and applies committed entries to the state machine of internal/controlplane/revision. It does no
// I/O, starts no goroutine and reads no clock. Its driver passes in the time and the messages received from other
// members, persists and sends what Ready returns, and then calls Advance:
//
//	node.Tick(now)                       // every Options.TickInterval
//	err := node.Step(message)            // for each message received
//	for ready := node.Ready(); ready != nil; ready = node.Ready() {
//		log.Save(ready.HardState, ready.Entries, ready.Snapshot)            // synced; on failure, stop the node
//		log.Compact(ready.Compaction.Snapshot, ready.Compaction.FirstIndex) // if Compaction is not nil
//		send(ready.Messages)                // only after Save; may be lost, duplicated and reordered
//		applied := node.Advance()           // revisions, and the results of proposals and reads
//	}
//
// # Members
//
// There are three voters in three regions and one learner, which operators call the spare. If the leader receives no
// message from a voter for Options.VoterTimeout, it promotes the learner and demotes the voter to learner in one joint
// configuration change. It does so only if it has recently heard from all other members, so that a quorum of both the
// old and the new configuration is available.
//
// # Reads and staleness
//
// Any member serves linearizable reads by ReadIndex, confirmed by a round of heartbeats (raft.ReadOnlySafe). Lease-based
// reads are not used because they depend on clocks. ConfirmedAge returns the age of the latest confirmed read index.
//
// # Clocks
//
// Safety does not depend on clocks. Liveness does: the members' clocks must run at the same rate within a few percent,
// so that heartbeats arrive within the election timeout. The times passed to a Node must come from a monotonic clock
// (time.Now of one process); Tick ignores a time before that of an earlier call.
//
// A Node is not safe for concurrent use.
package consensus
