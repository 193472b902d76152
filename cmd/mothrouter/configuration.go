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

// addConfiguration has control machines change the configuration in service.
func (p *process) addConfiguration() error {
	if p.files.configuration == "" {
		return nil
	}
	followerConfig, err := config.LoadConfiguration(p.files.configuration, p.startConfig)
	if err != nil {
		return err
	}
	start, err := p.startConfig.Document()
	if err != nil {
		return err
	}
	applier := &applier{start: start, core: p.core, discovery: p.discoverySwitch, log: p.log}
	p.configFollower, err = configfollower.New(configfollower.Options{
		Name: followerConfig.Name, Started: p.started, Zone: followerConfig.Zone, Region: followerConfig.Region,
		Control: followerConfig.Control, Callers: p.fleetSize, Seed: p.startConfig.Seed, Log: p.log, Apply: applier.apply,
	})
	if err != nil {
		return err
	}
	p.components.Add(assembly.Part{Name: "configuration", Run: p.configFollower.Run})
	return nil
}

// applier takes revisions of the configuration into force.
type applier struct {
	start     *config.Document // of the file of the start
	core      interface{ Configure(broker.Change) error }
	discovery *discoverySwitch
	log       *slog.Logger
}

// apply takes a revision into force whole, and returns nil once it is; else it changes nothing and tells why.
func (a *applier) apply(revision *configpb.Revision) *configpb.Refusal {
	document, err := config.ParseDocument(revision.GetDocument())
	if err == nil {
		err = document.Changes(a.start)
	}
	if err == nil {
		err = a.core.Configure(document.Change())
	}
	if err != nil {
		return newRejection(revision.GetNumber(), err)
	}
	a.discovery.switchTo(document.Discovery, "revision")
	a.log.Info("revision applied", "number", revision.GetNumber(), "discovery", document.Discovery,
		"open_cap", document.OpenCap)
	return nil
}

// discoverySwitch is the address at which the server list is followed. The file that is read again on SIGHUP and revisions
// of the configuration tell it; the last one told wins. A revision tells it each time one comes into force, the file
// where its address differs from when it was last read: a SIGHUP for another key takes no revision back.
type discoverySwitch struct {
	mu            sync.Mutex
	address       string
	changeAddress func(address string)
	log           *slog.Logger
}

// switchTo moves the watch of the server list, unless it is there.
func (f *discoverySwitch) switchTo(address, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.log.Info("discovery address changed", "from", f.address, "to", address, "told by", source)
	f.address = address
	f.changeAddress(address)
}

// reload takes up the file again on each SIGHUP. A bad one changes nothing.
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
