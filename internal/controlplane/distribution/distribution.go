// Package distribution decides how revisions of the configuration get from control machines to brokers. Hub is the
// control machine's side: what each of its sessions is sent, and what the brokers reported. Follower is the broker's
// side: which control machine it follows, when a stream is silent, which revision is taken, and how far behind the
// broker may be.
//
// Neither does I/O, starts a goroutine or keeps a clock: a driver hands in the time and what happened. Times given to
// one Hub or Follower must not go back. Neither is safe for use by several goroutines at once.
package distribution

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"mothrouter/internal/controlplane/configpb"
)

const (
	// Heartbeat is how often a session is told something at least.
	Heartbeat = time.Second
	// ReportInterval is how often a broker reports at least, whether or not anything changed.
	ReportInterval = 10 * time.Second
	// MaxDocument is the largest document of a revision, in bytes.
	MaxDocument = configpb.MaxDocument
	// MaxMessage bounds one message on the wire: a document, and 4 KiB for every other field of it.
	MaxMessage = MaxDocument + 4<<10
	// NeverConfirmed is Update.confirmed_ms of a control machine that has not heard of a quorum yet.
	NeverConfirmed = 1<<32 - 1

	maxNameLength = 128 // bytes of a broker's or a zone's name
)

// Errors of CheckRevision.
var (
	ErrNoRevisionNumber = errors.New("the revision has no number")
	ErrEmptyDocument    = errors.New("the document is empty")
	ErrDocumentTooLarge = fmt.Errorf("the document is larger than %d bytes", MaxDocument)
	ErrChecksumMismatch = errors.New("the document is not what its checksum names")
)

// CheckRevision returns why a revision is not whole: one of ErrNoNumber, ErrEmpty, ErrTooLarge and ErrTorn.
func CheckRevision(revision *configpb.Revision) error {
	switch document := revision.GetDocument(); {
	case revision.GetNumber() == 0:
		return ErrNoRevisionNumber
	case len(document) == 0:
		return ErrEmptyDocument
	case len(document) > MaxDocument:
		return ErrDocumentTooLarge
	case configpb.Checksum(document) != revision.GetChecksum():
		return ErrChecksumMismatch
	}
	return nil
}

func isValidString(s string, maxLength int) bool { return len(s) <= maxLength && utf8.ValidString(s) }

// isValidReport tells whether a report is well-formed by itself.
func isValidReport(report *configpb.Report) bool {
	if report.GetName() == "" || !isValidString(report.GetName(), maxNameLength) || !isValidString(report.GetZone(), maxNameLength) {
		return false
	}
	if report.GetStartedUnixMs() <= 0 || report.GetSequence() == 0 {
		return false
	}
	refusal := report.GetRefusal()
	if refusal == nil {
		return true
	}
	return refusal.GetNumber() > report.GetInForce() &&
		isValidString(refusal.GetKey(), configpb.MaxRejectionKey) &&
		isValidString(refusal.GetReason(), configpb.MaxRejectionReason)
}
