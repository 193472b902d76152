package controlplanetest

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"mothrouter/internal/controlplane/configfollower"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// follower is a configuration follower, the client of the control machines that a broker runs. It records each revision that it
// applies in the cluster's history.
type follower struct {
	name      string
	region    string
	client    *configfollower.Client
	cancel    context.CancelFunc // stops the client
	goroutine sync.WaitGroup     // waits for the goroutine of the client
}

// StartFollowers starts a number of followers in each region. They reach the control machines through relays of their region.
func (c *Cluster) StartFollowers(perRegion int) error {
	for _, region := range Regions {
		var machines []distribution.ControlMachine
		for _, m := range c.Machines {
			address, err := c.Network.Relay(region, m.Name, m.Address)
			if err != nil {
				return err
			}
			machines = append(machines, distribution.ControlMachine{Address: address, Zone: m.Region, Region: m.Region})
		}
		for i := range perRegion {
			if err := c.startFollower(fmt.Sprintf("%s-%d", region, i), region, machines); err != nil {
				return err
			}
		}
	}
	return nil
}

// startFollower starts a follower that connects to machines, and adds it to the history.
func (c *Cluster) startFollower(name, region string, machines []distribution.ControlMachine) error {
	f := &follower{name: name, region: region}
	var err error
	f.client, err = configfollower.New(configfollower.Options{
		Name: name, StartedAt: time.Now(), Zone: region, Region: region, Machines: machines, FleetSize: 600,
		Seed: c.options.Seed + uint64(len(c.followers)), Log: slog.New(slog.DiscardHandler),
		Apply: func(revision *configpb.Revision) *configpb.Refusal {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.history.Applied = append(c.history.Applied, AppliedRevision{Follower: name, Number: revision.GetNumber(),
				Checksum: configpb.Checksum(revision.GetDocument()), AppliedAt: time.Now()})
			return nil
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.goroutine.Go(func() { f.client.Run(ctx) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followers = append(c.followers, f)
	c.history.Followers = append(c.history.Followers, name)
	return nil
}

// MinInForce returns the lowest revision in force of all followers, and the name of a follower that has it in force.
func (c *Cluster) MinInForce() (number uint64, follower string) {
	number = math.MaxUint64
	for _, f := range c.followers {
		if inForce := f.client.Status().InForce; inForce < number {
			number, follower = inForce, f.name
		}
	}
	return number, follower
}

// stopFollowers stops all followers and waits until they have stopped.
func (c *Cluster) stopFollowers() {
	for _, f := range c.followers {
		f.cancel()
	}
	for _, f := range c.followers {
		f.goroutine.Wait()
	}
}
