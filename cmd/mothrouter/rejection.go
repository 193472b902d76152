package main

import (
	"errors"

	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configpb"
)

// newRejection is why a revision, or a document that has no number yet (0), cannot be taken, by the key that is at fault; nil:
// it can.
func newRejection(number uint64, err error) *configpb.Refusal {
	if err == nil {
		return nil
	}
	key, reason := "settings", err.Error() // where an error names no key, those of the settings did not take it
	var fault *config.KeyError
	if errors.As(err, &fault) {
		key, reason = fault.Key, fault.Reason
	}
	return configpb.NewRejection(number, key, reason)
}
