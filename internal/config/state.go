package config

import (
	"encoding/json"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"mothrouter/internal/state/snapshot"
)

// State is the file that has learned state last over restarts.
type State struct {
	Folder   string
	Interval time.Duration
}

const (
	minInterval = 0.5 // seconds
	maxInterval = 3600.0
)

// LoadState reads the state file.
func LoadState(path string) (*State, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError("state", "%v", err)
	}
	f := struct {
		Folder   string  `toml:"folder"`
		Interval float64 `toml:"interval_s"`
	}{Interval: 5}
	md, err := toml.Decode(string(text), &f)
	if err != nil {
		return nil, keyError("state", "%s: %v", path, err)
	}
	if odd := md.Undecoded(); len(odd) > 0 {
		return nil, keyError("state."+odd[0].String(), "is not known")
	}
	if f.Folder == "" {
		return nil, keyError("state.folder", "is missing")
	}
	if !(f.Interval >= minInterval && f.Interval <= maxInterval) {
		return nil, keyError("state.interval_s", "%g is outside %g to %g", f.Interval, minInterval, maxInterval)
	}
	return &State{Folder: f.Folder, Interval: time.Duration(f.Interval * float64(time.Second))}, nil
}

// Fingerprint tells this broker's settings, and so its fleet, from others; how they are written does not matter.
func (c *Config) Fingerprint() uint64 {
	var v any
	if json.Unmarshal(c.file.Settings, &v) != nil {
		return 0
	}
	text, err := json.Marshal(v) // keys in order
	if err != nil {
		return 0
	}
	return snapshot.Fingerprint(text)
}
