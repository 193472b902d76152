package config

import "bytes"

// Reload reads and validates the configuration again. A running broker applies only a changed discovery address, even if
// PROXY_DISCOVERY had overridden the address at startup. needRestart lists the other changed keys, which take effect after a
// restart. After an error the old configuration stays in force. Errors are of type *KeyError.
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

// changedKeys returns the top-level keys, except discovery, in which the configurations differ.
func (c *Config) changedKeys(other *Config) []string {
	var changed []string
	for _, entry := range []struct {
		key     string
		differs bool
	}{
		{"name", other.Name != c.Name},
		{"listen", other.Listen != c.Listen},
		{"control", other.AdminAddress != c.AdminAddress},
		{"limits", other.MemoryLimitMiB != c.MemoryLimitMiB || other.MaxOpenFiles != c.MaxOpenFiles},
		{"settings", !bytes.Equal(other.file.Settings, c.file.Settings)},
	} {
		if entry.differs {
			changed = append(changed, entry.key)
		}
	}
	return changed
}
