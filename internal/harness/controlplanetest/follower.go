package controlplanetest

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"mothrouter/internal/controlplane/configfollower"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// follower is a broker that only follows the configuration.
type follower struct {
	name, region string
	client       *configfollower.Client
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

// Follow starts so many followers in each region. They reach the machines through relays of their region.
func (r *Rig) Follow(aRegion int) error {
	for _, region := range Regions {
		var control []distribution.Machine
		for _, m := range r.Machines {
			address, err := r.Network.Relay(region, m.Name, m.Address)
			if err != nil {
				return err
			}
			control = append(control, distribution.Machine{Address: address, Zone: m.Region, Region: m.Region})
		}
		for i := range aRegion {
			if err := r.follow(fmt.Sprintf("%s-%d", region, i), region, control); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Rig) follow(name, region string, control []distribution.Machine) error {
	f := &follower{name: name, region: region}
	var err error
	f.client, err = configfollower.New(configfollower.Options{
		Name: name, StartedAt: time.Now(), Zone: region, Region: region, Machines: control, FleetSize: 600,
		Seed: r.options.Seed + uint64(len(r.followers)), Log: slog.New(slog.DiscardHandler),
		Apply: func(got *configpb.Revision) *configpb.Refusal {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.history.Applied = append(r.history.Applied, Applied{Follower: name, Number: got.GetNumber(),
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers = append(r.followers, f)
	r.history.Followers = append(r.history.Followers, name)
	return nil
}

// Least returns the lowest number that is in force at any follower, and at which.
func (r *Rig) Least() (number uint64, follower string) {
	number = 1<<64 - 1
	for _, f := range r.followers {
		if inForce := f.client.Status().InForce; inForce < number {
			number, follower = inForce, f.name
		}
	}
	return number, follower
}

func (r *Rig) endFollowers() {
	for _, f := range r.followers {
		f.cancel()
	}
	for _, f := range r.followers {
		f.running.Wait()
	}
}
