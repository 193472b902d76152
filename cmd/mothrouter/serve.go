package main

import (
	"fmt"
	"net"
	"os"

	"mothrouter/internal/admin"
	"mothrouter/internal/broker"
	"mothrouter/internal/config"
	"mothrouter/internal/metrics"
	"mothrouter/internal/transport/flight"
	"mothrouter/internal/transport/front"
)

// serve opens the process to clients and operators.
func (p *process) serve() (err error) {
	if p.listener, err = listen(p.cfg); err != nil {
		return err
	}
	p.clients = front.New(front.Options{
		Classes: p.cfg.Classes, Shards: p.cfg.Shards, MaxConns: p.cfg.MaxClientConns, MaxIdleConns: p.cfg.MaxIdleConns,
		MaxBufferedBytes: p.cfg.MaxBufferedBytes, RetryAfter: p.cfg.OverloadRetryAfter(), Metrics: p.metrics,
	}, p.core, p.log)
	go func() { p.served <- p.clients.Serve(p.listener) }()
	if p.cfg.AdminAddress != "" {
		l, err := net.Listen("tcp", p.cfg.AdminAddress)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		operators := admin.New(operatedProcess{p.clients, p.metrics}, p.log)
		go func() { p.served <- operators.Serve(l) }()
	}
	if p.flight != nil {
		l, err := net.Listen("tcp", p.flight.Listen)
		if err != nil {
			return fmt.Errorf("flight.listen: %w", err)
		}
		p.flights = flight.NewFront(flight.Options{
			Classes: p.cfg.Classes, Shards: p.cfg.Shards, MaxConns: p.flight.Connections,
		}, &drainAwareCore{p.core, p.clients.RejectsRequests, p.cfg.OverloadRetryAfter()})
		go func() { p.served <- p.flights.Serve(l, p.log) }()
	}
	p.log.Info("serving", "listen", p.cfg.Listen, "servers", len(p.cfg.CachedEndpoints.Servers))
	return nil
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
	if closeErr := f.Close(); err == nil && closeErr != nil { // the listener has a descriptor of its own
		err = closeErr
	}
	if err != nil {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: %d is no listening socket: %w", cfg.AcceptFD, err)
	}
	return l, nil
}

// drainAwareCore is the core as Flight sees it: a drain of operators binds it as it does the platform's front.
type drainAwareCore struct {
	core
	rejects    func() bool
	retryAfter float64
}

func (d *drainAwareCore) Submit(r *broker.Request, c broker.Client) {
	if d.rejects() {
		c.Finish(broker.Result{Outcome: broker.Rejected, RetryAfter: d.retryAfter})
		return
	}
	d.core.Submit(r, c)
}

// operatedProcess is the process as operators steer it.
type operatedProcess struct {
	clients *front.Front
	metrics *metrics.Counters
}

func (s operatedProcess) AcceptsClients() bool          { return s.clients.AcceptsClients() }
func (s operatedProcess) StartDrain()                   { s.clients.Drain() }
func (s operatedProcess) CancelDrain()                  { s.clients.Rejoin() }
func (s operatedProcess) AppendMetrics(b []byte) []byte { return s.metrics.Append(b) }
