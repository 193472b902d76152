// Package configpb is the wire form of configuration revisions and the reports of brokers on them, with its bounds and
// errors. The .pb.go files are generated from config.proto.
package configpb

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of messages, in bytes. They hold for all who make, store and take them.
const (
	MaxDocument        = 64 << 10
	MaxRejectionKey    = 256
	MaxRejectionReason = 1024
)

// Checksum returns the checksum of a document, as Revision names it.
func Checksum(document []byte) uint64 { return xxhash.Sum64(document) }

// NewRejection returns a refusal within its bounds: texts are cut, and made valid UTF-8.
func NewRejection(number uint64, key, reason string) *Refusal {
	return &Refusal{Number: number, Key: cut(key, MaxRejectionKey), Reason: cut(reason, MaxRejectionReason)}
}

// cut replaces invalid UTF-8 of s and shortens it to at most maxSize bytes, between two characters.
func cut(s string, maxSize int) string {
	s = strings.ToValidUTF8(s, "?")
	if len(s) > maxSize {
		s = strings.ToValidUTF8(s[:maxSize], "")
	}
	return s
}
