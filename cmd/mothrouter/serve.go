package main

import (
	"fmt"
	"net"
	"os"

	"mothrouter/internal/broker"
	"mothrouter/internal/config"
	"mothrouter/internal/control"
	"mothrouter/internal/flight"
	"mothrouter/internal/front"
	"mothrouter/internal/metrics"
)

// serve opens the process to clients and operators.
func (p *process) serve() (err error) {
	if p.listener, err = listen(p.cfg); err != nil {
		return err
	}
	p.clients = front.New(front.Options{
		Classes: p.cfg.Classes, Shards: p.cfg.Shards, MaxConns: p.cfg.ClientConns, MaxIdleConns: p.cfg.IdleConns,
		MaxBufferedBytes: p.cfg.Buffers, RetryAfter: p.cfg.Advice(), Metrics: p.figures,
	}, p.core, p.log)
	go func() { p.served <- p.clients.Serve(p.listener) }()
	if p.cfg.Control != "" {
		l, err := net.Listen("tcp", p.cfg.Control)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		operators := control.New(steered{p.clients, p.figures}, p.log)
		go func() { p.served <- operators.Serve(l) }()
	}
	if p.partners != nil {
		l, err := net.Listen("tcp", p.partners.Listen)
		if err != nil {
			return fmt.Errorf("flight.listen: %w", err)
		}
		p.flights = flight.NewFront(flight.Options{
			Classes: p.cfg.Classes, Shards: p.cfg.Shards, MaxConns: p.partners.Connections,
		}, &drained{p.core, p.clients.RejectsRequests, p.cfg.Advice()})
		go func() { p.served <- p.flights.Serve(l, p.log) }()
	}
	p.log.Info("serving", "listen", p.cfg.Listen, "servers", len(p.cfg.Known.Servers))
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

// drained is the core as Flight sees it: a drain of operators binds it as it does the platform's front.
type drained struct {
	core
	refuses func() bool
	advice  float64
}

func (d *drained) Submit(r *broker.Request, c broker.Client) {
	if d.refuses() {
		c.Finish(broker.Result{Outcome: broker.Rejected, RetryAfter: d.advice})
		return
	}
	d.core.Submit(r, c)
}

// steered is the process as operators steer it.
type steered struct {
	clients *front.Front
	figures *metrics.Counters
}

func (s steered) Takes() bool             { return s.clients.AcceptsClients() }
func (s steered) Leave()                  { s.clients.Drain() }
func (s steered) Join()                   { s.clients.Rejoin() }
func (s steered) Figures(b []byte) []byte { return s.figures.Append(b) }
