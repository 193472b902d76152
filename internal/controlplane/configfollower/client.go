// Package configfollower implements the configuration follower, the broker's client of the control plane. It drives
// distribution.Follower over gRPC, with one stream to one control machine at a time, and applies the newest revision of
// the configuration to the broker.
package configfollower

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// Options are the options of New.
type Options struct {
	Name      string    // of the broker, 1 to 128 bytes
	StartedAt time.Time // start of this process; Name and StartedAt identify the instance
	Zone      string    // "": not configured
	Region    string    // "": not configured
	Machines  []distribution.ControlMachine
	FleetSize int    // number of brokers in the fleet; scales the backoff, see package backoff
	Seed      uint64 // of the random delays; must differ between brokers
	Log       *slog.Logger

	// Apply puts a revision in force atomically. It returns nil on success, or a rejection with the invalid key of the
	// document; the previous revision then stays in force. It is not called concurrently, and may wait for the broker's
	// event loop. It must also return after Run's context has ended.
	Apply func(*configpb.Revision) *configpb.Refusal
}

// Client keeps a broker at the newest revision. Create it with New. Its methods are safe for concurrent use.
type Client struct {
	options Options
	events  chan event

	mu       sync.Mutex // guards follower, which is not safe for concurrent use
	follower *distribution.Follower
}

// event is a call of a method of the follower, posted by one of Run's goroutines.
type event func(now time.Time, follower *distribution.Follower)

// New returns a client, which has to be started with Run. Its errors are those of distribution.NewFollower.
func New(options Options) (*Client, error) {
	follower, err := distribution.NewFollower(time.Now(), distribution.FollowerOptions{
		Name:            options.Name,
		StartedAt:       options.StartedAt,
		Zone:            options.Zone,
		Region:          options.Region,
		ControlMachines: options.Machines,
		FleetSize:       options.FleetSize,
		Seed:            options.Seed,
	})
	if err != nil {
		return nil, err
	}
	return &Client{options: options, events: make(chan event), follower: follower}, nil
}

// Status returns a snapshot of the follower's state.
func (c *Client) Status() distribution.FollowerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Status(time.Now())
}

// SetFleetSize sets the number of brokers in the fleet, which scales the next backoff.
func (c *Client) SetFleetSize(brokers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.SetFleetSize(brokers)
}

// handleEvent passes an event to the follower.
func (c *Client) handleEvent(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e(time.Now(), c.follower)
}

// poll returns the follower's pending actions, its status and the time of its next tick.
func (c *Client) poll() (distribution.Ready, distribution.FollowerStatus, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.follower.Ready(now), c.follower.Status(now), c.follower.NextTick()
}

// post passes an event to Run, or drops it once ctx has ended.
func (c *Client) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}
