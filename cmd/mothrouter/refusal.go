package main

import (
	"errors"
	"strings"

	"mothrouter/internal/config"
	"mothrouter/internal/configpb"
)

// Bounds of a refusal, as control machines take it.
const (
	keyMost    = 256  // bytes
	reasonMost = 1024 // bytes
)

// refusal is why a revision, or a document that has no number yet (0), cannot be taken, by the key that is at fault; nil:
// it can.
func refusal(number uint64, err error) *configpb.Refusal {
	if err == nil {
		return nil
	}
	key, reason := "settings", err.Error() // where an error names no key, those of the settings did not take it
	var fault *config.KeyError
	if errors.As(err, &fault) {
		key, reason = fault.Key, fault.Reason
	}
	return &configpb.Refusal{Number: number, Key: clip(key, keyMost), Reason: clip(reason, reasonMost)}
}

// clip is the text in UTF-8, in so many bytes at most.
func clip(text string, most int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "")
}
