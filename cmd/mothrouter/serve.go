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
	if p.listener, err = listen(p.startConfig); err != nil {
		return err
	}
	p.clientFront = front.New(front.Options{
		Classes: p.startConfig.Classes, Shards: p.startConfig.Shards, MaxConns: p.startConfig.MaxClientConns, MaxIdleConns: p.startConfig.MaxIdleConns,
		MaxBufferedBytes: p.startConfig.MaxBufferedBytes, RetryAfter: p.startConfig.RetryAfter(), Metrics: p.metrics,
	}, p.core, p.log)
	go func() { p.frontEnded <- p.clientFront.Serve(p.listener) }()
	if p.startConfig.Control != "" {
		l, err := net.Listen("tcp", p.startConfig.Control)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		adminServer := admin.New(adminProcess{p.clientFront, p.metrics}, p.log)
		go func() { p.frontEnded <- adminServer.Serve(l) }()
	}
	if p.flightConfig != nil {
		l, err := net.Listen("tcp", p.flightConfig.Listen)
		if err != nil {
			return fmt.Errorf("flight.listen: %w", err)
		}
		p.flightFront = flight.NewFront(flight.Options{
			Classes: p.startConfig.Classes, Shards: p.startConfig.Shards, MaxConns: p.flightConfig.Connections,
		}, &drainAwareCore{p.core, p.clientFront.RejectsRequests, p.startConfig.RetryAfter()})
		go func() { p.frontEnded <- p.flightFront.Serve(l, p.log) }()
	}
	p.log.Info("serving", "listen", p.startConfig.Listen, "servers", len(p.startConfig.Known.Servers))
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

// adminProcess is the process as operators steer it.
type adminProcess struct {
	clients *front.Front
	metrics *metrics.Counters
}

func (s adminProcess) AcceptsClients() bool          { return s.clients.AcceptsClients() }
func (s adminProcess) StartDrain()                   { s.clients.Drain() }
func (s adminProcess) CancelDrain()                  { s.clients.Rejoin() }
func (s adminProcess) AppendMetrics(b []byte) []byte { return s.metrics.Append(b) }
