package revision

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision/revisionpb"
)

// A snapshot is a header of 28 bytes and a revisionpb.State:
//
//	8 bytes  magic
//	4 bytes  version, big endian like all that follow
//	8 bytes  length of the state
//	8 bytes  xxhash of the state
const (
	snapshotMagic   = "mothrev\n" // the start of every snapshot
	snapshotVersion = 1           // Restore rejects any other version
	headerBytes     = len(snapshotMagic) + 4 + 8 + 8

	// MaxSnapshotBytes is the maximum size of a snapshot: 16 MiB of documents, 4,096 revisions of 48 bytes beside
	// their documents and 4,096 requests of 36 bytes, which are 336 KiB, rounded up to 17 MiB.
	MaxSnapshotBytes = MaxHistoryBytes + 1<<20
)

// Errors of Restore.
var (
	ErrForeign = errors.New("revision: not a snapshot of revisions")
	ErrVersion = errors.New("revision: snapshot of another version")
	ErrTorn    = errors.New("revision: snapshot torn")
	ErrCorrupt = errors.New("revision: snapshot corrupt")
)

// Snapshot returns the encoded state, at most MaxSnapshotBytes. Machines that applied the same entries return the same
// bytes.
func (m *StateMachine) Snapshot() []byte {
	state := &revisionpb.State{Applied: m.applied, Newest: m.newest, History: m.history}
	for _, request := range m.requests {
		state.Requests = append(state.Requests, &revisionpb.Request{
			Request: request.request, Number: request.number, Checksum: request.checksum,
		})
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		panic(fmt.Sprintf("revision: encoding the state: %v", err))
	}
	data := make([]byte, 0, headerBytes+len(body))
	data = append(data, snapshotMagic...)
	data = binary.BigEndian.AppendUint32(data, snapshotVersion)
	data = binary.BigEndian.AppendUint64(data, uint64(len(body)))
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	data = append(data, body...)
	if len(data) > MaxSnapshotBytes {
		panic(fmt.Sprintf("revision: snapshot of %d bytes, the limit is %d", len(data), MaxSnapshotBytes))
	}
	return data
}

// Restore returns a machine with the state of a snapshot. Its error wraps ErrForeign, ErrVersion, ErrTorn or ErrCorrupt.
func Restore(data []byte) (*StateMachine, error) {
	body, err := decodeSnapshotBody(data)
	if err != nil {
		return nil, err
	}
	state := &revisionpb.State{}
	if err := proto.Unmarshal(body, state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	machine := NewStateMachine()
	if err := machine.restoreHistory(state); err != nil {
		return nil, err
	}
	if err := machine.restoreRequests(state); err != nil {
		return nil, err
	}
	machine.applied = state.GetApplied()
	return machine, nil
}

// decodeSnapshotBody checks the header of a snapshot and returns its encoded state, a slice of data. Its error wraps
// ErrForeign, ErrVersion, ErrTorn or ErrCorrupt.
func decodeSnapshotBody(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, []byte(snapshotMagic)) {
		if len(data) < len(snapshotMagic) && bytes.HasPrefix([]byte(snapshotMagic), data) {
			return nil, fmt.Errorf("%w: %d bytes", ErrTorn, len(data))
		}
		return nil, ErrForeign
	}
	if len(data) < headerBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTorn, len(data))
	}
	if len(data) > MaxSnapshotBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrCorrupt, len(data), MaxSnapshotBytes)
	}
	header, body := data[len(snapshotMagic):headerBytes], data[headerBytes:]
	version := binary.BigEndian.Uint32(header)
	length := binary.BigEndian.Uint64(header[4:])
	checksum := binary.BigEndian.Uint64(header[12:])
	switch {
	case version != snapshotVersion:
		return nil, fmt.Errorf("%w: %d, not %d", ErrVersion, version, snapshotVersion)
	case uint64(len(body)) < length:
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrTorn, len(body), length)
	case uint64(len(body)) > length:
		return nil, fmt.Errorf("%w: %d bytes follow its end", ErrCorrupt, uint64(len(body))-length)
	case xxhash.Sum64(body) != checksum:
		return nil, fmt.Errorf("%w: checksum of %d bytes", ErrCorrupt, len(body))
	}
	return body, nil
}

// restoreHistory checks and restores the revisions of a snapshot. Its error wraps ErrCorrupt.
func (m *StateMachine) restoreHistory(state *revisionpb.State) error {
	history := state.GetHistory()
	if uint64(len(history)) > state.GetNewest() {
		return fmt.Errorf("%w: %d revisions up to number %d", ErrCorrupt, len(history), state.GetNewest())
	}
	if state.GetNewest() > 0 && len(history) == 0 {
		return fmt.Errorf("%w: the newest revision is missing", ErrCorrupt)
	}
	m.newest = state.GetNewest() - uint64(len(history))
	for _, revision := range history {
		if err := m.checkNextRevision(revision); err != nil {
			return err
		}
		m.append(revision)
	}
	if len(m.history) != len(history) {
		return fmt.Errorf("%w: history of %d revisions is beyond its limits", ErrCorrupt, len(history))
	}
	return nil
}

// checkNextRevision checks the number, size and checksum of the next revision of a snapshot. Its error wraps
// ErrCorrupt.
func (m *StateMachine) checkNextRevision(revision *configpb.Revision) error {
	number, document := revision.GetNumber(), revision.GetDocument()
	if number != m.newest+1 {
		return fmt.Errorf("%w: revision %d follows %d", ErrCorrupt, number, m.newest)
	}
	if len(document) == 0 || len(document) > MaxDocumentBytes || configpb.Checksum(document) != revision.GetChecksum() {
		return fmt.Errorf("%w: document of revision %d", ErrCorrupt, number)
	}
	return nil
}

// restoreRequests checks and restores the recorded requests of a snapshot, which have to be in ascending order of
// their revisions. Its error wraps ErrCorrupt.
func (m *StateMachine) restoreRequests(state *revisionpb.State) error {
	var last uint64
	for _, request := range state.GetRequests() {
		_, twice := m.requestByID[request.GetRequest()]
		inOrder := request.GetNumber() > last && request.GetNumber() <= m.newest
		if twice || !inOrder || request.GetRequest() == 0 {
			return fmt.Errorf("%w: request of revision %d", ErrCorrupt, request.GetNumber())
		}
		last = request.GetNumber()
		m.recordRequest(appliedRequest{
			request: request.GetRequest(), number: request.GetNumber(), checksum: request.GetChecksum(),
		})
	}
	if len(m.requests) != len(state.GetRequests()) {
		return fmt.Errorf("%w: %d requests, the limit is %d", ErrCorrupt, len(state.GetRequests()), MaxRequests)
	}
	return nil
}
