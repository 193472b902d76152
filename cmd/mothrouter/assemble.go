package main

import (
	"context"
	"log/slog"
	"runtime"

	"mothrouter/internal/assembly"
	"mothrouter/internal/backoff"
	"mothrouter/internal/broker"
	"mothrouter/internal/cluster/fleet"
	"mothrouter/internal/cluster/membership"
	"mothrouter/internal/config"
	"mothrouter/internal/decision"
	"mothrouter/internal/endpoints/discovery"
	"mothrouter/internal/metrics"
	"mothrouter/internal/state/checkpoint"
	"mothrouter/internal/transport/flight"
	"mothrouter/internal/transport/upstream"
	"mothrouter/internal/workers/cores"
)

// assemble creates the core and the components that run beside it. Components start in the order in which they are added,
// so a component is added after those that it depends on.
func (p *process) assemble() error {
	p.metrics = metrics.New(p.startConfig.Classes, func() metrics.Gauges { return metrics.Gauges(p.core.Gauges()) })
	link := p.link()
	if err := p.addState(); err != nil {
		return err
	}
	p.addBackoff()
	if err := p.addFleet(); err != nil {
		return err
	}
	p.components.Add(p.throttlingLog())
	p.createCore(link)
	p.watcher = &discovery.Watcher{
		Addr: p.startConfig.Discovery, NameTable: p.startConfig.NameTable, Since: p.startConfig.CachedVersion,
		Update: p.core.Update, Log: p.log, Backoff: p.backoff,
	}
	p.discoverySwitch = &discoverySwitch{
		address: p.startConfig.Discovery, changeAddress: p.watcher.ChangeAddress, log: p.log,
	}
	return p.addConfiguration()
}

// link returns the link to the record servers.
func (p *process) link() broker.Link {
	cfg := p.startConfig
	frames := upstream.New(p.ctx, upstream.Options{
		MaxStreams: cfg.MaxStreams, MaxConns: cfg.MaxServerConns, IdleTimeout: cfg.ConnIdleTimeout,
		ConnectTimeout: cfg.ConnectTimeout, OnSent: p.metrics.RecordSent,
	})
	if p.flightConfig != nil {
		return newMixedLink(p.ctx, cfg, p.flightConfig, frames)
	}
	return frames
}

// newMixedLink returns a link to record servers of both protocols; flightConfig lists those that speak Flight.
func newMixedLink(ctx context.Context, cfg *config.Config, flightConfig *config.Flight, frames broker.Link) broker.Link {
	speaksFlight := map[string]bool{}
	for _, id := range flightConfig.Servers {
		speaksFlight[id] = true
	}
	return &flight.ProtocolSelector{Frames: frames, FlightServers: speaksFlight, Flight: flight.NewLink(ctx, flight.LinkOptions{
		MaxStreams: cfg.MaxStreams, MaxConns: flightConfig.ServerConns, IdleTimeout: cfg.ConnIdleTimeout,
		ConnectTimeout: cfg.ConnectTimeout,
	})}
}

// addState restores the snapshot of server health and adds the component that saves it, if -state is set.
func (p *process) addState() error {
	if p.files.state == "" {
		return nil
	}
	state, err := config.LoadState(p.files.state)
	if err != nil {
		return err
	}
	saver := checkpoint.Open(checkpoint.Options{
		Folder: state.Folder, Interval: state.Interval, Instance: p.startConfig.Name,
		Settings: p.startConfig.Fingerprint(), Seed: p.startConfig.Seed, Log: p.log,
	})
	p.components.Add(assembly.Component{Name: "state", Run: saver.Run,
		Wrap: func(_ int, inner decision.Decider) decision.Decider { return saver.Watch(inner) }})
	return nil
}

// addBackoff creates the backoff of calls to services that all brokers share, for the fleet size in the settings
// (settings.peersTotal).
func (p *process) addBackoff() {
	callers, inRange := backoff.ClampCallers(p.startConfig.Settings.Brokers)
	if !inRange {
		p.log.Warn("settings.peersTotal out of range",
			"is", p.startConfig.Settings.Brokers, "taken for", callers)
	}
	p.fleetSize, p.backoff = callers, backoff.New(callers, p.startConfig.Seed)
}

// addFleet adds fleet membership, if -fleet is set.
func (p *process) addFleet() error {
	if p.files.fleet == "" {
		return nil
	}
	fleetConfig, err := config.LoadFleet(p.files.fleet, p.startConfig)
	if err != nil {
		return err
	}
	agent, err := joinFleet(fleetConfig, p.startConfig, p.log, func(n int) {
		p.backoff.SetCallers(n)
		p.core.Notify(decision.FleetResized{Brokers: n})
		if p.configFollower != nil {
			p.configFollower.SetFleetSize(n)
		}
	})
	if err != nil {
		return err
	}
	p.components.Add(assembly.Component{Name: "fleet", Run: agent.Run})
	return nil
}

// joinFleet opens the process's membership socket. Whenever the size of the fleet changes, it calls onResize with the
// number of brokers that share slow-start budgets and the discovery service, which is at least the number in the settings.
// For a fenced broker, which a majority may have removed, that is backoff.MaxCallers: it takes the smallest share.
func joinFleet(fleetConfig *config.Fleet, cfg *config.Config, log *slog.Logger, onResize func(n int)) (*fleet.Agent, error) {
	return fleet.Listen(fleet.Options{
		Listen: fleetConfig.Listen, Advertise: fleetConfig.Advertise, Fleet: fleetConfig.Fleet, Name: fleetConfig.Name,
		Seeds: fleetConfig.Seeds, Seed: cfg.Seed, Log: log,
		Changed: func(size membership.FleetSize) {
			n := max(size.Sharing, cfg.Settings.Brokers)
			if size.Fenced {
				n = backoff.MaxCallers
			}
			onResize(n)
		},
	})
}

// createCore creates the core: one loop, or several with -cores. A panic in a single loop ends the process; with several
// loops, a panic in any of them closes workerFailed.
func (p *process) createCore(link broker.Link) {
	cfg := p.startConfig
	decider := p.components.Decider(func(_ int, set decision.Settings, seed uint64) decision.Decider {
		return decision.New(set, seed)
	})
	if p.files.cores == "" {
		options := broker.Options{Settings: cfg.Settings, ConcurrencyLimit: cfg.ConcurrencyLimit, Log: p.log}
		p.core = broker.New(options, decider(0, cfg.Settings, cfg.Seed), link)
		return
	}
	group := cores.New(cores.Options{
		Workers: p.workers, Settings: cfg.Settings, ConcurrencyLimit: cfg.ConcurrencyLimit, Seed: cfg.Seed, Log: p.log,
		Decider: decider,
	}, link)
	p.core, p.workerFailed = group, group.Failed()
	p.log.Info("workers created", "workers", p.workers, "processors", runtime.NumCPU())
}
