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

// assemble puts the process together. Beside the loops run the parts; a part that rests on another is added, and so
// started, after it.
func (p *process) assemble() error {
	p.metrics = metrics.New(p.cfg.Classes, func() metrics.Gauges { return metrics.Gauges(p.core.Gauges()) })
	link := p.link()
	if err := p.addState(); err != nil {
		return err
	}
	p.shareWaits()
	if err := p.addFleet(); err != nil {
		return err
	}
	p.makeCore(link)
	p.watcher = &discovery.Watcher{
		Addr: p.cfg.Discovery, NameTable: p.cfg.NameTable, Since: p.cfg.Version, Update: p.core.Update, Log: p.log,
		Backoff: p.backoff,
	}
	p.followed = &followed{address: p.cfg.Discovery, move: p.watcher.ChangeAddress, log: p.log}
	return p.addConfiguration()
}

// link is the way to the record servers.
func (p *process) link() broker.Link {
	frames := upstream.New(p.ctx, upstream.Options{
		MaxStreams: p.cfg.MaxStreams, MaxConns: p.cfg.MaxServerConns, IdleTimeout: p.cfg.ConnIdleTimeout, ConnectTimeout: p.cfg.ConnectTimeout,
		OnSent: p.metrics.RecordSent,
	})
	if p.flight != nil {
		return mixed(p.ctx, p.cfg, p.flight, frames)
	}
	return frames
}

// mixed is the link to servers of both protocols.
func mixed(ctx context.Context, cfg *config.Config, partners *config.Flight, frames broker.Link) broker.Link {
	speaks := map[string]bool{}
	for _, id := range partners.Servers {
		speaks[id] = true
	}
	return &flight.ProtocolSelector{Frames: frames, FlightServers: speaks, Flight: flight.NewLink(ctx, flight.LinkOptions{
		MaxStreams: cfg.MaxStreams, MaxConns: partners.ServerConns, IdleTimeout: cfg.ConnIdleTimeout, ConnectTimeout: cfg.ConnectTimeout,
	})}
}

// addState has learned state last over restarts.
func (p *process) addState() error {
	if p.files.state == "" {
		return nil
	}
	state, err := config.LoadState(p.files.state)
	if err != nil {
		return err
	}
	keep := checkpoint.Open(checkpoint.Options{Folder: state.Folder, Interval: state.Interval, Instance: p.cfg.Name,
		Settings: p.cfg.Fingerprint(), Seed: p.cfg.Seed, Log: p.log})
	p.parts.Add(assembly.Part{Name: "state", Run: keep.Run,
		Wrap: func(_ int, inner decision.Decider) decision.Decider { return keep.Watch(inner) }})
	return nil
}

// shareWaits spreads calls of all brokers to what they share.
func (p *process) shareWaits() {
	callers, told := backoff.ClampCallers(p.cfg.Settings.Brokers)
	if !told {
		p.log.Warn("settings.peersTotal out of range",
			"is", p.cfg.Settings.Brokers, "taken for", callers)
	}
	p.fleetSize, p.backoff = callers, backoff.New(callers, p.cfg.Seed)
}

// addFleet has brokers know of each other.
func (p *process) addFleet() error {
	if p.files.fleet == "" {
		return nil
	}
	peers, err := config.LoadFleet(p.files.fleet, p.cfg)
	if err != nil {
		return err
	}
	others, err := join(peers, p.cfg, p.log, func(n int) {
		p.backoff.Resize(n)
		p.core.Notify(decision.FleetResized{Brokers: n})
		if p.revisions != nil {
			p.revisions.Resize(n)
		}
	})
	if err != nil {
		return err
	}
	p.parts.Add(assembly.Part{Name: "fleet", Run: others.Run})
	return nil
}

// join opens this process's end of the fleet's plane. Each change of the fleet is told as the number of brokers that
// share what a cold server bears and what discovery serves; one that is fenced has no part of it.
func join(peers *config.Fleet, cfg *config.Config, log *slog.Logger, changed func(n int)) (*fleet.Plane, error) {
	return fleet.Listen(fleet.Options{
		Listen: peers.Listen, Advertise: peers.Advertise, Fleet: peers.Fleet, Name: peers.Name, Seeds: peers.Seeds,
		Seed: cfg.Seed, Log: log, Changed: func(c membership.FleetSize) {
			n := max(c.Sharing, cfg.Settings.Brokers)
			if c.Fenced {
				n = backoff.MaxCallers
			}
			changed(n)
		},
	})
}

// makeCore makes one loop, or several. With one loop its panic ends the process.
func (p *process) makeCore(link broker.Link) {
	decider := p.parts.Decider(func(_ int, set decision.Settings, seed uint64) decision.Decider {
		return decision.New(set, seed)
	})
	if p.files.cores == "" {
		p.core = broker.New(broker.Options{Settings: p.cfg.Settings, ConcurrencyLimit: p.cfg.ConcurrencyLimit, Log: p.log},
			decider(0, p.cfg.Settings, p.cfg.Seed), link)
		return
	}
	group := cores.New(cores.Options{
		Workers: p.workers, Settings: p.cfg.Settings, ConcurrencyLimit: p.cfg.ConcurrencyLimit, Seed: p.cfg.Seed, Log: p.log,
		Decider: decider,
	}, link)
	p.core, p.died = group, group.Failed()
	p.log.Info("several cores", "workers", p.workers, "processors", runtime.NumCPU())
}
