package revision

import (
	"fmt"

	"mothrouter/internal/controlplane/configpb"
)

// Machine is the state after the entries applied so far.
type Machine struct {
	applied     uint64
	newest      uint64
	history     []*configpb.Revision // ascending, without gaps; the last is the newest
	bytes       int                  // of the documents in history
	requests    []appliedRequest     // oldest first, at most MaxRequests
	requestByID map[uint64]appliedRequest
}

type appliedRequest struct {
	request  uint64
	number   uint64
	checksum uint64
}

// NewMachine returns a machine without revisions.
func NewMachine() *Machine {
	return &Machine{requestByID: make(map[uint64]appliedRequest)}
}

// Applied returns the index of the last entry applied, 0 before the first.
func (m *Machine) Applied() uint64 { return m.applied }

// Number returns the number of the newest revision, 0 before the first.
func (m *Machine) Number() uint64 { return m.newest }

// Newest returns the newest revision, or nil before the first.
func (m *Machine) Newest() *configpb.Revision {
	if len(m.history) == 0 {
		return nil
	}
	return m.history[len(m.history)-1]
}

// Get returns the revision of a number, the newest for 0. It returns nil where there is none or it is no longer kept.
func (m *Machine) Get(number uint64) *configpb.Revision {
	if number == 0 {
		return m.Newest()
	}
	oldest := m.Oldest()
	if oldest == 0 || number < oldest || number > m.newest {
		return nil
	}
	return m.history[number-oldest]
}

// Oldest returns the number of the oldest revision that is kept, 0 where there is none.
func (m *Machine) Oldest() uint64 {
	if len(m.history) == 0 {
		return 0
	}
	return m.history[0].GetNumber()
}

// Apply applies the command of one entry. Indexes must ascend; that they have gaps is fine, since the log has entries
// of its own. A nil command stands for an entry that is none.
func (m *Machine) Apply(index uint64, command *configpb.Command) Result {
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

// Skip books an entry that holds no command. It panics where the index doesn't ascend: an entry applied twice would
// make this machine differ from the others.
func (m *Machine) Skip(index uint64) {
	if index <= m.applied {
		panic(fmt.Sprintf("revision: entry %d applied after entry %d", index, m.applied))
	}
	m.applied = index
}

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

func (m *Machine) resultOfRetry(before appliedRequest, checksum uint64) Result {
	if before.checksum != checksum {
		return Result{Rejection: RequestReused, Number: m.newest}
	}
	return Result{Number: before.number, Repeated: true}
}

func (m *Machine) append(revision *configpb.Revision) {
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

func (m *Machine) recordRequest(request appliedRequest) {
	m.requests = append(m.requests, request)
	m.requestByID[request.request] = request
	if len(m.requests) > MaxRequests {
		delete(m.requestByID, m.requests[0].request)
		m.requests = m.requests[1:]
	}
}
