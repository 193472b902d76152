package main

import (
	"errors"

	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configpb"
)

// newRejection returns the NACK of a revision for an error, by the key at fault, or nil if err is nil. The number is 0
// for a document that is not a revision yet.
func newRejection(number uint64, err error) *configpb.Refusal {
	if err == nil {
		return nil
	}
	key, reason := "settings", err.Error() // an error without a key is the core's, about the settings together
	var fault *config.KeyError
	if errors.As(err, &fault) {
		key, reason = fault.Key, fault.Reason()
	}
	return configpb.NewRejection(number, key, reason)
}
