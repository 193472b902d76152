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

	"mothrouter/internal/admin"
	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/endpoints/discovery"
)

// Config is all that a broker is told.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	AdminAddress string // where operators call; "": nowhere
	AcceptFD     int    // the listening socket that the process inherited; 0: it opens its own
	Seed         uint64
	MemoryMB     int
	Sockets      int

	MaxClientConns   int // client connections held at most; requests need a third of the descriptors
	MaxIdleConns     int // of them between requests at most
	MaxServerConns   int // connections to record servers held at most
	MaxBufferedBytes int // bytes of requests held at most

	Settings        decision.Settings
	Classes         map[string]int // class by name
	NameTable       discovery.NameTable
	CachedEndpoints broker.EndpointUpdate // the list as last known
	CachedVersion   int64                 // its version

	ConcurrencyLimit int
	Shards           int
	MaxStreams       int
	ConnIdleTimeout  time.Duration
	ConnectTimeout   time.Duration

	getenv func(string) string
	file   mainFile // as read
}

const (
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	minMemoryMB      = 16
	minSockets       = 64
	maxSockets       = 1 << 20
	maxMemoryMB      = 1 << 20
	firstInheritedFD = 3   // behind the standard streams
	maxSeconds       = 1e6 // of any time

	idleFraction       = 1. / 6 // of the descriptors: half of what clients hold at most for requests
	spareFraction      = 1. / 8 // of the descriptors, for the watch, the listener and what just closes,
	minSpare           = 16     // and so many at least: 6 of the process, 4 calls to discovery, 1 accepted, 4 turned away
	minClientConns     = 8      // connections of clients
	serverFraction     = 3. / 8 // of the descriptors at least; clients have the rest
	maxServerFraction  = 1. / 2 // of the descriptors, where there are more servers than that
	connsPerReplicaSet = 9. / 8 // of the cells: a server has one, and parts that must not run twice go alone
	bufferFraction     = 1. / 8 // of the memory
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

// OverloadRetryAfter is when a client that finds no room should come back; 0: the settings have no such word.
func (c *Config) OverloadRetryAfter() float64 {
	if c.Settings.RetryAfterSupported {
		return c.Settings.MaxRetryAfter
	}
	return 0
}

// mainFile is PROXY_CONFIG.
type mainFile struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Control string `json:"control"`
	Seed    string `json:"seed"`
	Limits  struct {
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int `json:"sockets"`
	} `json:"limits"`
	Known *discovery.Message `json:"known"`
	revisableKeys
}

// revisableKeys is what PROXY_CONFIG and a revision's document have in common.
type revisableKeys struct {
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

// Load reads the environment, by getenv, and the file that PROXY_CONFIG names. The environment's name and addresses win over
// the file's. Its errors name the key.
func Load(getenv func(string) string) (*Config, error) {
	f, err := readMainFile(getenv("PROXY_CONFIG"))
	if err != nil {
		return nil, err
	}
	c := defaults()
	c.getenv, c.file = getenv, f
	for _, step := range []func() error{c.readAddresses, c.readAcceptFD, c.readSeed, c.readLimits} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if err := c.readSettings(f.Settings); err != nil {
		return nil, err
	}
	c.divideDescriptors()
	if err := c.readCachedEndpoints(); err != nil {
		return nil, err
	}
	return c, nil
}

// readMainFile reads the file that PROXY_CONFIG names.
func readMainFile(path string) (f mainFile, err error) {
	if path == "" {
		return f, keyError("PROXY_CONFIG", "is not set")
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &f)
	}
	if err != nil {
		return f, keyError("PROXY_CONFIG", "%v", err)
	}
	return f, nil
}

// readAddresses takes the name and the addresses.
func (c *Config) readAddresses() error {
	c.Name, c.Listen, c.Discovery, c.AdminAddress = c.file.Name, c.file.Listen, c.file.Discovery, c.file.Control
	for key, v := range map[string]*string{
		"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery, "PROXY_CONTROL": &c.AdminAddress,
	} {
		if s := c.getenv(key); s != "" {
			*v = s
		}
	}
	if err := checkAddr("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddr("discovery", c.Discovery); err != nil {
		return err
	}
	if c.AdminAddress == "" {
		return nil
	}
	return checkAddr("control", c.AdminAddress)
}

// readAcceptFD takes the inherited listening socket.
func (c *Config) readAcceptFD() (err error) {
	fd := c.getenv("PROXY_ACCEPT_FD")
	if fd == "" {
		return nil
	}
	if c.AcceptFD, err = strconv.Atoi(fd); err != nil || c.AcceptFD < firstInheritedFD {
		return keyError("PROXY_ACCEPT_FD", "%q is no descriptor that a process can inherit", fd)
	}
	return nil
}

// readSeed takes the seed of random numbers.
func (c *Config) readSeed() (err error) {
	if c.file.Seed == "" {
		return nil
	}
	if c.Seed, err = strconv.ParseUint(c.file.Seed, 16, 64); err != nil {
		return keyError("seed", "cannot read %q as 16 hex digits", c.file.Seed)
	}
	return nil
}

// readLimits takes the limits of memory and descriptors.
func (c *Config) readLimits() error {
	if n := c.file.Limits.MemoryMB; n != nil {
		if c.MemoryMB = *n; *n < minMemoryMB || *n > maxMemoryMB {
			return keyError("limits.memory_mb", "%d is outside %d to %d", *n, minMemoryMB, maxMemoryMB)
		}
	}
	if n := c.file.Limits.Sockets; n != nil {
		if c.Sockets = *n; *n < minSockets || *n > maxSockets {
			return keyError("limits.sockets", "%d is outside %d to %d", *n, minSockets, maxSockets)
		}
	}
	c.MaxBufferedBytes = int(bufferFraction * float64(c.MemoryMB<<20))
	return nil
}

// divideDescriptors divides the descriptors over clients and record servers. A query may go to all servers at once: it
// guards against a fleet where some stay without a connection.
func (c *Config) divideDescriptors() {
	all := float64(c.Sockets)
	wanted := max(serverFraction*all, connsPerReplicaSet*float64(c.Settings.ReplicaSets))
	c.MaxServerConns = int(min(wanted, maxServerFraction*all))
	c.MaxClientConns = min(int((1-spareFraction)*all), c.Sockets-minSpare) - c.MaxServerConns
	if c.AdminAddress != "" {
		c.MaxClientConns = max(c.MaxClientConns-admin.Callers, minClientConns)
	}
	c.MaxIdleConns = min(int(idleFraction*all), c.MaxClientConns/2)
}

// readCachedEndpoints takes the endpoint list as last known.
func (c *Config) readCachedEndpoints() (err error) {
	if c.file.Known != nil {
		if c.CachedEndpoints, err = c.NameTable.EndpointUpdate(*c.file.Known); err != nil {
			return keyError("known", "%v", err)
		}
		c.CachedVersion = c.file.Known.Version
	}
	c.CachedEndpoints.Mode = decision.CachedUpdate
	return nil
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
		{"control", n.AdminAddress != c.AdminAddress},
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
