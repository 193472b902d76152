package consensus

import (
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision"
)

// client publishes and reads, one operation after another. It retries a publication under the same request id until it
// has a response or made maxAttempts attempts.
type client struct {
	s              *simulation
	id             int
	newestKnown    uint64 // newest revision number it has seen
	leader         uint64 // id of the member that it sends publications to first
	operationCount uint64 // operations started
	inOperation    bool
}

const (
	maxAttempts    = 8
	attemptTimeout = 1500 * time.Millisecond
	documentMark   = '#' // first byte of each document; faultContent changes it
)

// attempt is an operation in progress.
type attempt struct {
	client   *client
	input    operation
	command  *configpb.Command // of a publication, else nil
	calledAt time.Duration
	attempts int
	finished bool
}

// addClient adds a client that starts within a second.
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

// try sends the operation to a member, and to another one after attemptTimeout.
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

// abandon ends an operation without a response. A publication may be applied, now or later.
func (a *attempt) abandon() {
	if a.input.publish {
		a.record(operation{publish: true, unknown: true}, endAt+time.Second)
	}
	a.end()
}

// record appends the operation to the history.
func (a *attempt) record(output operation, at time.Duration) {
	s := a.client.s
	s.checker.history = append(s.checker.history, porcupine.Operation{
		ClientId: a.client.id, Input: a.input, Output: output, Call: int64(a.calledAt), Return: int64(at),
	})
}

// end ends the operation and schedules the client's next one.
func (a *attempt) end() {
	a.finished = true
	a.client.inOperation = false
	s := a.client.s
	s.after(s.between(50*time.Millisecond, 700*time.Millisecond), a.client.next)
}

// arrive processes the operation at a member.
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

// propose proposes a publication at a member.
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
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != 0 {
		s.transmit(m.id, 0, func() { a.client.leader = notLeader.Leader })
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

// acknowledge sends the response to a publication from a member.
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

// readAt reads the newest revision at a member.
func (a *attempt) readAt(m *simulatedMember) {
	s := a.client.s
	respond := func() {
		machine := m.node.Machine()
		output := operation{number: machine.Number(), checksum: machine.Newest().GetChecksum()}
		s.transmit(m.id, 0, func() {
			if a.finished {
				return
			}
			s.stats.reads++
			a.client.newestKnown = max(a.client.newestKnown, output.number)
			a.record(output, s.now)
			a.end()
		})
	}
	if s.fault == faultStaleRead {
		respond()
		return
	}
	m.readID++
	if err := m.node.Read(m.readID); err != nil {
		return
	}
	m.read[m.readID] = func(outcome ReadOutcome) {
		if outcome.Err == nil {
			respond()
		}
	}
}
