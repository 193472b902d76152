package config

import "bytes"

// Reload reads and checks the configuration again. A running broker takes up a changed address of discovery only, also where
// the environment named another at the start; needRestart are the other keys that differ. After an error the old
// configuration stays in force. Errors are of type *KeyError.
func (c *Config) Reload() (next *Config, needRestart []string, err error) {
	loaded, err := Load(c.getenv)
	if err != nil {
		return nil, nil, err
	}
	result := *c
	if address := loaded.file.Discovery; address != c.file.Discovery {
		if err := checkAddr("discovery", address); err != nil {
			return nil, nil, err
		}
		result.Discovery, result.file.Discovery = address, address
	}
	return &result, c.changedKeys(loaded), nil
}

// changedKeys returns the keys, but for discovery's, in which the configurations differ.
func (c *Config) changedKeys(other *Config) []string {
	var changed []string
	for _, entry := range []struct {
		key     string
		differs bool
	}{
		{"name", other.Name != c.Name},
		{"listen", other.Listen != c.Listen},
		{"control", other.AdminAddress != c.AdminAddress},
		{"limits", other.MemoryMB != c.MemoryMB || other.Sockets != c.Sockets},
		{"settings", !bytes.Equal(other.file.Settings, c.file.Settings)},
	} {
		if entry.differs {
			changed = append(changed, entry.key)
		}
	}
	return changed
}
