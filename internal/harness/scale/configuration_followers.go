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

const followersPollInterval = 20 * time.Millisecond // of the conditions that a command waits for

// followersCommand is a command to the followers. At most one of Start, InForce and Lost is set.
type followersCommand struct {
	Start   []distribution.ControlMachine // start all at once at these machines, then wait as for InForce 1
	Bytes   int                           // of the document of the start
	Seed    uint64                        // of the start
	InForce uint64                        // wait until this revision is in force at all followers
	Lost    string                        // wait until all follow another machine than that at this address
	Memory  bool                          // measure the memory in use
}

// followersAnswer is the answer to a followersCommand.
type followersAnswer struct {
	Processor  time.Duration // of the process since its start
	StartedAt  int64         // Unix nanoseconds, of the command
	DoneAt     int64         // Unix nanoseconds: when the condition was met
	ReceivedAt []int64       // for InForce, of each follower: when the revision was read
	AppliedAt  []int64       // for InForce, of each follower: when it was in force
	Memory     float64       // bytes; 0 without the command's Memory
}

// follower is a broker without a core: it reads and checks each document and compares it with the start's, as a broker
// does, and applies it nowhere.
type follower struct {
	*configfollower.Client
	start *config.Document

	mu         sync.Mutex
	number     uint64 // of the revision in force
	receivedAt int64  // Unix nanoseconds: before it was checked
	appliedAt  int64  // Unix nanoseconds
}

// apply checks a revision and records it as in force, or returns the rejection.
func (f *follower) apply(revision *configpb.Revision) *configpb.Refusal {
	receivedAt := time.Now().UnixNano()
	document, err := config.ParseDocument(revision.GetDocument())
	if err == nil {
		err = document.CheckChangeFrom(f.start)
	}
	if err != nil {
		return &configpb.Refusal{Number: revision.GetNumber(), Key: "document", Reason: err.Error()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number, f.receivedAt, f.appliedAt = revision.GetNumber(), receivedAt, time.Now().UnixNano()
	return nil
}

// inForceSince returns when a revision, or a later one, was read and put in force, in Unix nanoseconds, or 0 if it is
// not in force.
func (f *follower) inForceSince(number uint64) (receivedAt, appliedAt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.number < number {
		return 0, 0
	}
	return f.receivedAt, f.appliedAt
}

// hasInForce reports whether a revision, or a later one, is in force.
func (f *follower) hasInForce(number uint64) bool {
	_, applied := f.inForceSince(number)
	return applied != 0
}

// followersChild is the child that runs all followers.
type followersChild struct {
	followers []*follower
	brokers   int
}

// serveFollowers runs the child of the followers.
func serveFollowers(brokers int) error {
	fmt.Println(childReady)
	return serveCommands((&followersChild{brokers: brokers}).handle)
}

// handle carries out a command and waits for its condition.
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
			receivedAt, appliedAt := f.inForceSince(command.InForce)
			answer.ReceivedAt = append(answer.ReceivedAt, receivedAt)
			answer.AppliedAt = append(answer.AppliedAt, appliedAt)
		}
	case command.Lost != "":
		err = c.waitUntilAll(func(f *follower) bool {
			status := f.Status()
			return status.Control != "" && status.Control != command.Lost && !status.LastUpdateAt.IsZero()
		})
	}
	answer.DoneAt, answer.Processor = time.Now().UnixNano(), processorTime()
	if command.Memory {
		answer.Memory = memoryInUse()
	}
	return answer, err
}

// start starts all followers at once, dealt to the target's zones and regions.
func (c *followersChild) start(command followersCommand) error {
	start, err := config.ParseDocument(newDocument(0, command.Bytes))
	if err != nil {
		return err
	}
	for i := range c.brokers {
		f := &follower{start: start}
		f.Client, err = configfollower.New(configfollower.Options{
			Name: fmt.Sprint("n", i), StartedAt: time.Now(), Region: regionName(i), Zone: fmt.Sprint("zone-", i%TargetZones),
			Machines: command.Start, FleetSize: c.brokers, Seed: command.Seed + uint64(i)*watcherSeedStep, Log: discardLog, Apply: f.apply,
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

// waitUntilAll waits until all followers meet a condition.
func (c *followersChild) waitUntilAll(condition func(*follower) bool) error {
	for end := time.Now().Add(followersTimeout); time.Now().Before(end); time.Sleep(followersPollInterval) {
		if !slices.ContainsFunc(c.followers, func(f *follower) bool { return !condition(f) }) {
			return nil
		}
	}
	missing := 0
	for _, f := range c.followers {
		if !condition(f) {
			missing++
		}
	}
	return errors.Join(errTimeout, fmt.Errorf("%d followers of %d do not meet the condition", missing, len(c.followers)))
}
