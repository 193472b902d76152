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

// follower is a client of the control machines as a broker has it, which records each revision that it applies.
type follower struct {
	name, region string
	client       *configfollower.Client
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

// StartFollowers starts a number of followers in each region. They reach the machines through relays of their region.
func (c *Cluster) StartFollowers(perRegion int) error {
	for _, region := range Regions {
		var control []distribution.ControlMachine
		for _, m := range c.Machines {
			address, err := c.Network.Relay(region, m.Name, m.Address)
			if err != nil {
				return err
			}
			control = append(control, distribution.ControlMachine{Address: address, Zone: m.Region, Region: m.Region})
		}
		for i := range perRegion {
			if err := c.startFollower(fmt.Sprintf("%s-%d", region, i), region, control); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startFollower(name, region string, control []distribution.ControlMachine) error {
	f := &follower{name: name, region: region}
	var err error
	f.client, err = configfollower.New(configfollower.Options{
		Name: name, StartedAt: time.Now(), Zone: region, Region: region, Machines: control, FleetSize: 600,
		Seed: c.options.Seed + uint64(len(c.followers)), Log: slog.New(slog.DiscardHandler),
		Apply: func(got *configpb.Revision) *configpb.Refusal {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.history.Applied = append(c.history.Applied, Applied{Follower: name, Number: got.GetNumber(),
				Checksum: configpb.Checksum(got.GetDocument()), At: time.Now()})
			return nil
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.running.Go(func() { f.client.Run(ctx) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followers = append(c.followers, f)
	c.history.Followers = append(c.history.Followers, name)
	return nil
}

// MinInForce returns the lowest revision that is in force at any follower, and that follower's name.
func (c *Cluster) MinInForce() (number uint64, follower string) {
	number = math.MaxUint64
	for _, f := range c.followers {
		if inForce := f.client.Status().InForce; inForce < number {
			number, follower = inForce, f.name
		}
	}
	return number, follower
}

func (c *Cluster) stopFollowers() {
	for _, f := range c.followers {
		f.cancel()
	}
	for _, f := range c.followers {
		f.running.Wait()
	}
}
