package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"mothrouter/internal/assembly"
	"mothrouter/internal/backoff"
	"mothrouter/internal/broker"
	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configfollower"
	"mothrouter/internal/decision"
	"mothrouter/internal/endpoints/discovery"
	"mothrouter/internal/metrics"
	"mothrouter/internal/transport/flight"
	"mothrouter/internal/transport/front"
)

const (
	memoryFraction = 0.7 // of the limit, for the Go heap
)

// core is one loop, or several.
type core interface {
	front.Core
	Run(context.Context)
	Update(broker.EndpointUpdate)
	Drain(context.Context)
	SetShutdownDeadline(time.Time)
	Gauges() broker.Gauges
	Notify(decision.Event)
	Configure(broker.Change) error
	LongestDeadline() time.Duration
}

// process is a broker's process: what it was told, and its running parts as they are put together.
type process struct {
	files   files
	started time.Time
	cfg     *config.Config // of the start
	workers int
	flight  *config.Flight // nil: Arrow Flight is off
	log     *slog.Logger
	hup     chan os.Signal // SIGHUP
	term    chan os.Signal // SIGTERM and interrupts
	ctx     context.Context

	parts     *assembly.Assembly
	fleetSize int // brokers that share discovery and control, by the settings
	backoff   *backoff.Backoff
	metrics   *metrics.Counters
	core      core
	died      <-chan struct{} // closed when a worker has died; nil, which never speaks, with one loop
	watcher   *discovery.Watcher
	followed  *followed
	revisions *configfollower.Client // nil: no control machine changes the configuration

	listener net.Listener
	clients  *front.Front
	flights  *flight.Front // nil: Arrow Flight is off
	served   chan error    // of each front that has ended
}

// run is the process, from its start to its end.
func run(getenv func(string) string, files files) error {
	p := &process{files: files, started: time.Now(), parts: &assembly.Assembly{}, served: make(chan error, 3)}
	p.handleSignals()
	if err := p.load(getenv); err != nil {
		return err
	}
	var cancel context.CancelFunc
	p.ctx, cancel = context.WithCancel(context.Background())
	defer cancel()
	defer p.parts.End()
	if err := p.assemble(); err != nil {
		return err
	}
	p.start()
	if err := p.serve(); err != nil {
		return err
	}
	why, err := p.wait()
	if err != nil {
		return err
	}
	if err := p.end(); err != nil {
		return err
	}
	cancel()
	return why
}

// handleSignals comes before all else: a broker must not end because it was told of a new file.
func (p *process) handleSignals() {
	p.hup = make(chan os.Signal, 1)
	signal.Notify(p.hup, syscall.SIGHUP)
	p.term = make(chan os.Signal, 1)
}

// load reads the configuration and the operator files that shape the process, and bounds it by them.
func (p *process) load(getenv func(string) string) (err error) {
	if p.cfg, err = config.Load(getenv); err != nil {
		return err
	}
	p.workers = 1
	if p.files.cores != "" {
		if p.workers, err = config.LoadCores(p.files.cores, p.cfg); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(min(p.workers, runtime.NumCPU())) // a broker on the platform has one core
	debug.SetMemoryLimit(int64(memoryFraction * float64(p.cfg.MemoryMB<<20)))
	p.log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("broker", p.cfg.Name)
	p.parts.Log = p.log
	signal.Notify(p.term, syscall.SIGTERM, os.Interrupt)
	if p.files.flight != "" {
		p.flight, err = config.LoadFlight(p.files.flight, p.cfg)
	}
	return err
}

// start starts the loops and what runs beside them.
func (p *process) start() {
	go p.core.Run(p.ctx)
	p.core.Update(p.cfg.CachedEndpoints)
	p.parts.Start()
	go p.watcher.Run(p.ctx)
	go reload(p.hup, p.cfg, p.followed, p.log)
}

// wait waits until the process has to end. The error ends it at once; why is told after an end in order.
func (p *process) wait() (why, err error) {
	select {
	case err := <-p.served:
		return nil, err
	case <-p.term:
		return nil, nil
	case <-p.died:
		return errors.New("a worker has died; what the others held was answered"), nil
	}
}
