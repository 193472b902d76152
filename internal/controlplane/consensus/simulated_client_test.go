package consensus

import (
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision"
)

// client publishes and reads, one operation after another. It sends a publication again under the same request id
// until it has an answer or has tried maxAttempts times.
type client struct {
	s              *simulation
	id             int
	newestKnown    uint64 // newest number by its knowledge
	leader         uint64 // where it sends publications
	operationCount uint64 // count
	inOperation    bool
}

const (
	maxAttempts    = 8
	attemptTimeout = 1500 * time.Millisecond
	documentMark   = '#' // faultContent changes it
)

// attempt is one operation in progress.
type attempt struct {
	client   *client
	input    operation
	command  *configpb.Command // of a publication
	calledAt time.Duration
	attempts int
	finished bool
}

func (s *simulation) addClient(id int) {
	c := &client{s: s, id: id, leader: 1}
	s.clients = append(s.clients, c)
	s.after(s.between(0, time.Second), c.next)
}

// next starts an operation.
func (c *client) next() {
	if c.s.now >= clientsUntil {
		return
	}
	c.operationCount++
	c.inOperation = true
	a := &attempt{client: c, calledAt: c.s.now}
	if c.s.chance(0.5) {
		a.input.publish = true
		if c.s.chance(0.4) {
			a.input.expected = c.newestKnown
		}
		document := fmt.Appendf(nil, "%c client %d operation %d", documentMark, c.id, c.operationCount)
		a.input.checksum = configpb.Checksum(document)
		a.command = &configpb.Command{
			Request:  uint64(c.id+1)<<32 | c.operationCount,
			Expected: a.input.expected,
			Document: document,
		}
	}
	a.try()
}

// try sends the operation to a member, and again where no answer comes.
func (a *attempt) try() {
	if a.finished {
		return
	}
	s := a.client.s
	a.attempts++
	if a.attempts > maxAttempts {
		a.abandon()
		return
	}
	to := testMembers[s.random.IntN(len(testMembers))]
	if a.input.publish && a.attempts == 1 {
		to = a.client.leader
	}
	s.transmit(0, to, func() { a.arrive(s.members[to]) })
	tries := a.attempts
	s.after(attemptTimeout, func() {
		if a.attempts == tries {
			a.try()
		}
	})
}

// abandon ends an operation without an answer. A publication may have taken effect, now or later.
func (a *attempt) abandon() {
	if a.input.publish {
		a.record(operation{publish: true, unknown: true}, endAt+time.Second)
	}
	a.end()
}

func (a *attempt) record(told operation, at time.Duration) {
	s := a.client.s
	s.checker.history = append(s.checker.history, porcupine.Operation{
		ClientId: a.client.id, Input: a.input, Output: told, Call: int64(a.calledAt), Return: int64(at),
	})
}

func (a *attempt) end() {
	a.finished = true
	a.client.inOperation = false
	s := a.client.s
	s.after(s.between(50*time.Millisecond, 700*time.Millisecond), a.client.next)
}

// arrive is the operation at a member.
func (a *attempt) arrive(m *simulatedMember) {
	s := a.client.s
	if !m.up {
		return
	}
	if s.now < m.pausedUntil {
		s.at(m.pausedUntil, func() { a.arrive(m) })
		return
	}
	if a.input.publish {
		a.propose(m)
	} else {
		a.readAt(m)
	}
	s.startSave(m)
}

// propose is what a member does with a publication.
func (a *attempt) propose(m *simulatedMember) {
	s := a.client.s
	command := a.command
	if s.fault == faultNewRequest {
		command = &configpb.Command{
			Request: command.GetRequest() | uint64(a.attempts)<<24, Expected: command.GetExpected(),
			Document: command.GetDocument(),
		}
	}
	err := m.node.Propose(command)
	var elsewhere *NotLeaderError
	if errors.As(err, &elsewhere) && elsewhere.Leader != 0 {
		s.transmit(m.id, 0, func() { a.client.leader = elsewhere.Leader })
	}
	if err != nil {
		return
	}
	if s.fault == faultAckBeforeCommit {
		a.acknowledge(m, revision.Result{Number: m.node.Machine().Number() + 1})
		return
	}
	m.publish[command.GetRequest()] = append(m.publish[command.GetRequest()], func(outcome ProposalOutcome) {
		if outcome.Err == nil {
			a.acknowledge(m, outcome.Result)
		}
	})
}

// acknowledge answers a publication from a member.
func (a *attempt) acknowledge(m *simulatedMember, result revision.Result) {
	s := a.client.s
	if result.Rejection == revision.Accepted {
		s.checker.recordAcknowledgement(s.now, a.command.GetRequest(), result.Number, a.input.checksum)
	}
	s.transmit(m.id, 0, func() {
		if a.finished {
			return
		}
		a.client.newestKnown = max(a.client.newestKnown, result.Number)
		a.client.leader = m.id
		a.record(operation{
			publish: true, number: result.Number, rejected: result.Rejection == revision.NotNewest,
		}, s.now)
		a.end()
	})
}

// readAt is what a member does with a read.
func (a *attempt) readAt(m *simulatedMember) {
	s := a.client.s
	answer := func() {
		machine := m.node.Machine()
		told := operation{number: machine.Number(), checksum: machine.Newest().GetChecksum()}
		s.transmit(m.id, 0, func() {
			if a.finished {
				return
			}
			s.stats.reads++
			a.client.newestKnown = max(a.client.newestKnown, told.number)
			a.record(told, s.now)
			a.end()
		})
	}
	if s.fault == faultStaleRead {
		answer()
		return
	}
	m.readID++
	if err := m.node.Read(m.readID); err != nil {
		return
	}
	m.read[m.readID] = func(outcome ReadOutcome) {
		if outcome.Err == nil {
			answer()
		}
	}
}
