// Package config alone reads, checks and defaults the configuration. Its errors name the faulty key.
package config

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/control"
	"mothrouter/internal/decision"
	"mothrouter/internal/discovery"
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

	MaxClientConns   int // client connections held at most; requests need a third of the descriptors
	MaxIdleConns     int // of them between requests at most
	MaxServerConns   int // connections to record servers held at most
	MaxBufferedBytes int // bytes of requests held at most

	Settings  decision.Settings
	Classes   map[string]int // class by name
	NameTable discovery.NameTable
	Known     broker.EndpointUpdate // the list as last known
	Version   int64                 // its version

	ConcurrencyLimit int
	Shards           int
	MaxStreams       int
	ConnIdleTimeout  time.Duration
	ConnectTimeout   time.Duration

	getenv func(string) string
	file   file // as read
}

const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64
	maxSockets      = 1 << 20
	maxMemoryMB     = 1 << 20
	maxSeconds      = 1e6 // of any time

	idleFraction      = 1. / 6 // of the descriptors: half of what clients hold at most for requests
	spareFraction     = 1. / 8 // of the descriptors, for the watch, the listener and what just closes,
	minSpare          = 16     // and so many at least: 6 of the process, 4 calls to discovery, 1 accepted, 4 turned away
	minClientConns    = 8      // connections of clients
	serverFraction    = 3. / 8 // of the descriptors at least; clients have the rest
	maxServerFraction = 1. / 2 // of the descriptors, where there are more servers than that
	connsPerServer    = 9. / 8 // of the cells: a server has one, and parts that must not run twice go alone
	bufferFraction    = 1. / 8 // of the memory
)

// ClassDeadlines is, by class, how long a client waits that does not say so.
func (c *Config) ClassDeadlines() (p []time.Duration) {
	for _, class := range c.Settings.Classes {
		p = append(p, time.Duration(class.Deadline*float64(time.Second)))
	}
	return p
}

// LongestDeadline is the longest time that a client waits, by the settings.
func (c *Config) LongestDeadline() time.Duration { return slices.Max(c.ClassDeadlines()) }

// RetryAfter is when a client that finds no room should come back; 0: the settings have no such word.
func (c *Config) RetryAfter() float64 {
	if c.Settings.RetryAfterSupported {
		return c.Settings.MaxRetryAfter
	}
	return 0
}

// file is PROXY_CONFIG.
type file struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Control string `json:"control"`
	Seed    string `json:"seed"`
	Limits  struct {
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int `json:"sockets"`
	} `json:"limits"`
	Known *discovery.Message `json:"known"`
	inService
}

// inService is what PROXY_CONFIG and a revision's document have in common.
type inService struct {
	Discovery string          `json:"discovery"`
	Settings  json.RawMessage `json:"settings"`
}

// defaults is a configuration that says nothing.
func defaults() *Config {
	return &Config{
		MemoryMB: defaultMemoryMB, Sockets: defaultSockets,
		ConnIdleTimeout: 15 * time.Second, ConnectTimeout: 250 * time.Millisecond, MaxStreams: 1,
	}
}

// Load reads the environment, by getenv, and the file that PROXY_CONFIG names. The environment's
// name and addresses win over the file's.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, keyError("PROXY_CONFIG", "is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError("PROXY_CONFIG", "%v", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, keyError("PROXY_CONFIG", "%v", err)
	}
	c := defaults()
	c.Name, c.Listen, c.Discovery, c.Control, c.getenv, c.file = f.Name, f.Listen, f.Discovery, f.Control, getenv, f
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
			return nil, keyError("PROXY_ACCEPT_FD", "%q is no descriptor that a process can inherit", fd)
		}
	}
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, keyError("seed", "cannot read %q as 16 hex digits", f.Seed)
		}
	}
	if n := f.Limits.MemoryMB; n != nil {
		if c.MemoryMB = *n; *n < 16 || *n > maxMemoryMB {
			return nil, keyError("limits.memory_mb", "%d is outside 16 to %d", *n, maxMemoryMB)
		}
	}
	if n := f.Limits.Sockets; n != nil {
		if c.Sockets = *n; *n < minSockets || *n > maxSockets {
			return nil, keyError("limits.sockets", "%d is outside %d to %d", *n, minSockets, maxSockets)
		}
	}
	c.MaxBufferedBytes = int(bufferFraction * float64(c.MemoryMB<<20))
	if err := c.settings(f.Settings); err != nil {
		return nil, err
	}
	// A query may ask all servers at once. Guards against a fleet where some stay without a connection.
	all := float64(c.Sockets)
	c.MaxServerConns = int(min(max(serverFraction*all, connsPerServer*float64(c.Settings.ReplicaSets)), maxServerFraction*all))
	c.MaxClientConns = min(int((1-spareFraction)*all), c.Sockets-minSpare) - c.MaxServerConns
	if c.MaxIdleConns = int(idleFraction * all); c.Control != "" {
		c.MaxClientConns = max(c.MaxClientConns-control.Callers, minClientConns)
	}
	c.MaxIdleConns = min(c.MaxIdleConns, c.MaxClientConns/2)
	if f.Known != nil {
		if c.Known, err = c.NameTable.EndpointUpdate(*f.Known); err != nil {
			return nil, keyError("known", "%v", err)
		}
		c.Version = f.Known.Version
	}
	c.Known.Mode = decision.CachedUpdate
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
		return keyError(key, "is missing")
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return keyError(key, "%v", err)
	}
	return nil
}
