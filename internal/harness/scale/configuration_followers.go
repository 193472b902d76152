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

const followersPollInterval = 20 * time.Millisecond // between two checks of the condition that a command waits for

// followersCommand is a command to the child that runs the followers. At most one of Start, InForce and Lost is set.
type followersCommand struct {
	Start   []distribution.ControlMachine // start all followers with these control machines and wait for revision 1
	Bytes   int                           // with Start: size of the startup configuration
	Seed    uint64                        // with Start: base of the followers' seeds
	InForce uint64                        // wait until this revision is in force at all followers
	Lost    string                        // address of a lost hub: wait until each follower is connected to another hub
	Memory  bool                          // measure the memory in use
}

// followersResponse is the response to a followersCommand.
type followersResponse struct {
	CPUTime    time.Duration `json:"Processor"` // of the process since its start
	StartedAt  int64         // Unix nanoseconds at which the command started
	DoneAt     int64         // Unix nanoseconds at which the command's condition was met
	ReceivedAt []int64       // with InForce: Unix nanoseconds at which each follower read the revision
	AppliedAt  []int64       // with InForce: Unix nanoseconds at which it was in force at each follower
	Memory     float64       // bytes; 0 unless the command has Memory set
}

// follower is a configuration follower without a broker core. Like a broker, it reads and checks each document and compares
// it with the startup configuration, but it does not apply the settings.
type follower struct {
	*configfollower.Client
	startup *config.Document

	mu         sync.Mutex
	number     uint64 // number of the revision in force
	receivedAt int64  // Unix time in nanoseconds, taken just before the revision was checked
	appliedAt  int64  // Unix time in nanoseconds, taken just after the revision was checked
}

// apply checks a revision and records it as in force, or returns the rejection.
func (f *follower) apply(revision *configpb.Revision) *configpb.Refusal {
	receivedAt := time.Now().UnixNano()
	document, err := config.ParseDocument(revision.GetDocument())
	if err == nil {
		err = document.CheckChangeFrom(f.startup)
	}
	if err != nil {
		return &configpb.Refusal{Number: revision.GetNumber(), Key: "document", Reason: err.Error()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number, f.receivedAt, f.appliedAt = revision.GetNumber(), receivedAt, time.Now().UnixNano()
	return nil
}

// inForceSince returns the times in Unix nanoseconds at which the revision in force was read and put in force. It returns
// zeros if that revision is older than the given number.
func (f *follower) inForceSince(number uint64) (receivedAt, appliedAt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.number < number {
		return 0, 0
	}
	return f.receivedAt, f.appliedAt
}

// hasInForce reports whether the revision with the given number or a later one is in force.
func (f *follower) hasInForce(number uint64) bool {
	_, appliedAt := f.inForceSince(number)
	return appliedAt != 0
}

// followersChild is the state of the child that runs all followers.
type followersChild struct {
	followers []*follower
	brokers   int
}

// serveFollowers runs the followers' child until its standard input is closed.
func serveFollowers(brokers int) error {
	fmt.Println(childReady)
	return serveCommands((&followersChild{brokers: brokers}).handle)
}

// handle executes a command and waits until its condition is met. The error is errTimeout after followersTimeout.
func (c *followersChild) handle(command followersCommand) (response followersResponse, err error) {
	response.StartedAt = time.Now().UnixNano()
	switch {
	case command.Start != nil:
		if err = c.start(command); err == nil {
			err = c.waitUntilAll(func(f *follower) bool { return f.hasInForce(1) })
		}
	case command.InForce != 0:
		err = c.waitUntilAll(func(f *follower) bool { return f.hasInForce(command.InForce) })
		for _, f := range c.followers {
			receivedAt, appliedAt := f.inForceSince(command.InForce)
			response.ReceivedAt = append(response.ReceivedAt, receivedAt)
			response.AppliedAt = append(response.AppliedAt, appliedAt)
		}
	case command.Lost != "":
		err = c.waitUntilAll(func(f *follower) bool {
			status := f.Status()
			return status.Control != "" && status.Control != command.Lost && !status.LastUpdateAt.IsZero()
		})
	}
	response.DoneAt, response.CPUTime = time.Now().UnixNano(), cpuTime()
	if command.Memory {
		response.Memory = memoryInUse()
	}
	return response, err
}

// start starts all followers at the same time, assigned round-robin to the target's zones and regions.
func (c *followersChild) start(command followersCommand) error {
	startup, err := config.ParseDocument(newDocument(0, command.Bytes))
	if err != nil {
		return err
	}
	for i := range c.brokers {
		f := &follower{startup: startup}
		f.Client, err = configfollower.New(configfollower.Options{
			Name: fmt.Sprint("n", i), StartedAt: time.Now(), Region: regionName(i), Zone: fmt.Sprint("zone-", i%TargetZones),
			Machines: command.Start, FleetSize: c.brokers, Seed: command.Seed + uint64(i)*watcherSeedStep,
			Log: discardLog, Apply: f.apply,
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

// waitUntilAll waits until all followers meet a condition. The error is errTimeout after followersTimeout.
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
	return errors.Join(errTimeout, fmt.Errorf("%d of %d followers do not meet the condition", missing, len(c.followers)))
}
