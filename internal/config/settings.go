package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"mothrouter/internal/endpoints/discovery"
	"mothrouter/internal/simwire"
)

// serviceSettings are the settings that a broker in service needs beyond those of the decision module.
type serviceSettings struct {
	Capabilities struct {
		ConcurrencyLimit int      `json:"openCap"`
		ConnIdleTimeout  *float64 `json:"connIdleS"`       // seconds
		ConnectTimeout   *float64 `json:"connectTimeoutS"` // seconds
		MaxStreams       *int     `json:"streamsPerConn"`
	} `json:"caps"`
	Classes []struct {
		Name string `json:"name"`
	} `json:"classes"`
	Family struct {
		Shards int `json:"slabs"`
	} `json:"familyInfo"`
	Kinds []string `json:"machineTypes"`
	Zones []string `json:"zones"`
}

const maxTick = 1.0 // seconds

// readSettings sets everything that comes from the settings.
func (c *Config) readSettings(data json.RawMessage) error {
	if len(data) == 0 {
		return missingKey("settings", "an object")
	}
	var err error
	if c.Settings, err = simwire.ParseSettings(string(data)); err != nil {
		return settingsError(err)
	}
	// The core never has two attempts of a part in flight, also where the platform allows it. The decision module must know:
	// with hedging allowed it would wait for a hedged request beside an attempt that is lost.
	c.Settings.HedgingAllowed = false
	var s serviceSettings
	if err := json.Unmarshal(data, &s); err != nil {
		return settingsError(err)
	}
	if err := c.readClasses(&s); err != nil {
		return err
	}
	if err := c.checkDecisionSettings(); err != nil {
		return err
	}
	if s.Capabilities.ConcurrencyLimit < 0 {
		return notAllowed("settings.caps.openCap", s.Capabilities.ConcurrencyLimit, "0 or more")
	}
	c.ConcurrencyLimit = s.Capabilities.ConcurrencyLimit
	c.Shards = s.Family.Shards
	c.NameTable = discovery.NameTable{Zones: s.Zones, Kinds: s.Kinds}
	return c.readConnSettings(&s)
}

// settingsError names the key of settings that cannot be read, where the error has one.
func settingsError(err error) error {
	if fault := (*simwire.SettingError)(nil); errors.As(err, &fault) {
		return notAllowed("settings."+fault.Key, fault.Value, "%s", fault.Allowed)
	}
	return jsonError("settings", "settings.", err)
}

// readClasses sets the classes by name, and checks each.
func (c *Config) readClasses(s *serviceSettings) error {
	if len(s.Classes) == 0 {
		return missingKey("settings.classes", "at least one class")
	}
	c.Classes = map[string]int{}
	for i, class := range s.Classes {
		key := fmt.Sprintf("settings.classes[%d].name", i)
		if class.Name == "" {
			return missingKey(key, allowedText)
		}
		if _, exists := c.Classes[class.Name]; exists {
			return notAllowed(key, class.Name, allowedOnce)
		}
		if err := c.checkClass(i); err != nil {
			return err
		}
		c.Classes[class.Name] = i
	}
	return nil
}

// checkDecisionSettings checks the decision module's settings that do not belong to a class.
func (c *Config) checkDecisionSettings() error {
	if err := checkRange("settings.familyInfo.cells", c.Settings.ReplicaSets, 1, maxSockets); err != nil {
		return err
	}
	if err := checkRange("settings.tickS", c.Settings.Tick, 0, maxTick); err != nil {
		return err
	}
	return checkRange("settings.caps.maxRetryAfterS", c.Settings.MaxRetryAfter, 0, maxSeconds)
}

// readConnSettings sets the limits of connections to record servers.
func (c *Config) readConnSettings(s *serviceSettings) error {
	if n := s.Capabilities.MaxStreams; n != nil {
		if c.MaxStreams = *n; *n < 1 {
			return notAllowed("settings.caps.streamsPerConn", *n, "1 or more")
		}
	}
	for _, timeout := range []struct {
		key   string
		value *float64
		to    *time.Duration
	}{
		{"settings.caps.connIdleS", s.Capabilities.ConnIdleTimeout, &c.ConnIdleTimeout},
		{"settings.caps.connectTimeoutS", s.Capabilities.ConnectTimeout, &c.ConnectTimeout},
	} {
		if timeout.value == nil {
			continue
		}
		if err := checkPositive(timeout.key, *timeout.value, maxSeconds); err != nil {
			return err
		}
		*timeout.to = max(seconds(*timeout.value), time.Millisecond) // a timeout of 0 would be no limit
	}
	return nil
}

// checkClass checks a class. The latency objective of one that has none is its deadline.
func (c *Config) checkClass(i int) error {
	class := &c.Settings.Classes[i]
	classKey := fmt.Sprintf("settings.classes[%d].", i)
	if err := checkPositive(classKey+"deadlineS", class.Deadline, maxSeconds); err != nil {
		return err
	}
	if err := checkRange(classKey+"objectiveS", class.LatencyObjective, 0, maxSeconds); err != nil {
		return err
	}
	class.LatencyObjective = cmp.Or(class.LatencyObjective, class.Deadline)
	needKey := fmt.Sprintf("settings.familyInfo.needByClass[%d]", i)
	if err := checkPositive(needKey, class.CompletenessThreshold, 1); err != nil {
		return err
	}
	return checkRange(fmt.Sprintf("settings.familyInfo.classFloor[%d]", i), class.MinCompleteness, 0, 1)
}
