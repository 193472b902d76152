// Package configpb is the wire form of configuration revisions and the reports of brokers on them, with its bounds and
// errors. The .pb.go files are generated from config.proto.
package configpb

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of messages, in bytes. They hold for all who make, store and take them.
const (
	MaxDocument      = 64 << 10
	MaxRefusalKey    = 256
	MaxRefusalReason = 1024
)

// Checksum returns the checksum of a document, as Revision names it.
func Checksum(document []byte) uint64 { return xxhash.Sum64(document) }

// NewRefusal returns a refusal within its bounds: texts are cut, and made valid UTF-8.
func NewRefusal(number uint64, key, reason string) *Refusal {
	return &Refusal{Number: number, Key: cut(key, MaxRefusalKey), Reason: cut(reason, MaxRefusalReason)}
}

// cut returns a text of at most so many bytes that is valid UTF-8.
func cut(text string, most int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) > most {
		text = strings.ToValidUTF8(text[:most], "")
	}
	return text
}
