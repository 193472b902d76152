// Package config reads and validates the configuration and applies its defaults; no other package does. It covers the file
// named by PROXY_CONFIG and the environment variables that override it, the operator files that enable optional features, and
// the documents of configuration revisions. Errors are of type *KeyError.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"os"
	"slices"
	"strconv"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/endpoints/discovery"
)

// Config is the configuration of a broker. It is created by Load.
type Config struct {
	Name           string // name of the broker
	Listen         string // address host:port for clients
	Discovery      string // address host:port of the discovery service
	AdminAddress   string // address host:port for operators; "": none
	AcceptFD       int    // descriptor of an inherited listening socket; 0: the process opens its own
	Seed           uint64 // seed of the random number generator
	MemoryLimitMiB int    // memory limit in MiB, from limits.memory_mb
	MaxOpenFiles   int    // limit on open file descriptors, from limits.sockets

	MaxClientConns   int // limit on client connections
	MaxIdleConns     int // limit on client connections that are waiting for their next request
	MaxServerConns   int // limit on connections to record servers
	MaxBufferedBytes int // limit on bytes buffered for requests in flight

	Settings        decision.Settings
	Classes         map[string]int // class name to index in Settings.Classes
	NameTable       discovery.NameTable
	CachedEndpoints broker.EndpointUpdate // the endpoint list in the file, which may be out of date
	CachedVersion   int64                 // version of CachedEndpoints

	ConcurrencyLimit int           // limit on queries and parts in flight; 0: no limit
	Shards           int           // number of shards
	MaxStreams       int           // limit on concurrent calls on one connection to a record server
	ConnIdleTimeout  time.Duration // idle time after which a connection to a record server is closed
	ConnectTimeout   time.Duration // timeout for connecting to a record server

	getenv func(string) string
	file   mainFile // as parsed, without the overrides of the environment
}

const (
	defaultMemoryLimitMiB = 192
	defaultMaxOpenFiles   = 1024
	defaultConnIdle       = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
	defaultMaxStreams     = 1

	firstInheritedFD = 3   // the first descriptor after the standard streams
	maxSeconds       = 1e6 // upper bound of all times in the settings: eleven days, far below an overflow of time.Duration
)

// mainFile is the JSON file named by PROXY_CONFIG.
type mainFile struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Control string `json:"control"`
	Seed    string `json:"seed"` // up to 16 hex digits
	Limits  struct {
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int `json:"sockets"`
	} `json:"limits"`
	Known *discovery.Message `json:"known"`
	revisableKeys
}

// revisableKeys are the keys that the file named by PROXY_CONFIG shares with the document of a revision.
type revisableKeys struct {
	Discovery string          `json:"discovery"`
	Settings  json.RawMessage `json:"settings"`
}

// defaults returns the configuration before any key has been read.
func defaults() *Config {
	return &Config{
		MemoryLimitMiB: defaultMemoryLimitMiB, MaxOpenFiles: defaultMaxOpenFiles,
		ConnIdleTimeout: defaultConnIdle, ConnectTimeout: defaultConnectTimeout, MaxStreams: defaultMaxStreams,
	}
}

// Load reads the environment variables through getenv, and the file named by PROXY_CONFIG. The name and the addresses in the
// environment take precedence over those in the file. Errors are of type *KeyError.
func Load(getenv func(string) string) (*Config, error) {
	file, err := readMainFile(getenv("PROXY_CONFIG"))
	if err != nil {
		return nil, err
	}
	c := defaults()
	c.getenv, c.file = getenv, file
	for _, step := range []func() error{c.readAddresses, c.readAcceptFD, c.readSeed, c.readLimits} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if err := c.readSettings(file.Settings); err != nil {
		return nil, err
	}
	c.divideDescriptors()
	if err := c.readCachedEndpoints(); err != nil {
		return nil, err
	}
	return c, nil
}

// readMainFile reads and parses the file named by PROXY_CONFIG.
func readMainFile(path string) (file mainFile, err error) {
	if path == "" {
		return file, missingKey("PROXY_CONFIG", "the path of a JSON file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return file, unreadable("PROXY_CONFIG", path, "a readable file", err)
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return file, unreadable("PROXY_CONFIG", path, "a JSON file with values of the right types", err)
	}
	return file, nil
}

// readAddresses sets the broker's name and the addresses, and checks the addresses.
func (c *Config) readAddresses() error {
	c.Name = c.envOr("PROXY_NAME", c.file.Name)
	c.Listen = c.envOr("PROXY_LISTEN", c.file.Listen)
	c.Discovery = c.envOr("PROXY_DISCOVERY", c.file.Discovery)
	c.AdminAddress = c.envOr("PROXY_CONTROL", c.file.Control)
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

// envOr returns the value of an environment variable, or the value from the file if the variable is unset or empty.
func (c *Config) envOr(variable, fromFile string) string {
	return cmp.Or(c.getenv(variable), fromFile)
}

// readAcceptFD sets AcceptFD from the environment.
func (c *Config) readAcceptFD() error {
	text := c.getenv("PROXY_ACCEPT_FD")
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return notAllowed("PROXY_ACCEPT_FD", text, "a descriptor that a process can inherit, %d or more", firstInheritedFD)
	}
	c.AcceptFD = fd
	return nil
}

// readSeed sets the seed of the random number generator.
func (c *Config) readSeed() error {
	if c.file.Seed == "" {
		return nil
	}
	seed, err := strconv.ParseUint(c.file.Seed, 16, 64)
	if err != nil {
		return notAllowed("seed", c.file.Seed, "up to 16 hex digits")
	}
	c.Seed = seed
	return nil
}

// readCachedEndpoints sets CachedEndpoints and CachedVersion from the endpoint list in the file.
func (c *Config) readCachedEndpoints() (err error) {
	if c.file.Known != nil {
		if c.CachedEndpoints, err = c.NameTable.EndpointUpdate(*c.file.Known); err != nil {
			return cachedEndpointsError(err)
		}
		c.CachedVersion = c.file.Known.Version
	}
	c.CachedEndpoints.Mode = decision.CachedUpdate
	return nil
}

// cachedEndpointsError converts an error of the cached endpoint list to a *KeyError.
func cachedEndpointsError(err error) error {
	if entryErr := (*discovery.EntryError)(nil); errors.As(err, &entryErr) {
		return notAllowed("known."+entryErr.Key, entryErr.Value, "%s", entryErr.Allowed)
	}
	return unreadable("known", entryCount(0), "an endpoint list", err)
}

// ClassDeadlines returns the default deadline of each class, for queries whose client sets no deadline.
func (c *Config) ClassDeadlines() []time.Duration {
	var deadlines []time.Duration
	for _, class := range c.Settings.Classes {
		deadlines = append(deadlines, seconds(class.Deadline))
	}
	return deadlines
}

// LongestDeadline returns the longest default deadline of all classes.
func (c *Config) LongestDeadline() time.Duration { return slices.Max(c.ClassDeadlines()) }

// OverloadRetryAfter returns the Retry-After, in seconds, of requests rejected for lack of capacity. It is 0 if the platform
// does not support Retry-After.
func (c *Config) OverloadRetryAfter() float64 {
	if c.Settings.RetryAfterSupported {
		return c.Settings.MaxRetryAfter
	}
	return 0
}
