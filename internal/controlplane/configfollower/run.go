package configfollower

import (
	"context"
	"sync"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// Run follows the control machines until ctx ends. It returns once all its goroutines have ended, and must be called at most
// once.
func (c *Client) Run(ctx context.Context) {
	r := runner{
		client:    c,
		revisions: make(chan *configpb.Revision, 1),
		statusLog: newStatusLogger(c.options.Log, time.Now()),
	}
	defer r.goroutines.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.goroutines.Go(func() { c.applyRevisions(ctx, r.revisions) })
	defer func() { r.stream.close() }()
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
		ready, status, nextTick := c.poll()
		r.perform(ctx, ready)
		r.statusLog.logStatus(time.Now(), status)
		timer.Reset(time.Until(nextTick))
	}
}

// runner is the state of one call of Run.
type runner struct {
	client     *Client
	goroutines sync.WaitGroup
	revisions  chan *configpb.Revision // capacity 1: the follower returns one revision at a time to apply
	stream     *stream                 // the latest stream; nil: none has been opened
	statusLog  *statusLogger
}

// perform executes the follower's pending actions in the order that distribution.Ready specifies.
func (r *runner) perform(ctx context.Context, ready distribution.Ready) {
	if ready.Close != 0 {
		r.stream.close()
	}
	if ready.Open != nil {
		r.stream.close() // the previous stream may already have ended
		opened := newStream(ctx, *ready.Open)
		r.stream = opened
		r.goroutines.Go(func() { r.client.runStream(ctx, opened) })
	}
	if ready.Report != nil {
		r.stream.sendReport(ready.Report)
	}
	if ready.Apply != nil {
		r.revisions <- ready.Apply
	}
}

// applyRevisions applies revisions one at a time until ctx ends, and posts the outcome of each.
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
