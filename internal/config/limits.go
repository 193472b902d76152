package config

import "mothrouter/internal/admin"

// Bounds of the limits that the file may set.
const (
	minMemoryMB = 16
	maxMemoryMB = 1 << 20
	minSockets  = 64
	maxSockets  = 1 << 20
)

// Shares of the descriptors and of the memory.
const (
	// serverFraction of the descriptors at least is for record servers; clients have the rest.
	serverFraction = 3. / 8
	// maxServerFraction is the limit where there are more servers than that.
	maxServerFraction = 1. / 2
	// connsPerReplicaSet is above 1: each server has one connection, and non-idempotent parts have one to themselves.
	connsPerReplicaSet = 9. / 8
	// spareFraction of the descriptors is for the watch, the listener and connections that are closing.
	spareFraction = 1. / 8
	// minSpare is the least number of those: 6 of the process, 4 calls to discovery, 1 just accepted, 4 rejected over
	// capacity, and 1 more.
	minSpare = 16
	// minClientConns remain for clients, whatever is switched on.
	minClientConns = 8
	// idleFraction of the descriptors is the limit of idle client connections: half of what clients have at least.
	idleFraction = 1. / 6
	// bufferFraction of the memory is for requests in flight.
	bufferFraction = 1. / 8
)

// readLimits sets the limits of memory and descriptors.
func (c *Config) readLimits() error {
	if n := c.file.Limits.MemoryMB; n != nil {
		if err := checkRange("limits.memory_mb", *n, minMemoryMB, maxMemoryMB); err != nil {
			return err
		}
		c.MemoryMB = *n
	}
	if n := c.file.Limits.Sockets; n != nil {
		if err := checkRange("limits.sockets", *n, minSockets, maxSockets); err != nil {
			return err
		}
		c.Sockets = *n
	}
	c.MaxBufferedBytes = int(bufferFraction * float64(c.MemoryMB<<20))
	return nil
}

// divideDescriptors divides the descriptors between clients and record servers. A query may go to all replica sets at once,
// so in a large fleet record servers get more: else some would stay without a connection.
func (c *Config) divideDescriptors() {
	all := float64(c.Sockets)
	wanted := max(serverFraction*all, connsPerReplicaSet*float64(c.Settings.ReplicaSets))
	c.MaxServerConns = int(min(wanted, maxServerFraction*all))
	c.MaxClientConns = min(int((1-spareFraction)*all), c.Sockets-minSpare) - c.MaxServerConns
	if c.AdminAddress != "" {
		c.MaxClientConns = max(c.MaxClientConns-admin.MaxCallers, minClientConns)
	}
	c.MaxIdleConns = min(int(idleFraction*all), c.MaxClientConns/2)
}
