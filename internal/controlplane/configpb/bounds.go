// Package configpb defines the gRPC services and messages of the control plane, with their size limits and error reasons.
// The .pb.go files are generated from config.proto.
package configpb

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Maximum sizes of message fields, in bytes. Every process that creates, stores or receives a message enforces them.
const (
	MaxDocument        = 64 << 10
	MaxRejectionKey    = 256
	MaxRejectionReason = 1024
)

// Checksum returns the checksum of a document, as in Revision.checksum.
func Checksum(document []byte) uint64 { return xxhash.Sum64(document) }

// NewRejection returns a rejection within its size limits: the key and the reason are made valid UTF-8 and truncated.
func NewRejection(number uint64, key, reason string) *Refusal {
	return &Refusal{Number: number, Key: truncate(key, MaxRejectionKey), Reason: truncate(reason, MaxRejectionReason)}
}

// truncate replaces invalid UTF-8 in s and shortens s to at most maxSize bytes, without splitting a character.
func truncate(s string, maxSize int) string {
	s = strings.ToValidUTF8(s, "?")
	if len(s) > maxSize {
		s = strings.ToValidUTF8(s[:maxSize], "")
	}
	return s
}
