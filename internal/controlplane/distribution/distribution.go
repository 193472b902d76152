// Package distribution implements the protocol that distributes revisions of the configuration to the brokers, without I/O.
// Hub implements the control machine's side: it decides what to send on each broker's session and tracks which revisions the
// brokers report. Follower implements the broker's side: it decides which control machine to follow, when a stream has timed
// out and which revision to apply, and calculates how stale the configuration may be.
//
// The protocol resembles xDS over a bidirectional stream (configpb.Control.Follow): the control machine sends updates, and
// the broker answers with status reports that acknowledge (ACK) or reject (NACK) a revision.
//
// Neither type does I/O, starts goroutines or reads a clock: a driver passes in the time and the events. The times passed to
// one Hub or Follower must not decrease. Neither is safe for concurrent use.
package distribution

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// HeartbeatInterval is the maximum interval between two updates on a session.
	HeartbeatInterval = time.Second
	// ReportInterval is the maximum interval between two status reports of a broker, with or without a change.
	ReportInterval = 10 * time.Second
	// MaxDocument is the maximum size of a revision's document, in bytes.
	MaxDocument = configpb.MaxDocument
	// MaxMessage is the maximum size of a message on the wire, in bytes: a document and 4 KiB for all other fields.
	MaxMessage = MaxDocument + 4<<10
	// NeverConfirmed is the value of Update.confirmed_ms if no quorum has confirmed the control machine's newest revision yet.
	NeverConfirmed = 1<<32 - 1

	maxNameLength = 128 // of the name of a broker or zone, in bytes
)

// Errors of CheckRevision.
var (
	ErrNoRevisionNumber = errors.New("the revision has no number")
	ErrEmptyDocument    = errors.New("the document is empty")
	ErrDocumentTooLarge = fmt.Errorf("the document is larger than %d bytes", MaxDocument)
	ErrChecksumMismatch = errors.New("the document does not match its checksum")
)

// CheckRevision checks that a revision is intact. It returns ErrNoRevisionNumber, or an error with the revision's number that
// wraps ErrEmptyDocument, ErrDocumentTooLarge or ErrChecksumMismatch.
func CheckRevision(revision *configpb.Revision) error {
	number := revision.GetNumber()
	if number == 0 {
		return ErrNoRevisionNumber
	}
	if err := checkDocument(revision); err != nil {
		return fmt.Errorf("revision %d: %w", number, err)
	}
	return nil
}

// checkDocument checks the size and the checksum of a revision's document.
func checkDocument(revision *configpb.Revision) error {
	switch document := revision.GetDocument(); {
	case len(document) == 0:
		return ErrEmptyDocument
	case len(document) > MaxDocument:
		return ErrDocumentTooLarge
	case configpb.Checksum(document) != revision.GetChecksum():
		return ErrChecksumMismatch
	}
	return nil
}

// isValidString reports whether s is valid UTF-8 and has at most maxLength bytes.
func isValidString(s string, maxLength int) bool { return len(s) <= maxLength && utf8.ValidString(s) }

// isValidReport reports whether the fields of a status report are within their bounds and consistent with each other.
func isValidReport(report *configpb.Report) bool {
	if report.GetName() == "" || !isValidString(report.GetName(), maxNameLength) {
		return false
	}
	if !isValidString(report.GetZone(), maxNameLength) {
		return false
	}
	if report.GetStartedUnixMs() <= 0 || report.GetSequence() == 0 {
		return false
	}
	rejection := report.GetRefusal()
	if rejection == nil {
		return true
	}
	return rejection.GetNumber() > report.GetInForce() &&
		isValidString(rejection.GetKey(), configpb.MaxRejectionKey) &&
		isValidString(rejection.GetReason(), configpb.MaxRejectionReason)
}
