package consensus

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision"
)

// fault is a fault injected into the simulation to prove that an invariant detects it.
type fault int

const (
	noFault                  fault = iota
	faultAckBeforeCommit           // a publication is acknowledged when it is proposed
	faultLostSaves                 // a crash loses the latest saves
	faultLostVote                  // a restart loses the stored vote
	faultLostCommitIndex           // a restart loses the stored commit index
	faultStaleRead                 // a read is answered without a ReadIndex round
	faultCorruptDocument           // a disk changes the documents that it stores
	faultSkippedRevision           // a member does not return a newly applied revision
	faultNewRequestID              // a retry of a publication has a different request id
	faultHeartbeatsConfirm         // ConfirmedAge is the time since the last message from the leader
	faultPartitionNeverHeals       // a member stays partitioned until the end of the run
	faultCount
)

// invariant is a property of every run. Its value describes a violation.
type invariant string

const (
	sameDocument    invariant = "two documents with the same revision number"
	noGap           invariant = "gap between revision numbers"
	durable         invariant = "an acknowledged publication is lost"
	idempotent      invariant = "two revision numbers for the same request"
	monotonic       invariant = "applied index or newest revision decreased"
	linearizable    invariant = "history is not linearizable"
	convergent      invariant = "members differ after all faults ended"
	confirmedFresh  invariant = "ConfirmedAge too small"
	singleLeader    invariant = "two leaders in a term"
	noMemberFailure invariant = "a member rejected a valid message, stopped or failed to start"
)

// violation is a violated invariant and its details.
type violation struct {
	invariant invariant
	details   string
}

// acknowledgement is a publication that a member has acknowledged.
type acknowledgement struct {
	acknowledgedAt time.Duration // since the start of the run
	highest        uint64        // highest revision number acknowledged until then
	number         uint64        // of the revision
	checksum       uint64        // of the document
}

// invariantChecker checks the invariants during and after a run.
type invariantChecker struct {
	violations       []violation
	documents        map[uint64]uint64 // checksum of the document, by revision number
	lastNumber       map[uint64]uint64 // number of the latest revision returned by Advance, by member
	lastApplied      map[uint64]uint64 // applied index, by member
	numbers          map[uint64]uint64 // revision number, by request id
	leaders          map[uint64]uint64 // member id of the leader, by term
	acknowledgements []acknowledgement
	history          []porcupine.Operation
}

func newChecker() *invariantChecker {
	return &invariantChecker{
		documents:   make(map[uint64]uint64),
		lastNumber:  make(map[uint64]uint64),
		lastApplied: make(map[uint64]uint64),
		numbers:     make(map[uint64]uint64),
		leaders:     make(map[uint64]uint64),
	}
}

// maxViolations is the maximum number of violations recorded in a run.
const maxViolations = 64

// addViolation records a violation, unless maxViolations are recorded.
func (c *invariantChecker) addViolation(violated invariant, format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, violation{invariant: violated, details: fmt.Sprintf(format, arguments...)})
	}
}

// isViolated reports whether a violation of an invariant is recorded.
func (c *invariantChecker) isViolated(violated invariant) bool {
	for _, violation := range c.violations {
		if violation.invariant == violated {
			return true
		}
	}
	return false
}

// checkRestarted checks a member that was restarted from its disk.
func (c *invariantChecker) checkRestarted(id uint64, machine *revision.StateMachine) {
	c.checkApplied(id, machine)
	c.checkDocuments(id, machine)
	c.lastNumber[id] = machine.Number()
}

// checkApplied checks that the applied index does not decrease.
func (c *invariantChecker) checkApplied(id uint64, machine *revision.StateMachine) {
	if machine.Applied() < c.lastApplied[id] {
		c.addViolation(monotonic, "member %d: applied index %d after %d", id, machine.Applied(), c.lastApplied[id])
	}
	c.lastApplied[id] = machine.Applied()
}

// checkDocuments checks the documents of all revisions of a member.
func (c *invariantChecker) checkDocuments(id uint64, machine *revision.StateMachine) {
	for number := max(machine.Oldest(), 1); number <= machine.Number(); number++ {
		c.checkDocument(id, machine.Get(number))
	}
}

// checkDocument checks that a revision has the same document on all members and the right checksum.
func (c *invariantChecker) checkDocument(id uint64, applied *configpb.Revision) {
	number, checksum := applied.GetNumber(), configpb.Checksum(applied.GetDocument())
	known, found := c.documents[number]
	if found && known != checksum || checksum != applied.GetChecksum() {
		c.addViolation(sameDocument, "member %d: document of revision %d has checksum %x, stated %x, first seen %x", id, number,
			checksum, applied.GetChecksum(), known)
	}
	c.documents[number] = checksum
}

// checkAdvance checks the result of a call of Advance.
func (c *invariantChecker) checkAdvance(id uint64, applied Applied, machine *revision.StateMachine) {
	c.checkApplied(id, machine)
	if applied.Restored {
		c.checkDocuments(id, machine)
		c.lastNumber[id] = machine.Number() - uint64(len(applied.Revisions))
	}
	for _, returned := range applied.Revisions {
		if returned.GetNumber() != c.lastNumber[id]+1 {
			c.addViolation(noGap, "member %d: revision %d follows %d", id, returned.GetNumber(), c.lastNumber[id])
		}
		c.lastNumber[id] = returned.GetNumber()
		c.checkDocument(id, returned)
	}
	if c.lastNumber[id] != machine.Number() {
		c.addViolation(noGap, "member %d: last returned revision is %d, newest revision is %d", id, c.lastNumber[id],
			machine.Number())
	}
}

// checkLeader checks that a term has at most one leader.
func (c *invariantChecker) checkLeader(id, term uint64) {
	if other, found := c.leaders[term]; found && other != id {
		c.addViolation(singleLeader, "members %d and %d are both leader in term %d", other, id, term)
	}
	c.leaders[term] = id
}

// recordAcknowledgement records the acknowledgement of a publication, and checks that a request has only one revision
// number.
func (c *invariantChecker) recordAcknowledgement(at time.Duration, request, number, checksum uint64) {
	if known, found := c.numbers[request]; found && known != number {
		c.addViolation(idempotent, "request %x has revision numbers %d and %d", request, known, number)
	}
	c.numbers[request] = number
	highest := number
	if count := len(c.acknowledgements); count > 0 {
		highest = max(highest, c.acknowledgements[count-1].highest)
	}
	c.acknowledgements = append(c.acknowledgements, acknowledgement{
		acknowledgedAt: at, highest: highest, number: number, checksum: checksum,
	})
}

// checkConfirmed checks that a member whose newest revision is number has all revisions acknowledged until upTo.
func (c *invariantChecker) checkConfirmed(id uint64, upTo time.Duration, number uint64) {
	after := sort.Search(len(c.acknowledgements), func(i int) bool { return c.acknowledgements[i].acknowledgedAt > upTo })
	if after == 0 {
		return
	}
	if highest := c.acknowledgements[after-1].highest; number < highest {
		c.addViolation(confirmedFresh, "member %d: newest revision is %d, but revision %d was acknowledged by the confirmed time %v",
			id, number, highest, upTo)
	}
}

// finish checks at the end of a run that no acknowledged revision is lost and that the history is linearizable.
func (c *invariantChecker) finish(members map[uint64]*simulatedMember) {
	for _, acknowledged := range c.acknowledgements {
		for id, member := range members {
			stored := member.node.Machine().Get(acknowledged.number)
			if stored.GetChecksum() != acknowledged.checksum {
				c.addViolation(durable, "member %d: revision %d has checksum %x, the acknowledged one has %x", id, acknowledged.number,
					stored.GetChecksum(), acknowledged.checksum)
			}
		}
	}
	if result := porcupine.CheckOperationsTimeout(revisionsModel, c.history, historyTimeout); result != porcupine.Ok {
		c.addViolation(linearizable, "porcupine's result for %d operations is %v, want %v", len(c.history), result, porcupine.Ok)
	}
}
