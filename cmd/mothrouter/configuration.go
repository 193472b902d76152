package main

import (
	"log/slog"
	"os"
	"sync"

	"mothrouter/internal/assembly"
	"mothrouter/internal/broker"
	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configfollower"
	"mothrouter/internal/controlplane/configpb"
)

// addConfiguration adds the configuration follower, which receives revisions from control machines, if -configuration is set.
func (p *process) addConfiguration() error {
	if p.files.configuration == "" {
		return nil
	}
	followerConfig, err := config.LoadFollower(p.files.configuration, p.startConfig)
	if err != nil {
		return err
	}
	startup, err := p.startConfig.Document()
	if err != nil {
		return err
	}
	applier := &applier{startup: startup, core: p.core, discovery: p.discoverySwitch, log: p.log}
	p.configFollower, err = configfollower.New(configfollower.Options{
		Name: followerConfig.Name, StartedAt: p.startedAt, Zone: followerConfig.Zone, Region: followerConfig.Region,
		Machines: followerConfig.ControlMachines, FleetSize: p.fleetSize, Seed: p.startConfig.Seed, Log: p.log, Apply: applier.apply,
	})
	if err != nil {
		return err
	}
	p.components.Add(assembly.Component{Name: "configuration", Run: p.configFollower.Run})
	return nil
}

// applier puts revisions of the configuration in force.
type applier struct {
	startup   *config.Document // the startup configuration; keys that need a restart may not differ from it
	core      interface{ Configure(broker.Change) error }
	discovery *discoverySwitch
	log       *slog.Logger
}

// apply puts a revision in force completely and returns nil, or changes nothing and returns the rejection.
func (a *applier) apply(revision *configpb.Revision) *configpb.Refusal {
	document, err := config.ParseDocument(revision.GetDocument())
	if err == nil {
		err = document.CheckChangeFrom(a.startup)
	}
	if err == nil {
		err = a.core.Configure(document.Change())
	}
	if err != nil {
		return newRejection(revision.GetNumber(), err)
	}
	a.discovery.switchTo(document.Discovery, "revision")
	a.log.Info("revision applied", "number", revision.GetNumber(), "discovery", document.Discovery,
		"open_cap", document.ConcurrencyLimit)
	return nil
}

// discoverySwitch sets the address of the discovery service whose endpoint list is watched. Two sources set it, and the
// latest call wins: each revision that is put in force, and the configuration file on SIGHUP, but only if the address in
// the file has changed since it was last read. So a SIGHUP after a change of another key does not undo a
// revision.
type discoverySwitch struct {
	mu            sync.Mutex // guards address and serializes calls to changeAddress
	address       string     // in use
	changeAddress func(address string)
	log           *slog.Logger
}

// switchTo moves the watch of the endpoint list to another address. It does nothing if the address is already in use. The
// source of the address, "revision" or "file", is logged.
func (s *discoverySwitch) switchTo(address, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address == s.address {
		return
	}
	s.log.Info("discovery address changed", "from", s.address, "to", address, "told by", source)
	s.address = address
	s.changeAddress(address)
}

// reload reads the configuration file again at each SIGHUP. An invalid file is logged and changes nothing.
func reload(signals <-chan os.Signal, cfg *config.Config, discovery *discoverySwitch, log *slog.Logger) {
	for range signals {
		next, needRestart, err := cfg.Reload()
		if err != nil {
			log.Error("new configuration rejected, keeping the old one", "error", err)
			continue
		}
		if next.Discovery != cfg.Discovery {
			discovery.switchTo(next.Discovery, "file")
		}
		cfg = next
		log.Info("configuration reloaded", "discovery", cfg.Discovery, "wait for a start", needRestart)
	}
}
