package main

import (
	"errors"

	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configpb"
)

// newRejection returns the rejection (NACK) of a revision for an error, with the invalid key, or nil if err is nil. The
// number is 0 for a document that is not a revision yet.
func newRejection(number uint64, err error) *configpb.Refusal {
	if err == nil {
		return nil
	}
	key, reason := "settings", err.Error() // an error without a key comes from the core and concerns the settings as a whole
	var keyErr *config.KeyError
	if errors.As(err, &keyErr) {
		key, reason = keyErr.Key, keyErr.Reason()
	}
	return configpb.NewRejection(number, key, reason)
}
