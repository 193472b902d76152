package revision

import (
	"fmt"

	"mothrouter/internal/controlplane/configpb"
)

// StateMachine is the state after the applied entries.
type StateMachine struct {
	applied     uint64                    // index of the last applied entry, 0 before the first
	newest      uint64                    // number of the newest revision, 0 before the first
	history     []*configpb.Revision      // ascending, without gaps; the last is the newest
	bytes       int                       // of the documents in history
	requests    []appliedRequest          // oldest first, at most MaxRequests
	requestByID map[uint64]appliedRequest // the same requests by id
}

// appliedRequest is an accepted request, by which a retry is recognised.
type appliedRequest struct {
	request  uint64 // id
	number   uint64 // of the revision that it became
	checksum uint64 // of its document
}

// NewStateMachine returns a machine without revisions.
func NewStateMachine() *StateMachine {
	return &StateMachine{requestByID: make(map[uint64]appliedRequest)}
}

// Applied returns the index of the last entry applied, 0 before the first.
func (m *StateMachine) Applied() uint64 { return m.applied }

// Number returns the number of the newest revision, 0 before the first.
func (m *StateMachine) Number() uint64 { return m.newest }

// Newest returns the newest revision, or nil before the first.
func (m *StateMachine) Newest() *configpb.Revision {
	if len(m.history) == 0 {
		return nil
	}
	return m.history[len(m.history)-1]
}

// Get returns the revision with a number, the newest for 0. It returns nil if the history does not have it.
func (m *StateMachine) Get(number uint64) *configpb.Revision {
	if number == 0 {
		return m.Newest()
	}
	oldest := m.Oldest()
	if oldest == 0 || number < oldest || number > m.newest {
		return nil
	}
	return m.history[number-oldest]
}

// Oldest returns the number of the oldest revision in the history, 0 if it is empty.
func (m *StateMachine) Oldest() uint64 {
	if len(m.history) == 0 {
		return 0
	}
	return m.history[0].GetNumber()
}

// Apply applies the command of the entry at an index. Indexes have to ascend and may have gaps, since raft has entries of
// its own. A nil command stands for an entry that does not decode. It panics like Skip.
func (m *StateMachine) Apply(index uint64, command *configpb.Command) Result {
	m.Skip(index)
	if rejection := checkCommand(command); rejection != Accepted {
		return Result{Rejection: rejection, Number: m.newest}
	}
	checksum := configpb.Checksum(command.GetDocument())
	if before, found := m.requestByID[command.GetRequest()]; found {
		return m.resultOfRetry(before, checksum)
	}
	if expected := command.GetExpected(); expected != 0 && expected != m.newest {
		return Result{Rejection: NotNewest, Number: m.newest}
	}
	m.append(&configpb.Revision{
		Number:          m.newest + 1,
		Checksum:        checksum,
		Document:        command.GetDocument(),
		PublishedUnixMs: command.GetPublishedUnixMs(),
	})
	m.recordRequest(appliedRequest{request: command.GetRequest(), number: m.newest, checksum: checksum})
	return Result{Number: m.newest}
}

// Skip records the index of an entry without a command. It panics if the index does not ascend: an entry applied twice
// would make this machine diverge from the others.
func (m *StateMachine) Skip(index uint64) {
	if index <= m.applied {
		panic(fmt.Sprintf("revision: entry %d applied after entry %d", index, m.applied))
	}
	m.applied = index
}

// checkCommand returns the rejection of a command that is invalid in any state, or Accepted.
func checkCommand(command *configpb.Command) Rejection {
	switch {
	case command == nil:
		return Undecodable
	case command.GetRequest() == 0:
		return NoRequest
	case len(command.GetDocument()) == 0:
		return NoDocument
	case len(command.GetDocument()) > MaxDocumentBytes:
		return Oversized
	}
	return Accepted
}

// resultOfRetry returns the result of a request id that was accepted before.
func (m *StateMachine) resultOfRetry(before appliedRequest, checksum uint64) Result {
	if before.checksum != checksum {
		return Result{Rejection: RequestReused, Number: m.newest}
	}
	return Result{Number: before.number, Repeated: true}
}

// append appends a revision to the history and removes the oldest ones beyond MaxHistory and MaxHistoryBytes, but never the
// newest. It panics if the number does not follow the newest one.
func (m *StateMachine) append(revision *configpb.Revision) {
	if revision.GetNumber() != m.newest+1 {
		panic(fmt.Sprintf("revision: number %d follows %d", revision.GetNumber(), m.newest))
	}
	m.newest = revision.GetNumber()
	m.history = append(m.history, revision)
	m.bytes += len(revision.GetDocument())
	for len(m.history) > MaxHistory || m.bytes > MaxHistoryBytes && len(m.history) > 1 {
		m.bytes -= len(m.history[0].GetDocument())
		m.history[0] = nil
		m.history = m.history[1:]
	}
}

// recordRequest records an accepted request and removes the oldest one beyond MaxRequests.
func (m *StateMachine) recordRequest(request appliedRequest) {
	m.requests = append(m.requests, request)
	m.requestByID[request.request] = request
	if len(m.requests) > MaxRequests {
		delete(m.requestByID, m.requests[0].request)
		m.requests = m.requests[1:]
	}
}
