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
	machines, err := config.LoadFollower(p.files.configuration, p.cfg)
	if err != nil {
		return err
	}
	start, err := p.cfg.Document()
	if err != nil {
		return err
	}
	applier := &applier{start: start, core: p.core, followed: p.followed, log: p.log}
	p.revisions, err = configfollower.New(configfollower.Options{
		Name: machines.Name, StartedAt: p.started, Zone: machines.Zone, Region: machines.Region,
		Machines: machines.ControlMachines, FleetSize: p.fleetSize, Seed: p.cfg.Seed, Log: p.log, Apply: applier.apply,
	})
	if err != nil {
		return err
	}
	p.parts.Add(assembly.Part{Name: "configuration", Run: p.revisions.Run})
	return nil
}

// applier takes revisions of the configuration into force.
type applier struct {
	start    *config.Document // of the file of the start
	core     interface{ Configure(broker.Change) error }
	followed *followed
	log      *slog.Logger
}

// apply takes a revision into force whole, and returns nil once it is; else it changes nothing and tells why.
func (a *applier) apply(revision *configpb.Revision) *configpb.Refusal {
	document, err := config.ParseDocument(revision.GetDocument())
	if err == nil {
		err = document.CheckChangeFrom(a.start)
	}
	if err == nil {
		err = a.core.Configure(document.Change())
	}
	if err != nil {
		return rejection(revision.GetNumber(), err)
	}
	a.followed.tell(document.Discovery, "revision")
	a.log.Info("revision applied", "number", revision.GetNumber(), "discovery", document.Discovery,
		"open_cap", document.ConcurrencyLimit)
	return nil
}

// followed is the address at which the server list is followed. The file that is read again on SIGHUP and revisions
// of the configuration tell it; the last one told wins. A revision tells it each time one comes into force, the file
// where its address differs from when it was last read: a SIGHUP for another key takes no revision back.
type followed struct {
	mu      sync.Mutex
	address string
	move    func(address string)
	log     *slog.Logger
}

// tell moves the watch of the server list, unless it is there.
func (f *followed) tell(address, by string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.log.Info("discovery address changed", "from", f.address, "to", address, "told by", by)
	f.address = address
	f.move(address)
}

// reload takes up the file again on each SIGHUP. A bad one changes nothing.
func reload(hup <-chan os.Signal, cfg *config.Config, followed *followed, log *slog.Logger) {
	for range hup {
		next, waiting, err := cfg.Reload()
		if err != nil {
			log.Error("new configuration rejected, keeping the old one", "error", err)
			continue
		}
		if next.Discovery != cfg.Discovery {
			followed.tell(next.Discovery, "file")
		}
		cfg = next
		log.Info("configuration reloaded", "discovery", cfg.Discovery, "wait for a start", waiting)
	}
}
