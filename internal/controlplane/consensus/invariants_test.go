package consensus

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision"
)

// fault is a fault planted in the simulation to prove that an invariant detects it.
type fault int

const (
	noFault                fault = iota
	faultAckBeforeCommit         // a publication is acknowledged when it is proposed
	faultSaveSkipped             // a crash loses the last saves
	faultVoteForgotten           // a restart forgets the vote
	faultCommitForgotten         // a restart forgets the commit index
	faultStaleRead               // a read is answered without ReadIndex
	faultContent                 // a disk changes what it stores
	faultRevisionSkipped         // a member drops a newly applied revision
	faultNewRequest              // a retried publication has another request id
	faultHeartbeatsConfirm       // ConfirmedAge is the time since the last message of the leader
	faultNeverHeals              // a member stays partitioned
	faultCount
)

// invariant is a property of every run, named by its violation.
type invariant string

// The invariants.
const (
	sameContent    invariant = "two documents of one number"
	noGap          invariant = "gap between revision numbers"
	durable        invariant = "an acknowledged publication is lost"
	idempotent     invariant = "two numbers of one request"
	monotonic      invariant = "applied index or newest revision decreased"
	linearizable   invariant = "history is not linearizable"
	convergent     invariant = "members differ after the partitions healed"
	confirmedFresh invariant = "ConfirmedAge too small"
	singleLeader   invariant = "two leaders in a term"
	accepting      invariant = "a member rejected a valid message or stopped"
)

// violation is a violated invariant and its details.
type violation struct {
	invariant invariant
	details   string
}

// acknowledgement is a publication that a member has acknowledged.
type acknowledgement struct {
	acknowledgedAt time.Duration // since the start of the run
	highest        uint64        // number acknowledged until then
	number         uint64
	checksum       uint64
}

// invariantChecker checks the invariants of a run.
type invariantChecker struct {
	violations       []violation
	contents         map[uint64]uint64 // checksum by number
	lastNumber       map[uint64]uint64 // of the revisions returned by Advance, by member
	lastApplied      map[uint64]uint64 // index, by member
	numbers          map[uint64]uint64 // of revisions, by request id
	leaders          map[uint64]uint64 // id, by term
	acknowledgements []acknowledgement
	history          []porcupine.Operation
}

func newChecker() *invariantChecker {
	return &invariantChecker{
		contents:    make(map[uint64]uint64),
		lastNumber:  make(map[uint64]uint64),
		lastApplied: make(map[uint64]uint64),
		numbers:     make(map[uint64]uint64),
		leaders:     make(map[uint64]uint64),
	}
}

// maxViolations bounds the violations kept of a run.
const maxViolations = 64

func (c *invariantChecker) addViolation(violated invariant, format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, violation{invariant: violated, details: fmt.Sprintf(format, arguments...)})
	}
}

// found reports whether an invariant was violated.
func (c *invariantChecker) found(violated invariant) bool {
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
	c.checkHistory(id, machine)
	c.lastNumber[id] = machine.Number()
}

// checkApplied checks that the applied index does not decrease.
func (c *invariantChecker) checkApplied(id uint64, machine *revision.StateMachine) {
	if machine.Applied() < c.lastApplied[id] {
		c.addViolation(monotonic, "member %d applied %d after %d", id, machine.Applied(), c.lastApplied[id])
	}
	c.lastApplied[id] = machine.Applied()
}

// checkHistory checks the contents of all revisions of a member.
func (c *invariantChecker) checkHistory(id uint64, machine *revision.StateMachine) {
	for number := max(machine.Oldest(), 1); number <= machine.Number(); number++ {
		c.checkContent(id, machine.Get(number))
	}
}

// checkContent checks that a revision has the same document at all members.
func (c *invariantChecker) checkContent(id uint64, applied *configpb.Revision) {
	number, sum := applied.GetNumber(), configpb.Checksum(applied.GetDocument())
	known, found := c.contents[number]
	if found && known != sum || sum != applied.GetChecksum() {
		c.addViolation(sameContent, "member %d has %x as revision %d, not %x", id, sum, number, known)
	}
	c.contents[number] = sum
}

// checkAdvance checks the result of an Advance.
func (c *invariantChecker) checkAdvance(id uint64, applied Applied, machine *revision.StateMachine) {
	c.checkApplied(id, machine)
	if applied.Restored {
		c.checkHistory(id, machine)
		c.lastNumber[id] = machine.Number() - uint64(len(applied.Revisions))
	}
	for _, found := range applied.Revisions {
		if found.GetNumber() != c.lastNumber[id]+1 {
			c.addViolation(noGap, "member %d: revision %d follows %d", id, found.GetNumber(), c.lastNumber[id])
		}
		c.lastNumber[id] = found.GetNumber()
		c.checkContent(id, found)
	}
	if c.lastNumber[id] != machine.Number() {
		c.addViolation(noGap, "member %d returned revision %d, its newest is %d", id, c.lastNumber[id], machine.Number())
	}
}

// checkLeader checks that a term has one leader.
func (c *invariantChecker) checkLeader(id, term uint64) {
	if other, found := c.leaders[term]; found && other != id {
		c.addViolation(singleLeader, "members %d and %d lead in term %d", other, id, term)
	}
	c.leaders[term] = id
}

// recordAcknowledgement records the acknowledgement of a publication, and checks that a request has one number.
func (c *invariantChecker) recordAcknowledgement(at time.Duration, request, number, checksum uint64) {
	if known, found := c.numbers[request]; found && known != number {
		c.addViolation(idempotent, "request %x has numbers %d and %d", request, known, number)
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

// checkConfirmed checks that a member has all revisions acknowledged until a time.
func (c *invariantChecker) checkConfirmed(id uint64, upTo time.Duration, number uint64) {
	after := sort.Search(len(c.acknowledgements), func(i int) bool { return c.acknowledgements[i].acknowledgedAt > upTo })
	if after == 0 {
		return
	}
	if highest := c.acknowledgements[after-1].highest; number < highest {
		c.addViolation(confirmedFresh, "member %d has revision %d, confirmed at %v, when revision %d was acknowledged", id, number, upTo, highest)
	}
}

// finish checks the end of a run: no acknowledged revision is lost, and the history is linearizable.
func (c *invariantChecker) finish(members map[uint64]*simulatedMember) {
	for _, acknowledged := range c.acknowledgements {
		for id, member := range members {
			found := member.node.Machine().Get(acknowledged.number)
			if found.GetChecksum() != acknowledged.checksum {
				c.addViolation(durable, "member %d has %x as revision %d, acknowledged was %x", id, found.GetChecksum(),
					acknowledged.number, acknowledged.checksum)
			}
		}
	}
	if result := porcupine.CheckOperationsTimeout(revisionsModel, c.history, historyTimeout); result != porcupine.Ok {
		c.addViolation(linearizable, "%d operations: %v", len(c.history), result)
	}
}
