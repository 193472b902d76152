package main

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"mothrouter/internal/admin"
	"mothrouter/internal/broker"
	"mothrouter/internal/config"
	"mothrouter/internal/metrics"
	"mothrouter/internal/transport/flight"
	"mothrouter/internal/transport/front"
	"mothrouter/internal/transport/presence"
)

// serve opens the listeners for clients and operators and starts serving on them.
func (p *process) serve() error {
	if err := p.serveClients(); err != nil {
		return err
	}
	if err := p.serveAdmin(); err != nil {
		return err
	}
	if err := p.serveFlight(); err != nil {
		return err
	}
	p.log.Info("serving", "listen", p.startConfig.Listen, "servers", len(p.startConfig.CachedEndpoints.Servers))
	return nil
}

// serveClients serves clients over HTTP/1.1.
func (p *process) serveClients() error {
	var err error
	if p.listener, err = listen(p.startConfig); err != nil {
		return err
	}
	p.clientFront = front.New(front.Options{
		Classes: p.startConfig.Classes, Shards: p.startConfig.Shards, MaxConns: p.startConfig.MaxClientConns,
		MaxIdleConns: p.startConfig.MaxIdleConns, MaxBufferedBytes: p.startConfig.MaxBufferedBytes,
		RetryAfter: p.startConfig.OverloadRetryAfter(), Metrics: p.metrics, Scheduler: p.scheduler,
	}, p.core, p.log)
	go func() { p.frontErrors <- p.clientFront.Serve(p.listener) }()
	return nil
}

// serveAdmin serves operators at the control address, if the configuration has one.
func (p *process) serveAdmin() error {
	if p.startConfig.AdminAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", p.startConfig.AdminAddress)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	adminServer := admin.New(adminProcess{p.clientFront, p.metrics}, p.log)
	go func() { p.frontErrors <- adminServer.Serve(l) }()
	return nil
}

// serveFlight serves clients over Arrow Flight, if it is enabled.
func (p *process) serveFlight() error {
	if p.flightConfig == nil {
		return nil
	}
	l, err := net.Listen("tcp", p.flightConfig.Listen)
	if err != nil {
		return fmt.Errorf("flight.listen: %w", err)
	}
	p.flightFront = flight.NewFront(flight.Options{
		Classes: p.startConfig.Classes, Shards: p.startConfig.Shards, MaxConns: p.flightConfig.Connections,
	}, &drainAwareCore{p.core, p.clientFront.RejectsRequests, p.startConfig.OverloadRetryAfter()})
	go func() { p.frontErrors <- p.flightFront.Serve(p.scheduler.Listener(presence.Listener(l)), p.log) }()
	return nil
}

// listen opens the listening socket for clients, or uses the inherited one (PROXY_ACCEPT_FD).
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
	if closeErr := f.Close(); err == nil && closeErr != nil { // the listener has a duplicate of the descriptor
		err = closeErr
	}
	if err != nil {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: %d is not a listening socket: %w", cfg.AcceptFD, err)
	}
	inherited := inheritedListener{Listener: l}
	if conn, ok := l.(syscall.Conn); ok {
		if inherited.socket, err = conn.SyscallConn(); err != nil {
			return nil, fmt.Errorf("PROXY_ACCEPT_FD: %w", err)
		}
	}
	return inherited, nil
}

// inheritedListener is a listener whose socket other processes use, too. They share its blocking mode, and the start of another
// process may put it back into blocking mode. An accept that blocks in a system call cannot be interrupted: closing the listener
// would wait until another client connects.
type inheritedListener struct {
	net.Listener
	socket syscall.RawConn // nil if the listener does not give access to its socket
}

// Accept puts the socket into non-blocking mode and waits for the next connection.
func (l inheritedListener) Accept() (net.Conn, error) {
	if l.socket != nil {
		// An error means that the listener has been closed, which Accept returns, too.
		_ = l.socket.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
	return l.Listener.Accept()
}

// drainAwareCore is the core that the Flight front submits to. While a drain makes the HTTP front reject requests,
// drainAwareCore rejects those of the Flight front.
type drainAwareCore struct {
	core
	rejects    func() bool // reports whether the HTTP front rejects requests now
	retryAfter float64     // sent with rejections; seconds
}

// Submit passes a request to the core, or rejects it at once during a drain.
func (d *drainAwareCore) Submit(r *broker.Request, c broker.Client) {
	if d.rejects() {
		c.Finish(broker.Result{Outcome: broker.Rejected, RetryAfter: d.retryAfter})
		return
	}
	d.core.Submit(r, c)
}

// adminProcess implements admin.Process: the drain and the metrics of the process, for the commands at the control address.
type adminProcess struct {
	clientFront *front.Front
	metrics     *metrics.Counters
}

func (p adminProcess) AcceptsClients() bool          { return p.clientFront.AcceptsClients() }
func (p adminProcess) StartDrain()                   { p.clientFront.Drain() }
func (p adminProcess) CancelDrain()                  { p.clientFront.Rejoin() }
func (p adminProcess) AppendMetrics(b []byte) []byte { return p.metrics.Append(b) }
