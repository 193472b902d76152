// Command mothrouter is a query broker: it takes queries cut into parts, has record servers answer the
// parts as package decision decides, and gives each query one final answer.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"mothrouter/internal/assembly"
	"mothrouter/internal/backoff"
	"mothrouter/internal/broker"
	"mothrouter/internal/checkpoint"
	"mothrouter/internal/config"
	"mothrouter/internal/control"
	"mothrouter/internal/cores"
	"mothrouter/internal/decision"
	"mothrouter/internal/discovery"
	"mothrouter/internal/drain"
	"mothrouter/internal/fleet"
	"mothrouter/internal/flight"
	"mothrouter/internal/front"
	"mothrouter/internal/membership"
	"mothrouter/internal/metrics"
	"mothrouter/internal/upstream"
)

const (
	memoryShare = 0.7 // of the limit, for the Go heap
)

func main() {
	flightFile := flag.String("flight", "", "`file` that switches Arrow Flight on, such as deploy/flight.toml")
	coresFile := flag.String("cores", "", "`file` that switches several cores on, such as deploy/cores.toml")
	fleetFile := flag.String("fleet", "", "`file` that has brokers know of each other, such as deploy/fleet.toml")
	stateFile := flag.String("state", "", "`file` that has learned state last over restarts, such as deploy/state.toml")
	if isCommand(os.Args) {
		os.Exit(runCommand())
	}
	flag.Parse()
	if flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(os.Getenv, files{*flightFile, *coresFile, *stateFile, *fleetFile}); err != nil {
		fmt.Fprintln(os.Stderr, "mothrouter:", err)
		os.Exit(1)
	}
}

// files are the operator files; "": what they switch on is off.
type files struct{ flight, cores, state, fleet string }

func run(getenv func(string) string, files files) error {
	// Before all else: a broker must not end because it was told of a new file.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := config.Load(getenv)
	if err != nil {
		return err
	}
	workers := 1
	if files.cores != "" {
		if workers, err = config.LoadCores(files.cores, cfg); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(min(workers, runtime.NumCPU())) // a broker on the platform has one core
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB<<20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("broker", cfg.Name)

	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	var core core
	figures := metrics.New(cfg.Classes, func() (g metrics.Gauges) {
		g.Open, g.Entries, g.Avoided = core.Gauges()
		return g
	})
	var partners *config.Flight
	if files.flight != "" {
		if partners, err = config.LoadFlight(files.flight, cfg); err != nil {
			return err
		}
	}
	var link broker.Link = upstream.New(ctx, upstream.Options{
		Streams: cfg.Streams, Conns: cfg.ServerConns, Idle: cfg.ConnIdle, ConnectTimeout: cfg.ConnectTimeout,
		Relayed: figures.Relayed,
	})
	if partners != nil {
		link = mixed(ctx, cfg, partners, link)
	}
	// Beside the loops run the parts; a part that rests on another is added, and so started, after it.
	parts := &assembly.Assembly{Log: log}
	defer parts.End()
	if files.state != "" {
		state, err := config.LoadState(files.state)
		if err != nil {
			return err
		}
		keep := checkpoint.Open(checkpoint.Options{Folder: state.Folder, Interval: state.Interval, Instance: cfg.Name,
			Settings: cfg.Fingerprint(), Seed: cfg.Seed, Log: log})
		parts.Add(assembly.Part{Name: "state", Run: keep.Run,
			Wrap: func(_ int, inner decision.Decider) decision.Decider { return keep.Watch(inner) }})
	}
	callers, told := backoff.Callers(cfg.Settings.Brokers)
	if !told {
		log.Warn("settings.peersTotal: no size that a fleet can have", "is", cfg.Settings.Brokers, "taken for", callers)
	}
	waits := backoff.New(callers, cfg.Seed)
	if files.fleet != "" {
		peers, err := config.LoadFleet(files.fleet, cfg)
		if err != nil {
			return err
		}
		others, err := join(peers, cfg, log, func(n int) {
			waits.Resize(n)
			core.Tell(decision.Fleet{Brokers: n})
		})
		if err != nil {
			return err
		}
		parts.Add(assembly.Part{Name: "fleet", Run: others.Run})
	}
	decider := parts.Decider(func(_ int, set decision.Settings, seed uint64) decision.Decider {
		return decision.New(set, seed)
	})
	var died <-chan struct{} // nil, which never speaks, with one loop: its panic ends the process
	if files.cores == "" {
		core = broker.New(broker.Options{Settings: cfg.Settings, OpenCap: cfg.OpenCap, Log: log},
			decider(0, cfg.Settings, cfg.Seed), link)
	} else {
		group := cores.New(cores.Options{
			Workers: workers, Settings: cfg.Settings, OpenCap: cfg.OpenCap, Seed: cfg.Seed, Log: log, Decider: decider,
		}, link)
		core, died = group, group.Failed()
		log.Info("several cores", "workers", workers, "processors", runtime.NumCPU())
	}
	go core.Run(ctx)
	core.Update(cfg.Known)
	parts.Start()
	watcher := &discovery.Watcher{
		Addr: cfg.Discovery, Names: cfg.Names, Since: cfg.Version, Update: core.Update, Log: log,
		Waits: waits,
	}
	go watcher.Run(ctx)
	go reload(hup, cfg, watcher, log)

	listener, err := listen(cfg)
	if err != nil {
		return err
	}
	clients := front.New(front.Options{
		Classes: cfg.Classes, Shards: cfg.Shards, ConnsMax: cfg.ClientConns, IdleMost: cfg.IdleConns, Buffers: cfg.Buffers, Advice: cfg.Advice(),
		Metrics: figures,
	}, core, log)
	served := make(chan error, 3)
	go func() { served <- clients.Serve(listener) }()
	if cfg.Control != "" {
		l, err := net.Listen("tcp", cfg.Control)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		operators := control.New(steered{clients, figures}, log)
		go func() { served <- operators.Serve(l) }()
	}
	var flights *flight.Front
	if partners != nil {
		l, err := net.Listen("tcp", partners.Listen)
		if err != nil {
			return fmt.Errorf("flight.listen: %w", err)
		}
		flights = flight.NewFront(flight.Options{
			Classes: cfg.Classes, Shards: cfg.Shards,
			ConnsMax: partners.Connections,
		}, &drained{core, clients.Refuses, cfg.Advice()})
		go func() { served <- flights.Serve(l, log) }()
	}
	log.Info("serving", "listen", cfg.Listen, "servers", len(cfg.Known.Servers))

	var why error
	select {
	case err := <-served:
		return err
	case <-term:
	case <-died:
		why = errors.New("a worker has died; what the others held was answered")
	}
	log.Info("ending")
	since, end := time.Now(), drain.PlanEnd(cfg.Longest())
	core.EndBy(since.Add(end.Answers))
	if cfg.AcceptFD != 0 { // the socket is not this process's alone: who comes is taken by the next one
		if err := listener.Close(); err != nil {
			log.Warn("the listener did not close", "err", err)
		}
	}
	wait := time.NewTimer(end.Accepts)
	select {
	case err := <-served:
		if wait.Stop(); err != nil {
			return err
		}
	case <-wait.C:
	}
	last, stop := context.WithDeadline(ctx, since.Add(end.Gone))
	defer stop()
	var ends sync.WaitGroup
	ends.Go(func() { clients.End(last, end) })
	if flights != nil {
		ends.Go(func() { flights.Stop(last) })
	}
	ends.Wait()
	core.Drain(last)
	cancel()
	return why
}

// core is one loop, or several.
type core interface {
	front.Core
	Run(context.Context)
	Update(broker.List)
	Drain(context.Context)
	EndBy(time.Time)
	Gauges() (held, entries, avoided int)
	Tell(decision.Event)
}

// join opens this process's end of the fleet's plane. Each change of the fleet is told as the number of brokers that
// share what a cold server bears and what discovery serves; one that is fenced has no part of it.
func join(peers *config.Fleet, cfg *config.Config, log *slog.Logger, changed func(n int)) (*fleet.Plane, error) {
	return fleet.Listen(fleet.Options{
		Listen: peers.Listen, Advertise: peers.Advertise, Fleet: peers.Fleet, Name: peers.Name, Seeds: peers.Seeds,
		Seed: cfg.Seed, Log: log, Changed: func(c membership.Count) {
			n := max(c.Sharing, cfg.Settings.Brokers)
			if c.Fenced {
				n = backoff.MostCallers
			}
			changed(n)
		},
	})
}

// drained is the core as Flight sees it: a drain of operators binds it as it does the platform's front.
type drained struct {
	core
	refuses func() bool
	advice  float64
}

func (d *drained) Take(r *broker.Request, c broker.Client) {
	if d.refuses() {
		c.Finish(broker.Result{Outcome: broker.Refused, RetryAfter: d.advice})
		return
	}
	d.core.Take(r, c)
}

// listen opens the clients' listening socket, or takes the one that the process has inherited.
func listen(cfg *config.Config) (net.Listener, error) {
	if cfg.AcceptFD == 0 {
		l, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	f := os.NewFile(uintptr(cfg.AcceptFD), "PROXY_ACCEPT_FD")
	l, err := net.FileListener(f)
	f.Close() // the listener has one of its own
	if err != nil {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: %d is no listening socket: %w", cfg.AcceptFD, err)
	}
	return l, nil
}

// steered is the process as operators steer it.
type steered struct {
	clients *front.Front
	figures *metrics.Counters
}

func (s steered) Takes() bool             { return s.clients.Takes() }
func (s steered) Leave()                  { s.clients.Drain() }
func (s steered) Join()                   { s.clients.Rejoin() }
func (s steered) Figures(b []byte) []byte { return s.figures.Append(b) }

// reload takes up the file again on each SIGHUP. A bad one changes nothing.
func reload(hup <-chan os.Signal, cfg *config.Config, watcher *discovery.Watcher, log *slog.Logger) {
	for range hup {
		next, waiting, err := cfg.Reload()
		if err != nil {
			log.Error("the new configuration cannot be used, the old one holds", "err", err)
			continue
		}
		if next.Discovery != cfg.Discovery {
			watcher.Move(next.Discovery)
		}
		cfg = next
		log.Info("configuration read again", "discovery", cfg.Discovery, "wait for a start", waiting)
	}
}

// mixed is the link to servers of both protocols.
func mixed(ctx context.Context, cfg *config.Config, partners *config.Flight, frames broker.Link) broker.Link {
	speaks := map[string]bool{}
	for _, id := range partners.Servers {
		speaks[id] = true
	}
	return &flight.Mixed{Frames: frames, Speaks: speaks, Flight: flight.NewLink(ctx, flight.LinkOptions{
		Streams: cfg.Streams, Conns: partners.ServerConns, Idle: cfg.ConnIdle, ConnectTimeout: cfg.ConnectTimeout,
	})}
}
