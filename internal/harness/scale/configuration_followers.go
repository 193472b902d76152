package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configfollower"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

const followersPollInterval = 20 * time.Millisecond // between two looks at all followers, which are not in counted stretches

// followersCommand is what the parent asks of the followers. One of its parts is set.
type followersCommand struct {
	Start   []distribution.Machine // start all at once, then wait as for InForce 1
	Bytes   int                    // of the document of the start
	Seed    uint64
	InForce uint64 // wait until this revision is in force at all
	Lost    string // wait until all follow another machine than this
	Memory  bool   // measure that
}

// followersAnswer is what the followers have used since the start of their process.
type followersAnswer struct {
	Processor  time.Duration
	StartedAt  int64   // Unix nanoseconds, of the command
	DoneAt     int64   // of when that was so for which it waited
	ReceivedAt []int64 // for InForce: of when the revision was read, of each follower
	AppliedAt  []int64 // and of when it was in force
	Memory     float64 // bytes; 0: not asked for
}

// follower is a hollow broker: it reads, checks and compares each document, as a broker does, and has no core to give
// it to.
type follower struct {
	*configfollower.Client
	start *config.Document

	mu         sync.Mutex
	number     uint64 // in force
	receivedAt int64  // Unix nanoseconds: before it was checked
	appliedAt  int64  // since, Unix nanoseconds
}

func (f *follower) apply(revision *configpb.Revision) *configpb.Refusal {
	came := time.Now().UnixNano()
	document, err := config.ParseDocument(revision.GetDocument())
	if err == nil {
		err = document.Changes(f.start)
	}
	if err != nil {
		return &configpb.Refusal{Number: revision.GetNumber(), Key: "document", Reason: err.Error()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number, f.receivedAt, f.appliedAt = revision.GetNumber(), came, time.Now().UnixNano()
	return nil
}

// inForceSince is when a revision or a later one was read and came into force; 0: not yet.
func (f *follower) inForceSince(number uint64) (came, applied int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.number < number {
		return 0, 0
	}
	return f.receivedAt, f.appliedAt
}

// hasInForce tells that a revision or a later one is in force.
func (f *follower) hasInForce(number uint64) bool {
	_, applied := f.inForceSince(number)
	return applied != 0
}

// followersChild is all followers of a run.
type followersChild struct {
	followers []*follower
	brokers   int
}

// serveFollowers is the main of the child that follows.
func serveFollowers(count int) error {
	fmt.Println(childReady)
	return serveCommands((&followersChild{brokers: count}).handle)
}

func (c *followersChild) handle(command followersCommand) (answer followersAnswer, err error) {
	answer.StartedAt = time.Now().UnixNano()
	switch {
	case command.Start != nil:
		if err = c.start(command); err == nil {
			err = c.waitUntilAll(func(f *follower) bool { return f.hasInForce(1) })
		}
	case command.InForce != 0:
		err = c.waitUntilAll(func(f *follower) bool { return f.hasInForce(command.InForce) })
		for _, f := range c.followers {
			came, applied := f.inForceSince(command.InForce)
			answer.ReceivedAt, answer.AppliedAt = append(answer.ReceivedAt, came), append(answer.AppliedAt, applied)
		}
	case command.Lost != "":
		err = c.waitUntilAll(func(f *follower) bool {
			status := f.Status()
			return status.Control != "" && status.Control != command.Lost && !status.LastReceived.IsZero()
		})
	}
	answer.DoneAt, answer.Processor = time.Now().UnixNano(), processorTime()
	if command.Memory {
		answer.Memory = memoryInUse()
	}
	return answer, err
}

// start starts all followers at once. They lie in the target's zones and regions.
func (c *followersChild) start(command followersCommand) error {
	start, err := config.ParseDocument(newDocument(0, command.Bytes))
	if err != nil {
		return err
	}
	for i := range c.brokers {
		f := &follower{start: start}
		f.Client, err = configfollower.New(configfollower.Options{
			Name: fmt.Sprint("n", i), Started: time.Now(), Region: regionName(i), Zone: fmt.Sprint("zone-", i%TargetZones),
			Control: command.Start, Callers: c.brokers, Seed: command.Seed + uint64(i)*7919, Log: discardLog, Apply: f.apply,
		})
		if err != nil {
			return err
		}
		c.followers = append(c.followers, f)
	}
	for _, f := range c.followers {
		go f.Run(context.Background()) // until the process ends
	}
	return nil
}

// waitUntilAll waits until something holds of all followers.
func (c *followersChild) waitUntilAll(holds func(*follower) bool) error {
	for end := time.Now().Add(followersTimeout); time.Now().Before(end); time.Sleep(followersPollInterval) {
		if !slices.ContainsFunc(c.followers, func(f *follower) bool { return !holds(f) }) {
			return nil
		}
	}
	missing := 0
	for _, f := range c.followers {
		if !holds(f) {
			missing++
		}
	}
	return errors.Join(errTimeout, fmt.Errorf("%d followers of %d lack it", missing, len(c.followers)))
}
