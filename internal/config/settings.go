package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"mothrouter/internal/endpoints/discovery"
	"mothrouter/internal/simwire"
)

// serviceSettings is what a real broker needs of the settings beside what the module does.
type serviceSettings struct {
	Caps struct {
		OpenCap        int      `json:"openCap"`
		ConnIdle       *float64 `json:"connIdleS"`
		ConnectTimeout *float64 `json:"connectTimeoutS"`
		Streams        *int     `json:"streamsPerConn"`
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

// readSettings reads the settings, of which the module's part as the adapter does.
func (c *Config) readSettings(data json.RawMessage) (err error) {
	if len(data) == 0 {
		return keyError("settings", "is missing")
	}
	if c.Settings, err = simwire.ParseSettings(string(data)); err != nil {
		return keyError("settings", "%v", err)
	}
	// A part's attempts are never out together here, even where the platform bears it. The module must know: one that
	// counts on copies waits for them beside an attempt that is lost.
	c.Settings.HedgingAllowed = false
	var s serviceSettings
	if err := json.Unmarshal(data, &s); err != nil {
		return keyError("settings", "%v", err)
	}
	if len(s.Classes) == 0 {
		return keyError("settings.classes", "is missing or empty")
	}
	c.Classes = map[string]int{}
	for i, class := range s.Classes {
		if _, twice := c.Classes[class.Name]; class.Name == "" || twice {
			return keyError(fmt.Sprintf("settings.classes[%d].name", i), "%q is empty or stands twice", class.Name)
		}
		if err := c.checkClass(i); err != nil {
			return err
		}
		c.Classes[class.Name] = i
	}
	if c.Settings.ReplicaSets <= 0 || c.Settings.ReplicaSets > maxSockets {
		return keyError("settings.familyInfo.cells", "%d is outside 1 to %d", c.Settings.ReplicaSets, maxSockets)
	}
	if t := c.Settings.Tick; t < 0 || t > 1 {
		return keyError("settings.tickS", "%g is outside 0 to 1", t)
	}
	if t := c.Settings.MaxRetryAfter; t < 0 || t > maxSeconds {
		return keyError("settings.caps.maxRetryAfterS", "%g is outside 0 to %g", t, maxSeconds)
	}
	if c.ConcurrencyLimit, c.Shards = s.Caps.OpenCap, s.Family.Shards; c.ConcurrencyLimit < 0 {
		return keyError("settings.caps.openCap", "%d is negative", c.ConcurrencyLimit)
	}
	c.NameTable = discovery.NameTable{Zones: s.Zones, Kinds: s.Kinds}
	return c.readConnSettings(&s)
}

// readConnSettings takes what the settings tell of connections to record servers.
func (c *Config) readConnSettings(s *serviceSettings) error {
	if n := s.Caps.Streams; n != nil {
		if c.MaxStreams = *n; *n < 1 {
			return keyError("settings.caps.streamsPerConn", "%d is below 1", *n)
		}
	}
	for _, d := range []struct {
		key string
		v   *float64
		to  *time.Duration
	}{
		{"settings.caps.connIdleS", s.Caps.ConnIdle, &c.ConnIdleTimeout},
		{"settings.caps.connectTimeoutS", s.Caps.ConnectTimeout, &c.ConnectTimeout},
	} {
		if d.v == nil {
			continue
		}
		if !(*d.v > 0 && *d.v <= maxSeconds) {
			return keyError(d.key, "%g is outside 0 to %g, or 0", *d.v, maxSeconds)
		}
		*d.to = max(time.Duration(*d.v*float64(time.Second)), time.Millisecond) // nothing would be no limit
	}
	return nil
}

// checkClass checks a class. One that names no aim is wanted within its deadline.
func (c *Config) checkClass(i int) error {
	class := &c.Settings.Classes[i]
	key := func(name string) string { return fmt.Sprintf("settings.classes[%d].%s", i, name) }
	if !(class.Deadline > 0 && class.Deadline <= maxSeconds) {
		return keyError(key("deadlineS"), "%g is outside 0 to %g, or 0", class.Deadline, maxSeconds)
	}
	if class.LatencyObjective < 0 || class.LatencyObjective > maxSeconds {
		return keyError(key("objectiveS"), "%g is outside 0 to %g", class.LatencyObjective, maxSeconds)
	}
	class.LatencyObjective = cmp.Or(class.LatencyObjective, class.Deadline)
	if !(class.CompletenessThreshold > 0 && class.CompletenessThreshold <= 1) {
		return keyError(fmt.Sprintf("settings.familyInfo.needByClass[%d]", i), "%g is outside 0 to 1, or 0", class.CompletenessThreshold)
	}
	if !(class.MinCompleteness >= 0 && class.MinCompleteness <= 1) {
		return keyError(fmt.Sprintf("settings.familyInfo.classFloor[%d]", i), "%g is outside 0 to 1", class.MinCompleteness)
	}
	return nil
}
