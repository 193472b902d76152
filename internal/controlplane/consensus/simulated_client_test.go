package consensus

import (
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision"
)

// client publishes and reads, one operation after another. It retries a publication with the same request id until it has
// a response or has made maxAttempts attempts.
type client struct {
	simulation     *simulation
	id             int
	newestKnown    uint64 // highest revision number in a response
	leader         uint64 // id of the member that gets the first attempt of each publication
	operationCount uint64 // operations started
	inOperation    bool
}

const (
	maxAttempts    = 8
	attemptTimeout = 1500 * time.Millisecond
	documentMark   = '#' // first byte of each document, which faultCorruptDocument changes
)

// pendingOperation is an operation of a client that is in progress.
type pendingOperation struct {
	client   *client
	input    operation
	command  *configpb.Command // of a publication; nil for a read
	calledAt time.Duration     // since the start of the run
	attempts int               // number of attempts started
	finished bool
}

// addClient adds a client that starts its first operation within a second.
func (s *simulation) addClient(id int) {
	c := &client{simulation: s, id: id, leader: 1}
	s.clients = append(s.clients, c)
	s.after(s.between(0, time.Second), c.startOperation)
}

// startOperation starts a publication or a read.
func (c *client) startOperation() {
	if c.simulation.now >= clientsUntil {
		return
	}
	c.operationCount++
	c.inOperation = true
	p := &pendingOperation{client: c, calledAt: c.simulation.now}
	if c.simulation.chance(0.5) {
		p.input.publish = true
		if c.simulation.chance(0.4) {
			p.input.expected = c.newestKnown
		}
		document := fmt.Appendf(nil, "%c client %d operation %d", documentMark, c.id, c.operationCount)
		p.input.checksum = configpb.Checksum(document)
		p.command = &configpb.Command{
			Request:  uint64(c.id+1)<<32 | c.operationCount,
			Expected: p.input.expected,
			Document: document,
		}
	}
	p.send()
}

// send starts an attempt: it sends the operation to a member. After attemptTimeout it starts the next one.
func (p *pendingOperation) send() {
	if p.finished {
		return
	}
	s := p.client.simulation
	p.attempts++
	if p.attempts > maxAttempts {
		p.abandon()
		return
	}
	to := testMembers[s.random.IntN(len(testMembers))]
	if p.input.publish && p.attempts == 1 {
		to = p.client.leader
	}
	s.transmit(0, to, func() { p.process(s.members[to]) })
	attempt := p.attempts
	s.after(attemptTimeout, func() {
		if p.attempts == attempt {
			p.send()
		}
	})
}

// abandon ends an operation that has no response. A publication may have been applied or may still be applied.
func (p *pendingOperation) abandon() {
	if p.input.publish {
		p.record(operation{publish: true, unknown: true}, endAt+time.Second)
	}
	p.end()
}

// record appends the operation to the history. returnedAt is the time of its response.
func (p *pendingOperation) record(output operation, returnedAt time.Duration) {
	s := p.client.simulation
	s.checker.history = append(s.checker.history, porcupine.Operation{
		ClientId: p.client.id, Input: p.input, Output: output, Call: int64(p.calledAt), Return: int64(returnedAt),
	})
}

// end ends the operation and schedules the client's next one.
func (p *pendingOperation) end() {
	p.finished = true
	p.client.inOperation = false
	s := p.client.simulation
	s.after(s.between(50*time.Millisecond, 700*time.Millisecond), p.client.startOperation)
}

// process processes the operation on a member. If the member is paused, it does so after the pause.
func (p *pendingOperation) process(member *simulatedMember) {
	s := p.client.simulation
	if !member.up {
		return
	}
	if s.now < member.pausedUntil {
		s.at(member.pausedUntil, func() { p.process(member) })
		return
	}
	if p.input.publish {
		p.propose(member)
	} else {
		p.read(member)
	}
	s.startSave(member)
}

// propose proposes the publication on a member.
func (p *pendingOperation) propose(member *simulatedMember) {
	s := p.client.simulation
	command := p.command
	if s.fault == faultNewRequestID {
		command = &configpb.Command{
			Request: command.GetRequest() | uint64(p.attempts)<<24, Expected: command.GetExpected(),
			Document: command.GetDocument(),
		}
	}
	err := member.node.Propose(command)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != 0 {
		s.transmit(member.id, 0, func() { p.client.leader = notLeader.Leader })
	}
	if err != nil {
		return
	}
	if s.fault == faultAckBeforeCommit {
		p.acknowledge(member, revision.Result{Number: member.node.Machine().Number() + 1})
		return
	}
	member.publishWaiters[command.GetRequest()] = append(member.publishWaiters[command.GetRequest()],
		func(outcome ProposalOutcome) {
			if outcome.Err == nil {
				p.acknowledge(member, outcome.Result)
			}
		})
}

// acknowledge sends a member's response to the publication.
func (p *pendingOperation) acknowledge(member *simulatedMember, result revision.Result) {
	s := p.client.simulation
	if result.Rejection == revision.Accepted {
		s.checker.recordAcknowledgement(s.now, p.command.GetRequest(), result.Number, p.input.checksum)
	}
	s.transmit(member.id, 0, func() {
		if p.finished {
			return
		}
		p.client.newestKnown = max(p.client.newestKnown, result.Number)
		p.client.leader = member.id
		p.record(operation{
			publish: true, number: result.Number, rejected: result.Rejection == revision.NotNewest,
		}, s.now)
		p.end()
	})
}

// read reads the newest revision on a member.
func (p *pendingOperation) read(member *simulatedMember) {
	s := p.client.simulation
	respond := func() {
		machine := member.node.Machine()
		output := operation{number: machine.Number(), checksum: machine.Newest().GetChecksum()}
		s.transmit(member.id, 0, func() {
			if p.finished {
				return
			}
			s.stats.reads++
			p.client.newestKnown = max(p.client.newestKnown, output.number)
			p.record(output, s.now)
			p.end()
		})
	}
	if s.fault == faultStaleRead {
		respond()
		return
	}
	member.lastReadID++
	if err := member.node.Read(member.lastReadID); err != nil {
		return
	}
	member.readWaiters[member.lastReadID] = func(outcome ReadOutcome) {
		if outcome.Err == nil {
			respond()
		}
	}
}
