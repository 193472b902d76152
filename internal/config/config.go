// Package config alone reads, checks and defaults the configuration: the file of PROXY_CONFIG with its environment, the
// operator files that switch features on, and the documents of revisions. Errors are of type *KeyError.
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

// Config is the configuration of a broker. Make it with Load.
type Config struct {
	Name         string // of the broker
	Listen       string // address host:port for clients
	Discovery    string // address host:port of discovery
	AdminAddress string // address host:port for operators; "": none
	AcceptFD     int    // descriptor of the listening socket that the process inherited; 0: it opens its own
	Seed         uint64 // of random numbers
	MemoryMB     int    // limit of memory, in MiB
	Sockets      int    // limit of descriptors

	MaxClientConns   int // client connections
	MaxIdleConns     int // client connections that wait for their next request
	MaxServerConns   int // connections to record servers
	MaxBufferedBytes int // bytes of requests in flight

	Settings        decision.Settings
	Classes         map[string]int // index in Settings.Classes by name
	NameTable       discovery.NameTable
	CachedEndpoints broker.EndpointUpdate // the endpoint list that the file holds, perhaps an old one
	CachedVersion   int64                 // of CachedEndpoints

	ConcurrencyLimit int           // queries and parts in flight; 0: no limit
	Shards           int           // number of shards
	MaxStreams       int           // calls in flight on a connection to a record server
	ConnIdleTimeout  time.Duration // of a connection to a record server
	ConnectTimeout   time.Duration // of a connection to a record server

	getenv func(string) string
	file   mainFile // as read
}

const (
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultConnIdle       = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
	defaultMaxStreams     = 1

	firstInheritedFD = 3   // after the standard streams
	maxSeconds       = 1e6 // of any time in the settings: eleven days, far below an overflow of time.Duration
)

// mainFile is the file of PROXY_CONFIG.
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

// revisableKeys are the keys that the file of PROXY_CONFIG shares with the document of a revision.
type revisableKeys struct {
	Discovery string          `json:"discovery"`
	Settings  json.RawMessage `json:"settings"`
}

// defaults returns a configuration without any key set.
func defaults() *Config {
	return &Config{
		MemoryMB: defaultMemoryMB, Sockets: defaultSockets,
		ConnIdleTimeout: defaultConnIdle, ConnectTimeout: defaultConnectTimeout, MaxStreams: defaultMaxStreams,
	}
}

// Load reads the environment, by getenv, and the file that PROXY_CONFIG names. The environment's name and addresses take
// precedence over the file's. Errors are of type *KeyError.
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

// readMainFile reads the file that PROXY_CONFIG names.
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

// readAddresses sets the name and the addresses.
func (c *Config) readAddresses() error {
	c.Name = c.firstSet("PROXY_NAME", c.file.Name)
	c.Listen = c.firstSet("PROXY_LISTEN", c.file.Listen)
	c.Discovery = c.firstSet("PROXY_DISCOVERY", c.file.Discovery)
	c.AdminAddress = c.firstSet("PROXY_CONTROL", c.file.Control)
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

// firstSet returns the value of an environment variable, or that of the file if the variable is not set.
func (c *Config) firstSet(variable, fromFile string) string {
	return cmp.Or(c.getenv(variable), fromFile)
}

// readAcceptFD sets the descriptor of the inherited listening socket.
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

// readSeed sets the seed of random numbers.
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

// readCachedEndpoints sets the endpoint list that the file holds.
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

// cachedEndpointsError names the key of an endpoint that is not allowed.
func cachedEndpointsError(err error) error {
	if fault := (*discovery.EntryError)(nil); errors.As(err, &fault) {
		return notAllowed("known."+fault.Key, fault.Value, "%s", fault.Allowed)
	}
	return unreadable("known", entryCount(0), "an endpoint list", err)
}

// ClassDeadlines returns, by class, the deadline of a query whose client names none.
func (c *Config) ClassDeadlines() []time.Duration {
	var deadlines []time.Duration
	for _, class := range c.Settings.Classes {
		deadlines = append(deadlines, seconds(class.Deadline))
	}
	return deadlines
}

// LongestDeadline returns the longest deadline of a class.
func (c *Config) LongestDeadline() time.Duration { return slices.Max(c.ClassDeadlines()) }

// OverloadRetryAfter returns the Retry-After of an answer over capacity, in seconds; 0: the platform has no Retry-After.
func (c *Config) OverloadRetryAfter() float64 {
	if c.Settings.RetryAfterSupported {
		return c.Settings.MaxRetryAfter
	}
	return 0
}
