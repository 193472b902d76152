// Package configfollower drives distribution.Follower over gRPC: it keeps a broker at the newest revision of the
// configuration. It has one stream to one control machine at a time.
package configfollower

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// Options are what a client is started with.
type Options struct {
	Name      string    // of the broker
	StartedAt time.Time // of this process
	Zone      string
	Region    string
	Machines  []distribution.Machine
	FleetSize int    // brokers of the fleet, by which waits are spread
	Seed      uint64 // of the waits: brokers need different ones
	Log       *slog.Logger

	// Apply puts a revision in force whole, or returns why it cannot, by the key that is at fault: then the one before
	// stays in force. It is called by one goroutine, one at a time, and may wait for the broker's loop. It has to
	// return after Run's context has ended too.
	Apply func(*configpb.Revision) *configpb.Refusal
}

// Client keeps a broker at the newest revision. Make it with New.
type Client struct {
	options Options
	events  chan event

	mu       sync.Mutex // held for no longer than one step of the follower
	follower *distribution.Follower
}

// event is what one of Run's goroutines has to tell the follower.
type event func(now time.Time, follower *distribution.Follower)

// New returns a client that is not running yet. Errors: those of distribution.NewFollower.
func New(opt Options) (*Client, error) {
	follower, err := distribution.NewFollower(time.Now(), distribution.FollowerOptions{
		Name:      opt.Name,
		StartedAt: opt.StartedAt,
		Zone:      opt.Zone,
		Region:    opt.Region,
		Machines:  opt.Machines,
		FleetSize: opt.FleetSize,
		Seed:      opt.Seed,
	})
	if err != nil {
		return nil, err
	}
	return &Client{options: opt, events: make(chan event), follower: follower}, nil
}

// Status returns what the client knows. Any goroutine may call it.
func (c *Client) Status() distribution.FollowerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Status(time.Now())
}

// SetFleetSize takes up how many brokers the fleet has. Any goroutine may call it.
func (c *Client) SetFleetSize(callers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.SetFleetSize(callers)
}

// Run follows control machines until ctx ends, and returns once every goroutine of it has ended. It is called once.
func (c *Client) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	revisions := make(chan *configpb.Revision, 1) // the follower hands out the next one after the answer to this one
	running.Go(func() { c.applyRevisions(ctx, revisions) })
	var current *stream
	defer func() { current.close() }()
	statusLog := newStatusLogger(c.options.Log, time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.handleEvent(e)
		case <-timer.C:
			c.handleEvent(func(now time.Time, f *distribution.Follower) { f.Tick(now) })
		}
		ready, status, wake := c.poll()
		if ready.Close != 0 {
			current.close()
		}
		if ready.Open != nil {
			current.close() // it has ended by itself
			opened := newStream(ctx, *ready.Open)
			current = opened
			running.Go(func() { c.runStream(ctx, opened) })
		}
		if ready.Report != nil {
			current.sendReport(ready.Report)
		}
		if ready.Apply != nil {
			revisions <- ready.Apply
		}
		statusLog.logStatus(time.Now(), status)
		timer.Reset(time.Until(wake))
	}
}

func (c *Client) handleEvent(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e(time.Now(), c.follower)
}

func (c *Client) poll() (distribution.Ready, distribution.FollowerStatus, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.follower.Ready(now), c.follower.Status(now), c.follower.NextTick()
}

// post hands an event to Run, or drops it where ctx has ended.
func (c *Client) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// applyRevisions has revisions applied one at a time until ctx ends.
func (c *Client) applyRevisions(ctx context.Context, revisions <-chan *configpb.Revision) {
	for {
		select {
		case <-ctx.Done():
			return
		case revision := <-revisions:
			rejection := c.options.Apply(revision)
			c.post(ctx, func(now time.Time, f *distribution.Follower) {
				if rejection != nil {
					f.RevisionRejected(now, revision.GetNumber(), rejection.GetKey(), rejection.GetReason())
				} else {
					f.RevisionApplied(now, revision.GetNumber())
				}
			})
		}
	}
}
