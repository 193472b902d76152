// Package config alone reads, checks and defaults the configuration. Its errors name the faulty key.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/control"
	"mothrouter/internal/decision"
	"mothrouter/internal/discovery"
	"mothrouter/internal/wire"
)

// Config is all that a broker is told.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Control   string // where operators call; "": nowhere
	AcceptFD  int    // the listening socket that the process inherited; 0: it opens its own
	Seed      uint64
	MemoryMB  int
	Sockets   int

	ClientConns int // client connections held at most; requests need a third of the descriptors
	IdleConns   int // of them between requests at most
	ServerConns int // connections to record servers held at most
	Buffers     int // bytes of requests held at most

	Settings decision.Settings
	Classes  map[string]int // class by name
	Names    discovery.Names
	Known    broker.List // the list as last known
	Version  int64       // its version

	OpenCap        int
	Shards         int
	Streams        int
	ConnIdle       time.Duration
	ConnectTimeout time.Duration

	getenv func(string) string
	file   file // as read
}

const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64
	mostSockets     = 1 << 20
	mostMemoryMB    = 1 << 20
	mostSeconds     = 1e6 // of any time

	idleShare   = 1. / 6 // of the descriptors: half of what clients hold at most for requests
	spareShare  = 1. / 8 // of the descriptors, for the watch, the listener and what just closes,
	spareLeast  = 16     // and so many at least: 6 of the process, 4 calls to discovery, 1 accepted, 4 turned away
	clientLeast = 8      // connections of clients
	serverShare = 3. / 8 // of the descriptors at least; clients have the rest
	serverMost  = 1. / 2 // of the descriptors, where there are more servers than that
	serverConns = 9. / 8 // of the cells: a server has one, and parts that must not run twice go alone
	bufferShare = 1. / 8 // of the memory
)

// Patience is, by class, how long a client waits that does not say so.
func (c *Config) Patience() (p []time.Duration) {
	for _, class := range c.Settings.Classes {
		p = append(p, time.Duration(class.Deadline*float64(time.Second)))
	}
	return p
}

// Longest is the longest time that a client waits, by the settings.
func (c *Config) Longest() time.Duration { return slices.Max(c.Patience()) }

// Advice is when a client that finds no room should come back; 0: the settings have no such word.
func (c *Config) Advice() float64 {
	if c.Settings.RetryAfter {
		return c.Settings.MaxWait
	}
	return 0
}

// file is PROXY_CONFIG.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Control   string `json:"control"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.Message `json:"known"`
	Settings json.RawMessage    `json:"settings"`
}

// settings is what a real broker needs of the settings beside what the module does.
type settings struct {
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

func bad(key, format string, args ...any) error {
	return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
}

// Load reads the environment, by getenv, and the file that PROXY_CONFIG names. The environment's
// name and addresses win over the file's.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, bad("PROXY_CONFIG", "is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, bad("PROXY_CONFIG", "%v", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, bad("PROXY_CONFIG", "%v", err)
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Control: f.Control,
		MemoryMB: defaultMemoryMB, Sockets: defaultSockets,
		ConnIdle: 15 * time.Second, ConnectTimeout: 250 * time.Millisecond, Streams: 1,
		getenv: getenv, file: f,
	}
	for key, v := range map[string]*string{
		"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery,
		"PROXY_CONTROL": &c.Control,
	} {
		if s := getenv(key); s != "" {
			*v = s
		}
	}
	if err := checkAddr("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddr("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if c.Control != "" {
		if err := checkAddr("control", c.Control); err != nil {
			return nil, err
		}
	}
	if fd := getenv("PROXY_ACCEPT_FD"); fd != "" {
		if c.AcceptFD, err = strconv.Atoi(fd); err != nil || c.AcceptFD < 3 {
			return nil, bad("PROXY_ACCEPT_FD", "%q is no descriptor that a process can inherit", fd)
		}
	}
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, bad("seed", "cannot read %q as 16 hex digits", f.Seed)
		}
	}
	if n := f.Limits.MemoryMB; n != nil {
		if c.MemoryMB = *n; *n < 16 || *n > mostMemoryMB {
			return nil, bad("limits.memory_mb", "%d is outside 16 to %d", *n, mostMemoryMB)
		}
	}
	if n := f.Limits.Sockets; n != nil {
		if c.Sockets = *n; *n < leastSockets || *n > mostSockets {
			return nil, bad("limits.sockets", "%d is outside %d to %d", *n, leastSockets, mostSockets)
		}
	}
	c.Buffers = int(bufferShare * float64(c.MemoryMB<<20))
	if err := c.settings(f.Settings); err != nil {
		return nil, err
	}
	// A query may ask all servers at once. Guards against a fleet where some stay without a connection.
	all := float64(c.Sockets)
	c.ServerConns = int(min(max(serverShare*all, serverConns*float64(c.Settings.Cells)), serverMost*all))
	c.ClientConns = min(int((1-spareShare)*all), c.Sockets-spareLeast) - c.ServerConns
	if c.IdleConns = int(idleShare * all); c.Control != "" {
		c.ClientConns = max(c.ClientConns-control.Callers, clientLeast)
	}
	c.IdleConns = min(c.IdleConns, c.ClientConns/2)
	if f.Known != nil {
		if c.Known, err = c.Names.List(*f.Known); err != nil {
			return nil, bad("known", "%v", err)
		}
		c.Version = f.Known.Version
	}
	c.Known.Mode = decision.ListCached
	return c, nil
}

// Reload reads the file again and checks it whole. In a running broker only discovery can change; what else
// differs is named and waits for a start. An address that the file has changed wins over the environment's,
// which is that of the start. After an error the old configuration holds.
func (c *Config) Reload() (next *Config, waiting []string, err error) {
	n, err := Load(c.getenv)
	if err != nil {
		return nil, nil, err
	}
	held := *c
	if n.file.Discovery != c.file.Discovery {
		if err := checkAddr("discovery", n.file.Discovery); err != nil {
			return nil, nil, err
		}
		held.Discovery, held.file.Discovery = n.file.Discovery, n.file.Discovery
	}
	for _, d := range []struct {
		key     string
		differs bool
	}{
		{"name", n.Name != c.Name},
		{"listen", n.Listen != c.Listen},
		{"control", n.Control != c.Control},
		{"limits", n.MemoryMB != c.MemoryMB || n.Sockets != c.Sockets},
		{"settings", !bytes.Equal(n.file.Settings, c.file.Settings)},
	} {
		if d.differs {
			waiting = append(waiting, d.key)
		}
	}
	return &held, waiting, nil
}

func checkAddr(key, addr string) error {
	if addr == "" {
		return bad(key, "is missing")
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return bad(key, "%v", err)
	}
	return nil
}

// settings reads the settings, of which the module's part as the adapter does.
func (c *Config) settings(text json.RawMessage) (err error) {
	if len(text) == 0 {
		return bad("settings", "is missing")
	}
	if c.Settings, err = wire.ParseSettings(string(text)); err != nil {
		return bad("settings", "%v", err)
	}
	// A part's attempts are never out together here, even where the platform bears it. The module must know: one that
	// counts on copies waits for them beside an attempt that is lost.
	c.Settings.MayCopy = false
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return bad("settings", "%v", err)
	}
	if len(s.Classes) == 0 {
		return bad("settings.classes", "is missing or empty")
	}
	c.Classes = map[string]int{}
	for i, class := range s.Classes {
		if _, twice := c.Classes[class.Name]; class.Name == "" || twice {
			return bad(fmt.Sprintf("settings.classes[%d].name", i), "%q is empty or stands twice", class.Name)
		}
		if err := c.class(i); err != nil {
			return err
		}
		c.Classes[class.Name] = i
	}
	if c.Settings.Cells <= 0 || c.Settings.Cells > mostSockets {
		return bad("settings.familyInfo.cells", "%d is outside 1 to %d", c.Settings.Cells, mostSockets)
	}
	if t := c.Settings.Tick; t < 0 || t > 1 {
		return bad("settings.tickS", "%g is outside 0 to 1", t)
	}
	if t := c.Settings.MaxWait; t < 0 || t > mostSeconds {
		return bad("settings.caps.maxRetryAfterS", "%g is outside 0 to %g", t, mostSeconds)
	}
	if c.OpenCap, c.Shards = s.Caps.OpenCap, s.Family.Shards; c.OpenCap < 0 {
		return bad("settings.caps.openCap", "%d is negative", c.OpenCap)
	}
	c.Names = discovery.Names{Zones: s.Zones, Kinds: s.Kinds}
	if n := s.Caps.Streams; n != nil {
		if c.Streams = *n; *n < 1 {
			return bad("settings.caps.streamsPerConn", "%d is below 1", *n)
		}
	}
	for _, d := range []struct {
		key string
		v   *float64
		to  *time.Duration
	}{
		{"settings.caps.connIdleS", s.Caps.ConnIdle, &c.ConnIdle},
		{"settings.caps.connectTimeoutS", s.Caps.ConnectTimeout, &c.ConnectTimeout},
	} {
		if d.v == nil {
			continue
		}
		if !(*d.v > 0 && *d.v <= mostSeconds) {
			return bad(d.key, "%g is outside 0 to %g, or 0", *d.v, mostSeconds)
		}
		*d.to = max(time.Duration(*d.v*float64(time.Second)), time.Millisecond) // nothing would be no limit
	}
	return nil
}

// class checks a class. One that names no aim is wanted within its deadline.
func (c *Config) class(i int) error {
	class := &c.Settings.Classes[i]
	key := func(name string) string { return fmt.Sprintf("settings.classes[%d].%s", i, name) }
	if !(class.Deadline > 0 && class.Deadline <= mostSeconds) {
		return bad(key("deadlineS"), "%g is outside 0 to %g, or 0", class.Deadline, mostSeconds)
	}
	if class.Aim < 0 || class.Aim > mostSeconds {
		return bad(key("objectiveS"), "%g is outside 0 to %g", class.Aim, mostSeconds)
	}
	class.Aim = cmp.Or(class.Aim, class.Deadline)
	if !(class.Need > 0 && class.Need <= 1) {
		return bad(fmt.Sprintf("settings.familyInfo.needByClass[%d]", i), "%g is outside 0 to 1, or 0", class.Need)
	}
	if !(class.Floor >= 0 && class.Floor <= 1) {
		return bad(fmt.Sprintf("settings.familyInfo.classFloor[%d]", i), "%g is outside 0 to 1", class.Floor)
	}
	return nil
}
