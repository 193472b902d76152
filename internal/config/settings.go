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

// serviceSettings are the settings that a broker uses in addition to those of the decision module.
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

const maxTick = 1.0 // upper bound of tickS, in seconds

// readSettings sets all fields that are read from the key settings.
func (c *Config) readSettings(data json.RawMessage) error {
	if len(data) == 0 {
		return missingKey("settings", "an object")
	}
	var err error
	if c.Settings, err = simwire.ParseSettings(string(data)); err != nil {
		return settingsError(err)
	}
	// The core never has two attempts of a part in flight, even if the platform allows it. With hedging allowed, the decision
	// module would count on a hedged request, which the core does not send, while the first attempt is lost.
	c.Settings.HedgingAllowed = false
	var service serviceSettings
	if err := json.Unmarshal(data, &service); err != nil {
		return settingsError(err)
	}
	if err := c.readClasses(&service); err != nil {
		return err
	}
	if err := c.checkDecisionSettings(); err != nil {
		return err
	}
	if service.Capabilities.ConcurrencyLimit < 0 {
		return notAllowed("settings.caps.openCap", service.Capabilities.ConcurrencyLimit, "0 or more")
	}
	c.ConcurrencyLimit = service.Capabilities.ConcurrencyLimit
	c.Shards = service.Family.Shards
	c.NameTable = discovery.NameTable{Zones: service.Zones, Kinds: service.Kinds}
	return c.readConnSettings(&service)
}

// settingsError converts an error of the settings to a *KeyError. The key is settings if the error does not name a key.
func settingsError(err error) error {
	if settingErr := (*simwire.SettingError)(nil); errors.As(err, &settingErr) {
		return notAllowed("settings."+settingErr.Key, settingErr.Value, "%s", settingErr.Allowed)
	}
	return jsonError("settings", "settings.", err)
}

// readClasses sets Classes and checks each class.
func (c *Config) readClasses(service *serviceSettings) error {
	if len(service.Classes) == 0 {
		return missingKey("settings.classes", "at least one class")
	}
	c.Classes = map[string]int{}
	for i, class := range service.Classes {
		key := fmt.Sprintf("settings.classes[%d].name", i)
		if class.Name == "" {
			return missingKey(key, allowedText)
		}
		if _, exists := c.Classes[class.Name]; exists {
			return notAllowed(key, class.Name, allowedUnique)
		}
		if err := c.checkClass(i); err != nil {
			return err
		}
		c.Classes[class.Name] = i
	}
	return nil
}

// checkDecisionSettings checks the settings of the decision module that are not per class.
func (c *Config) checkDecisionSettings() error {
	if err := checkRange("settings.familyInfo.cells", c.Settings.ReplicaSets, 1, maxOpenFilesLimit); err != nil {
		return err
	}
	if err := checkRange("settings.tickS", c.Settings.Tick, 0, maxTick); err != nil {
		return err
	}
	return checkRange("settings.caps.maxRetryAfterS", c.Settings.MaxRetryAfter, 0, maxSeconds)
}

// readConnSettings sets the limits and timeouts of connections to record servers.
func (c *Config) readConnSettings(service *serviceSettings) error {
	if streams := service.Capabilities.MaxStreams; streams != nil {
		if c.MaxStreams = *streams; *streams < 1 {
			return notAllowed("settings.caps.streamsPerConn", *streams, "1 or more")
		}
	}
	for _, timeout := range []struct {
		key    string
		value  *float64
		target *time.Duration
	}{
		{"settings.caps.connIdleS", service.Capabilities.ConnIdleTimeout, &c.ConnIdleTimeout},
		{"settings.caps.connectTimeoutS", service.Capabilities.ConnectTimeout, &c.ConnectTimeout},
	} {
		if timeout.value == nil {
			continue
		}
		if err := checkPositive(timeout.key, *timeout.value, maxSeconds); err != nil {
			return err
		}
		*timeout.target = max(seconds(*timeout.value), time.Millisecond) // rounded to 0 it would mean no timeout
	}
	return nil
}

// checkClass checks the class at an index. A class without a latency objective gets its deadline as the objective.
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
