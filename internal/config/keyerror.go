package config

import "fmt"

// KeyError tells what is wrong with a configuration, by the key that is at fault.
type KeyError struct {
	Key    string // such as settings.classes[1].deadlineS
	Reason string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

func keyError(key, format string, args ...any) error {
	return &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}
