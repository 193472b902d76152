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

// A snapshot consists of a header of 28 bytes and an encoded revisionpb.State. The integers of the header are big endian:
//
//	8 bytes  magic
//	4 bytes  version
//	8 bytes  length of the encoded state
//	8 bytes  xxhash of the encoded state
const (
	snapshotMagic   = "mothrev\n" // first bytes of every snapshot
	snapshotVersion = 1           // Restore rejects any other version
	headerBytes     = len(snapshotMagic) + 4 + 8 + 8

	// MaxSnapshotBytes is the maximum size of a snapshot, rounded up to 17 MiB: 16 MiB of documents and 336 KiB for 4,096
	// revisions (48 bytes each without the document) and 4,096 requests (36 bytes each).
	MaxSnapshotBytes = MaxHistoryBytes + 1<<20
)

// Errors of Restore.
var (
	ErrNotSnapshot = errors.New("revision: not a snapshot of revisions")
	ErrVersion     = errors.New("revision: unsupported snapshot version")
	ErrTruncated   = errors.New("revision: truncated snapshot")
	ErrCorrupt     = errors.New("revision: corrupt snapshot")
)

// Snapshot returns the encoded state, at most MaxSnapshotBytes. State machines that have applied the same entries return the
// same bytes.
func (m *StateMachine) Snapshot() []byte {
	state := &revisionpb.State{Applied: m.applied, Newest: m.newest, History: m.history}
	for _, request := range m.requests {
		state.Requests = append(state.Requests, &revisionpb.Request{
			Request: request.id, Number: request.revision, Checksum: request.checksum,
		})
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		panic(fmt.Sprintf("revision: encoding the snapshot's state: %v", err))
	}
	data := make([]byte, 0, headerBytes+len(body))
	data = append(data, snapshotMagic...)
	data = binary.BigEndian.AppendUint32(data, snapshotVersion)
	data = binary.BigEndian.AppendUint64(data, uint64(len(body)))
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	data = append(data, body...)
	if len(data) > MaxSnapshotBytes {
		panic(fmt.Sprintf("revision: snapshot size of %d bytes exceeds the limit of %d", len(data), MaxSnapshotBytes))
	}
	return data
}

// Restore returns a state machine with the state of a snapshot. Its error wraps ErrNotSnapshot, ErrVersion, ErrTruncated or
// ErrCorrupt.
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
// ErrNotSnapshot, ErrVersion, ErrTruncated or ErrCorrupt.
func decodeSnapshotBody(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, []byte(snapshotMagic)) {
		if len(data) < len(snapshotMagic) && bytes.HasPrefix([]byte(snapshotMagic), data) {
			return nil, fmt.Errorf("%w: %d bytes, the header has %d", ErrTruncated, len(data), headerBytes)
		}
		return nil, ErrNotSnapshot
	}
	if len(data) < headerBytes {
		return nil, fmt.Errorf("%w: %d bytes, the header has %d", ErrTruncated, len(data), headerBytes)
	}
	if len(data) > MaxSnapshotBytes {
		return nil, fmt.Errorf("%w: size of %d bytes exceeds the limit of %d", ErrCorrupt, len(data), MaxSnapshotBytes)
	}
	header, body := data[len(snapshotMagic):headerBytes], data[headerBytes:]
	version := binary.BigEndian.Uint32(header)
	length := binary.BigEndian.Uint64(header[4:])
	checksum := binary.BigEndian.Uint64(header[12:])
	switch {
	case version != snapshotVersion:
		return nil, fmt.Errorf("%w: %d, want %d", ErrVersion, version, snapshotVersion)
	case uint64(len(body)) < length:
		return nil, fmt.Errorf("%w: the state has %d bytes, want %d", ErrTruncated, len(body), length)
	case uint64(len(body)) > length:
		return nil, fmt.Errorf("%w: %d bytes after the end of the state", ErrCorrupt, uint64(len(body))-length)
	}
	if found := xxhash.Sum64(body); found != checksum {
		return nil, fmt.Errorf("%w: the state has checksum %x, want %x", ErrCorrupt, found, checksum)
	}
	return body, nil
}

// restoreHistory checks and restores the revisions of a snapshot. Its error wraps ErrCorrupt.
func (m *StateMachine) restoreHistory(state *revisionpb.State) error {
	history := state.GetHistory()
	if uint64(len(history)) > state.GetNewest() {
		return fmt.Errorf("%w: the history has %d revisions, but the newest number is %d", ErrCorrupt, len(history),
			state.GetNewest())
	}
	if state.GetNewest() > 0 && len(history) == 0 {
		return fmt.Errorf("%w: the newest revision %d is missing", ErrCorrupt, state.GetNewest())
	}
	m.newest = state.GetNewest() - uint64(len(history))
	for _, revision := range history {
		if err := m.checkNextRevision(revision); err != nil {
			return err
		}
		m.append(revision)
	}
	if len(m.history) != len(history) {
		return fmt.Errorf("%w: the history has %d revisions, of which only %d are within the limits of %d revisions and %d bytes",
			ErrCorrupt, len(history), len(m.history), MaxHistory, MaxHistoryBytes)
	}
	return nil
}

// checkNextRevision checks the number, size and checksum of the next revision of a snapshot. Its error wraps
// ErrCorrupt.
func (m *StateMachine) checkNextRevision(revision *configpb.Revision) error {
	number, document := revision.GetNumber(), revision.GetDocument()
	if number != m.newest+1 {
		return fmt.Errorf("%w: revision %d follows revision %d", ErrCorrupt, number, m.newest)
	}
	if len(document) == 0 || len(document) > MaxDocumentBytes || configpb.Checksum(document) != revision.GetChecksum() {
		return fmt.Errorf("%w: revision %d has a document of %d bytes with checksum %x, want 1 to %d bytes with checksum %x", ErrCorrupt,
			number, len(document), configpb.Checksum(document), MaxDocumentBytes, revision.GetChecksum())
	}
	return nil
}

// restoreRequests checks and restores the recorded requests of a snapshot, which must be in ascending order of their
// revisions. Its error wraps ErrCorrupt.
func (m *StateMachine) restoreRequests(state *revisionpb.State) error {
	var last uint64
	for _, request := range state.GetRequests() {
		_, duplicate := m.requestByID[request.GetRequest()]
		inOrder := request.GetNumber() > last && request.GetNumber() <= m.newest
		if duplicate || !inOrder || request.GetRequest() == 0 {
			return fmt.Errorf("%w: request %x of revision %d follows a request of revision %d, want a unique id other than 0 and "+
				"a revision after that one, at most the newest revision %d", ErrCorrupt, request.GetRequest(), request.GetNumber(),
				last, m.newest)
		}
		last = request.GetNumber()
		m.recordRequest(appliedRequest{
			id: request.GetRequest(), revision: request.GetNumber(), checksum: request.GetChecksum(),
		})
	}
	if len(m.requests) != len(state.GetRequests()) {
		return fmt.Errorf("%w: %d requests exceed the limit of %d", ErrCorrupt, len(state.GetRequests()), MaxRequests)
	}
	return nil
}
