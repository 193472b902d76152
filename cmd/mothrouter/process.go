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
	"mothrouter/internal/transport/fairqueue"
	"mothrouter/internal/transport/flight"
	"mothrouter/internal/transport/front"
)

// memoryFraction is the fraction of the process's memory limit that the Go runtime may use. The rest is for cgo stacks,
// socket buffers and the program's code.
const memoryFraction = 0.7

// core is the broker's core: a single loop (broker.Broker), or several (cores.Group).
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

// process holds the configuration of a broker's process and, once assembled, its running components.
type process struct {
	files         operatorFiles
	startedAt     time.Time
	startConfig   *config.Config // as read at startup; a reload does not change it
	workers       int            // number of broker loops; 1 without -cores
	flightConfig  *config.Flight // nil: Arrow Flight is disabled
	log           *slog.Logger
	reloadSignals chan os.Signal // SIGHUP
	stopSignals   chan os.Signal // SIGTERM and interrupts
	ctx           context.Context

	components      *assembly.Assembly
	fleetSize       int // brokers that share the discovery service and the control machines, from the settings
	backoff         *backoff.Backoff
	metrics         *metrics.Counters
	core            core
	workerFailed    <-chan struct{} // closed when a worker has failed; nil with one loop
	watcher         *discovery.Watcher
	discoverySwitch *discoverySwitch
	configFollower  *configfollower.Client // nil without -configuration
	scheduler       *fairqueue.Scheduler   // grants the turns in which input of clients is processed

	listener    net.Listener
	clientFront *front.Front
	flightFront *flight.Front // nil: Arrow Flight is disabled
	frontErrors chan error    // what Serve returned, for each front that has ended; buffered for all three
}

// run runs a broker's process until it is stopped, a front fails or a worker fails.
func run(getenv func(string) string, files operatorFiles) error {
	p := &process{files: files, startedAt: time.Now(), components: &assembly.Assembly{}, frontErrors: make(chan error, 3)}
	p.handleSignals()
	if err := p.readConfig(getenv); err != nil {
		return err
	}
	var cancel context.CancelFunc
	p.ctx, cancel = context.WithCancel(context.Background())
	defer p.components.Stop()
	defer cancel() // before the components stop
	if err := p.assemble(); err != nil {
		return err
	}
	p.start()
	if err := p.serve(); err != nil {
		return err
	}
	return p.serveUntilStopped()
}

// serveUntilStopped serves until the process has to stop, and then shuts it down gracefully whatever the cause, so that accepted
// requests are answered. It returns the cause, which is nil after a signal.
func (p *process) serveUntilStopped() error {
	cause := p.wait()
	if cause != nil {
		p.log.Error("stopping after a failure", "error", cause)
	}
	p.shutDown()
	return cause
}

// handleSignals registers for SIGHUP before anything else: its default action would end a process that is still starting.
func (p *process) handleSignals() {
	p.reloadSignals = make(chan os.Signal, 1)
	signal.Notify(p.reloadSignals, syscall.SIGHUP)
	p.stopSignals = make(chan os.Signal, 1)
}

// readConfig reads the configuration and the operator files for cores and Flight, and sets the runtime's limits.
func (p *process) readConfig(getenv func(string) string) error {
	var err error
	if p.startConfig, err = config.Load(getenv); err != nil {
		return err
	}
	p.workers = 1
	if p.files.cores != "" {
		if p.workers, err = config.LoadCores(p.files.cores, p.startConfig); err != nil {
			return err
		}
	}
	processors := min(p.workers, runtime.NumCPU()) // without -cores, the platform gives a broker one core
	runtime.GOMAXPROCS(processors)
	p.scheduler = fairqueue.NewScheduler(processors)
	debug.SetMemoryLimit(int64(memoryFraction * float64(p.startConfig.MemoryLimitMiB<<20)))
	p.log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("broker", p.startConfig.Name)
	p.components.Log = p.log
	signal.Notify(p.stopSignals, syscall.SIGTERM, os.Interrupt)
	if p.files.flight != "" {
		p.flightConfig, err = config.LoadFlight(p.files.flight, p.startConfig)
	}
	return err
}

// start starts the core, the components, the watch of the endpoint list and the handling of SIGHUP.
func (p *process) start() {
	go p.core.Run(p.ctx)
	p.core.Update(p.startConfig.CachedEndpoints)
	p.components.Start()
	go p.watcher.Run(p.ctx)
	go reload(p.reloadSignals, p.startConfig, p.discoverySwitch, p.log)
}

// wait waits until the process has to stop and returns the cause, which is nil after a signal.
func (p *process) wait() error {
	select {
	case err := <-p.frontErrors:
		return err
	case <-p.stopSignals:
		return nil
	case <-p.workerFailed:
		return errors.New("a worker panicked; the queries of the other workers were answered")
	}
}
