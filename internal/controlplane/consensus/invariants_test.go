package consensus

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision"
)

// fault is one that is planted in the simulation to show that a checker sees it.
type fault int

const (
	noFault                fault = iota
	faultAckBeforeCommit         // a publication is acknowledged once it is proposed
	faultSaveSkipped             // a crash loses the last saves
	faultVoteForgotten           // a restart forgets the vote
	faultCommitForgotten         // a restart forgets what is committed
	faultStaleRead               // a read is answered without ReadIndex
	faultContent                 // a disk changes what it stores
	faultRevisionSkipped         // a member loses a revision on its way to the brokers
	faultNewRequest              // a publication sent again gets another request id
	faultHeartbeatsConfirm       // staleness is taken from the messages of the leader
	faultNeverHeals              // a member stays cut off
	faultCount
)

// invariant names what a checker found broken.
type invariant string

const (
	sameContent    invariant = "two contents of one number"
	noGap          invariant = "gap in the numbers"
	durable        invariant = "an acknowledged publication is lost"
	idempotent     invariant = "two numbers of one request"
	monotonic      invariant = "a member went back"
	linearizable   invariant = "history is not linearizable"
	convergent     invariant = "no agreement after the heal"
	confirmedFresh invariant = "confirmed is too small"
	singleLeader   invariant = "two leaders in a term"
	accepting      invariant = "a member refused an honest message or stopped"
)

type violation struct {
	invariant invariant
	what      string
}

// acknowledgement is a publication that a member has acknowledged.
type acknowledgement struct {
	acknowledgedAt time.Duration // of the simulation
	highest        uint64        // number acknowledged so far
	number         uint64
	checksum       uint64
}

// invariantChecker watches a simulation.
type invariantChecker struct {
	violations       []violation
	contents         map[uint64]uint64 // checksum by number
	lastNumber       map[uint64]uint64 // told to brokers, by member
	lastApplied      map[uint64]uint64 // by member
	numbers          map[uint64]uint64 // by request
	leaders          map[uint64]uint64 // by term
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

const maxViolations = 64

func (c *invariantChecker) addViolation(broken invariant, format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, violation{invariant: broken, what: fmt.Sprintf(format, arguments...)})
	}
}

func (c *invariantChecker) found(broken invariant) bool {
	for _, violation := range c.violations {
		if violation.invariant == broken {
			return true
		}
	}
	return false
}

// checkRestarted checks a member that has been made anew from its disk.
func (c *invariantChecker) checkRestarted(id uint64, machine *revision.Machine) {
	c.checkApplied(id, machine)
	c.checkHistory(id, machine)
	c.lastNumber[id] = machine.Number()
}

func (c *invariantChecker) checkApplied(id uint64, machine *revision.Machine) {
	if machine.Applied() < c.lastApplied[id] {
		c.addViolation(monotonic, "member %d applied %d after %d", id, machine.Applied(), c.lastApplied[id])
	}
	c.lastApplied[id] = machine.Applied()
}

func (c *invariantChecker) checkHistory(id uint64, machine *revision.Machine) {
	for number := max(machine.Oldest(), 1); number <= machine.Number(); number++ {
		c.checkContent(id, machine.Get(number))
	}
}

func (c *invariantChecker) checkContent(id uint64, found *configpb.Revision) {
	number, sum := found.GetNumber(), configpb.Checksum(found.GetDocument())
	known, seen := c.contents[number]
	if seen && known != sum || sum != found.GetChecksum() {
		c.addViolation(sameContent, "member %d has %x as revision %d, not %x", id, sum, number, known)
	}
	c.contents[number] = sum
}

// checkAdvance checks what an Advance of a member has brought.
func (c *invariantChecker) checkAdvance(id uint64, applied Applied, machine *revision.Machine) {
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
		c.addViolation(noGap, "member %d told %d, has %d", id, c.lastNumber[id], machine.Number())
	}
}

func (c *invariantChecker) checkLeader(id, term uint64) {
	if other, found := c.leaders[term]; found && other != id {
		c.addViolation(singleLeader, "members %d and %d lead in term %d", other, id, term)
	}
	c.leaders[term] = id
}

// recordAcknowledgement books the acknowledgement of a publication.
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

// checkConfirmed checks that a member has all that was acknowledged up to a time.
func (c *invariantChecker) checkConfirmed(id uint64, upTo time.Duration, number uint64) {
	after := sort.Search(len(c.acknowledgements), func(i int) bool { return c.acknowledgements[i].acknowledgedAt > upTo })
	if after == 0 {
		return
	}
	if highest := c.acknowledgements[after-1].highest; number < highest {
		c.addViolation(confirmedFresh, "member %d has %d, confirmed at %v, when %d was acknowledged", id, number, upTo, highest)
	}
}

// finish checks the end: nothing acknowledged is lost, and the history is linearizable.
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

// historyTimeout bounds the search of porcupine, in real time. A history that isn't decided by then counts as broken.
const historyTimeout = 20 * time.Second

// operation is what a client asked for, or what it was told.
type operation struct {
	publish  bool
	expected uint64 // of a publication
	checksum uint64 // of the document published, or of the newest read
	number   uint64 // of the revision published, or of the newest read
	rejected bool   // expected was not the newest
	unknown  bool   // the client gave up
}

// newest is the state of the model: number and checksum of the newest revision.
type newest struct {
	number   uint64
	checksum uint64
}

var revisionsModel = porcupine.Model{
	Init:              func() any { return newest{} },
	Step:              applyOperation,
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

func applyOperation(state, input, output any) (bool, any) {
	before, asked, told := state.(newest), input.(operation), output.(operation)
	if !asked.publish {
		return told.number == before.number && told.checksum == before.checksum, before
	}
	fits := asked.expected == 0 || asked.expected == before.number
	after := newest{number: before.number + 1, checksum: asked.checksum}
	switch {
	case told.unknown && fits:
		return true, after
	case told.unknown:
		return true, before
	case told.rejected:
		return !fits, before
	}
	return fits && told.number == after.number, after
}
