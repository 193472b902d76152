// Package distribution decides how revisions of the configuration reach the brokers. Hub is the control machine's
// side: what it sends on each broker's session, and which revisions the brokers report. Follower is the broker's side:
// which control machine it follows, when a stream has timed out, which revision it applies, and how stale its
// configuration may be.
//
// The protocol resembles xDS over one bidirectional stream (configpb.Control.Follow): a control machine sends updates,
// a broker answers with status reports that acknowledge (ACK) or reject (NACK) a revision.
//
// Neither type does I/O, starts a goroutine or reads a clock: a driver passes in the time and the events. The times
// given to one Hub or Follower must not decrease. Neither is safe for concurrent use.
package distribution

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// Heartbeat is the longest interval between two updates of a session.
	Heartbeat = time.Second
	// ReportInterval is the longest interval between two status reports of a broker, with or without a change.
	ReportInterval = 10 * time.Second
	// MaxDocument is the largest document of a revision, in bytes.
	MaxDocument = configpb.MaxDocument
	// MaxMessage is the largest message on the wire, in bytes: a document and 4 KiB for all other fields.
	MaxMessage = MaxDocument + 4<<10
	// NeverConfirmed is the value of Update.confirmed_ms of a control machine that no quorum has confirmed yet.
	NeverConfirmed = 1<<32 - 1

	maxNameLength = 128 // bytes of the name of a broker or of a zone
)

// Errors of CheckRevision.
var (
	ErrNoRevisionNumber = errors.New("the revision has no number")
	ErrEmptyDocument    = errors.New("the document is empty")
	ErrDocumentTooLarge = fmt.Errorf("the document is larger than %d bytes", MaxDocument)
	ErrChecksumMismatch = errors.New("the document does not match its checksum")
)

// CheckRevision checks that a revision is intact. Errors: ErrNoRevisionNumber, ErrEmptyDocument, ErrDocumentTooLarge
// and ErrChecksumMismatch; all but the first are wrapped with the revision's number.
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

// isValidString reports whether s is UTF-8 of at most maxLength bytes.
func isValidString(s string, maxLength int) bool { return len(s) <= maxLength && utf8.ValidString(s) }

// isValidReport reports whether each field of a status report is within its bounds and consistent with the others.
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
