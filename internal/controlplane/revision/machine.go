package revision

import (
	"fmt"

	"mothrouter/internal/controlplane/configpb"
)

// StateMachine holds the newest revisions and the recently accepted request ids, as of the last applied log entry.
type StateMachine struct {
	applied      uint64                    // index of the last applied entry, 0 before the first
	newest       uint64                    // number of the newest revision, 0 before the first
	history      []*configpb.Revision      // in ascending order without gaps; the last is the newest
	historyBytes int                       // total size of the documents in history
	requests     []appliedRequest          // oldest first, at most MaxRequests
	requestByID  map[uint64]appliedRequest // the same requests by id
}

// appliedRequest records an accepted request so that a retry of it can be recognized.
type appliedRequest struct {
	id       uint64
	revision uint64 // number of the revision created by the request
	checksum uint64 // of the revision's document
}

// NewStateMachine returns a state machine without revisions.
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

// Get returns the revision with the given number, or the newest one for 0. It returns nil if the revision is not in the
// history.
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

// Apply applies the command of the log entry at the given index. Indexes must increase and may have gaps, because raft adds
// entries of its own. A nil command represents an entry that could not be decoded. Apply panics if the index does not
// increase, like Skip.
func (m *StateMachine) Apply(index uint64, command *configpb.Command) Result {
	m.Skip(index)
	if rejection := checkCommand(command); rejection != Accepted {
		return Result{Rejection: rejection, Number: m.newest}
	}
	checksum := configpb.Checksum(command.GetDocument())
	if previous, found := m.requestByID[command.GetRequest()]; found {
		return m.resultOfRetry(previous, checksum)
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
	m.recordRequest(appliedRequest{id: command.GetRequest(), revision: m.newest, checksum: checksum})
	return Result{Number: m.newest}
}

// Skip records the index of an entry without a command. It panics if the index does not increase: applying an entry twice
// would make this replica diverge from the others.
func (m *StateMachine) Skip(index uint64) {
	if index <= m.applied {
		panic(fmt.Sprintf("revision: log entry %d applied after entry %d", index, m.applied))
	}
	m.applied = index
}

// checkCommand returns why a command is invalid regardless of the state, or Accepted.
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

// resultOfRetry returns the result of a command whose request id was accepted before.
func (m *StateMachine) resultOfRetry(previous appliedRequest, checksum uint64) Result {
	if previous.checksum != checksum {
		return Result{Rejection: RequestReused, Number: m.newest}
	}
	return Result{Number: previous.revision, Repeated: true}
}

// append appends a revision to the history and removes the oldest revisions beyond MaxHistory and MaxHistoryBytes, but never
// the newest. It panics unless the revision's number is that of the newest revision plus one.
func (m *StateMachine) append(revision *configpb.Revision) {
	if revision.GetNumber() != m.newest+1 {
		panic(fmt.Sprintf("revision: appended revision %d after revision %d", revision.GetNumber(), m.newest))
	}
	m.newest = revision.GetNumber()
	m.history = append(m.history, revision)
	m.historyBytes += len(revision.GetDocument())
	for len(m.history) > MaxHistory || m.historyBytes > MaxHistoryBytes && len(m.history) > 1 {
		m.historyBytes -= len(m.history[0].GetDocument())
		m.history[0] = nil
		m.history = m.history[1:]
	}
}

// recordRequest records an accepted request and removes the oldest one if there are more than MaxRequests.
func (m *StateMachine) recordRequest(request appliedRequest) {
	m.requests = append(m.requests, request)
	m.requestByID[request.id] = request
	if len(m.requests) > MaxRequests {
		delete(m.requestByID, m.requests[0].id)
		m.requests = m.requests[1:]
	}
}
