package config

import "mothrouter/internal/admin"

// Bounds of the configurable limits.
const (
	minMemoryLimitMiB = 16
	maxMemoryLimitMiB = 1 << 20
	minOpenFilesLimit = 64
	maxOpenFilesLimit = 1 << 20
)

// Division of the descriptors and of the memory.
const (
	// serverFraction is the minimum fraction of the descriptors for record servers. Clients get the rest.
	serverFraction = 3. / 8
	// maxServerFraction is the maximum fraction of the descriptors for record servers, however many replica sets there are.
	maxServerFraction = 1. / 2
	// connsPerReplicaSet is above 1 because each server has one connection, plus a separate one for each non-idempotent part.
	connsPerReplicaSet = 9. / 8
	// reservedFraction is the fraction of the descriptors for the endpoint watch, the listener and connections that are closing.
	reservedFraction = 1. / 8
	// minReserved is the minimum number of descriptors that reservedFraction reserves: 6 for the process itself, 4 for calls to
	// discovery, 1 for a connection that was just accepted, 4 for connections being rejected over capacity, and 1 in reserve.
	minReserved = 16
	// minClientConns is the number of connections that remain for clients, whichever features are enabled.
	minClientConns = 8
	// idleFraction is the maximum fraction of the descriptors for idle client connections: about half of the minimum that
	// clients get.
	idleFraction = 1. / 6
	// bufferFraction is the fraction of the memory for buffering requests in flight.
	bufferFraction = 1. / 8
)

// readLimits sets the limits of memory and descriptors, and MaxBufferedBytes.
func (c *Config) readLimits() error {
	if limit := c.file.Limits.MemoryMB; limit != nil {
		if err := checkRange("limits.memory_mb", *limit, minMemoryLimitMiB, maxMemoryLimitMiB); err != nil {
			return err
		}
		c.MemoryLimitMiB = *limit
	}
	if limit := c.file.Limits.Sockets; limit != nil {
		if err := checkRange("limits.sockets", *limit, minOpenFilesLimit, maxOpenFilesLimit); err != nil {
			return err
		}
		c.MaxOpenFiles = *limit
	}
	c.MaxBufferedBytes = int(bufferFraction * float64(c.MemoryLimitMiB<<20))
	return nil
}

// divideDescriptors divides the descriptors between clients and record servers. A query may go to all replica sets at once, so
// record servers get a larger part if there are many replica sets; otherwise some of them would have no connection.
func (c *Config) divideDescriptors() {
	total := float64(c.MaxOpenFiles)
	wanted := max(serverFraction*total, connsPerReplicaSet*float64(c.Settings.ReplicaSets))
	c.MaxServerConns = int(min(wanted, maxServerFraction*total))
	c.MaxClientConns = min(int((1-reservedFraction)*total), c.MaxOpenFiles-minReserved) - c.MaxServerConns
	if c.AdminAddress != "" {
		c.MaxClientConns = max(c.MaxClientConns-admin.MaxConns, minClientConns)
	}
	c.MaxIdleConns = min(int(idleFraction*total), c.MaxClientConns/2)
}
