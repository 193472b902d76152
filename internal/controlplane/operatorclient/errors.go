package operatorclient

import (
	"errors"
	"fmt"
)

// RejectedError is returned if a publication was rejected. The document was not committed.
type RejectedError struct {
	Key    string // invalid key in the document; or "document", "expected" or "request"
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string { return fmt.Sprintf("refused by %s: %s", e.Key, e.Reason) }

// UnavailableError is returned if it is certain that no control machine has accepted a publication, in this call or in an
// earlier one with the same request id. The document was not committed.
type UnavailableError struct {
	Last error // of the last attempt
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("not taken by any control machine: %v", e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.Last }

// OutcomeUnknownError is returned if a publication may have been committed or may still be committed. It is safe to
// publish the same document again with the same request id: this creates only one revision.
type OutcomeUnknownError struct {
	Last error // of the last attempt
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string { return e.Last.Error() }

// Unwrap returns the error of the last attempt.
func (e *OutcomeUnknownError) Unwrap() error { return e.Last }

var errNoAddress = errors.New("no address of a control machine")
