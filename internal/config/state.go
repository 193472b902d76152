package config

import (
	"encoding/json"
	"time"

	"mothrouter/internal/state/snapshot"
)

// State is the operator file that enables saving the server-health snapshot, so that it survives restarts.
type State struct {
	Folder   string        // folder of the snapshot file
	Interval time.Duration // time between two saves
}

// Bounds and default of the time between two saves, in seconds.
const (
	minSaveInterval     = 0.5 // saving more often would keep a slow disk busy
	maxSaveInterval     = 3600.0
	defaultSaveInterval = 5.0
)

// LoadState reads the state file at path. Errors are of type *KeyError.
func LoadState(path string) (*State, error) {
	file := struct {
		Folder   string  `toml:"folder"`
		Interval float64 `toml:"interval_s"`
	}{Interval: defaultSaveInterval}
	if err := decodeTOML("state", path, &file); err != nil {
		return nil, err
	}
	if file.Folder == "" {
		return nil, missingKey("state.folder", "the path of a folder")
	}
	if err := checkRange("state.interval_s", file.Interval, minSaveInterval, maxSaveInterval); err != nil {
		return nil, err
	}
	return &State{Folder: file.Folder, Interval: seconds(file.Interval)}, nil
}

// Fingerprint returns a hash of the settings that distinguishes fleets. It does not depend on the order of keys or on white
// space. It is 0 if the settings cannot be parsed.
func (c *Config) Fingerprint() uint64 {
	var settings any
	if json.Unmarshal(c.file.Settings, &settings) != nil {
		return 0
	}
	text, err := json.Marshal(settings) // Marshal sorts the keys
	if err != nil {
		return 0
	}
	return snapshot.Fingerprint(text)
}
