// Package consensus is one member of the control machines' replicated log: raft by go.etcd.io/raft/v3, which applies
// its committed entries to the state machine of internal/controlplane/revision. It does no I/O, starts no goroutine and
// reads no clock. Its driver passes in the time and the messages received from other members, persists and sends what
// Ready returns, and then calls Advance:
//
//	node.Tick(now)                       // every Options.TickInterval
//	err := node.Step(message)            // for each message received
//	for ready := node.Ready(); ready != nil; ready = node.Ready() {
//		log.Save(ready.HardState, ready.Entries, ready.Snapshot)            // synced; stop the node if it fails
//		log.Compact(ready.Compaction.Snapshot, ready.Compaction.FirstIndex) // unless Compaction is nil
//		send(ready.Messages)                // only after Save; may be lost, duplicated and reordered
//		applied := node.Advance()           // revisions, and the results of proposals and reads
//	}
//
// # Members
//
// There are three voters in three regions and one learner, which operators call the spare. If a voter is silent for
// Options.VoterTimeout, the leader promotes the learner and demotes the voter to learner in one joint configuration
// change. It does so only while it has recent contact with all other members, so that a quorum of the old and of the
// new configuration is available.
//
// # Reads and staleness
//
// Any member serves linearizable reads by ReadIndex, confirmed by a round of heartbeats (raft.ReadOnlySafe). Lease-based
// reads are not used, since they depend on clocks. ConfirmedAge returns the age of the latest confirmed read index.
//
// # Clocks
//
// Safety does not depend on clocks. Liveness does: the clocks of the members have to run at the same rate within a few
// percent, so that heartbeats arrive within the election timeout. Times passed in have to come from a monotonic clock
// (time.Now of one process); a time before an earlier one is ignored.
//
// A Node is not safe for concurrent use.
package consensus
