// Package fleet drives the gossip plane of a broker process: one UDP socket, and one goroutine that owns the
// membership.View and runs its timers. Mailboxes on both sides are bounded, so that neither the plane nor the broker's core
// ever waits for the other.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"mothrouter/internal/cluster/membership"
	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

const (
	// inboxCapacity is the maximum number of parsed datagrams that wait for the loop; more are dropped and counted. The
	// heartbeats that a member receives, 24 a second, fill it in 20 s.
	inboxCapacity = 512

	// sendTimeout bounds the sends of one step. A datagram that the system does not accept by then is dropped: the plane
	// tolerates loss.
	sendTimeout = 5 * time.Millisecond

	// dropLogInterval is the interval at which dropped datagrams are logged.
	dropLogInterval = 10 * time.Second

	// leaveRepeatDelay is the delay after which the leave announcement is repeated, since the first may be lost.
	leaveRepeatDelay = 100 * time.Millisecond
)

// Options configure a Plane.
type Options struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort // address at which others reach this process; zero: Listen
	Fleet     string         // name of the fleet, the same at all of its brokers
	Name      string         // of the broker, the same after a restart
	Seeds     []netip.AddrPort
	Seed      uint64 // of random numbers
	Log       *slog.Logger
	// Changed is called by the loop with the fleet's size each time that it has changed. It must not block. It may be nil.
	Changed func(membership.FleetSize)
}

// Plane is this process's endpoint of the gossip plane. Make it with Listen, then call Run.
type Plane struct {
	options     Options
	conn        *net.UDPConn
	fingerprint uint64 // of the fleet
	view        *membership.View
	startedAt   time.Time // origin of the view's clock, which is monotonic
	inbox       chan datagram
	fleetSize   atomic.Pointer[membership.FleetSize]

	inboxOverflows atomic.Int64   // datagrams dropped since the last drop log because the inbox was full
	drops          map[string]int // other datagrams dropped since then, by reason
	dropsLoggedAt  time.Time
	sendBuffer     []byte
}

// datagram is a datagram received: its sender's address, and its content or the error of plane.Parse.
type datagram struct {
	from netip.AddrPort
	data *planepb.Datagram
	err  error
}

// Listen opens the socket. Its error names the key fleet.listen.
func Listen(options Options) (*Plane, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if !options.Advertise.IsValid() {
		options.Advertise = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	p := &Plane{
		options:       options,
		conn:          conn,
		fingerprint:   plane.FleetFingerprint(options.Fleet),
		startedAt:     time.Now(),
		inbox:         make(chan datagram, inboxCapacity),
		drops:         map[string]int{},
		dropsLoggedAt: time.Now(),
	}
	p.view = p.newView()
	size := p.view.FleetSize()
	p.fleetSize.Store(&size)
	return p, nil
}

// newView returns the membership of this process, an instance that starts now.
func (p *Plane) newView() *membership.View {
	start := uint64(p.startedAt.UnixNano())
	isSelf := func(a netip.AddrPort) bool { return a == p.options.Advertise }
	return membership.New(membership.Options{
		Self:    membership.Instance{Name: p.options.Name, Start: start, Addr: p.options.Advertise},
		Fleet:   p.fingerprint,
		Seeds:   slices.DeleteFunc(slices.Clone(p.options.Seeds), isSelf),
		Seed:    p.options.Seed ^ start,
		Changed: p.logMember,
	})
}

// logMember logs a member's new status.
func (p *Plane) logMember(m membership.Member) {
	p.options.Log.Info("fleet member changed", "member", m.Name, "start", m.Start, "addr", m.Addr, "is", m.Status)
}

// FleetSize returns the size of the fleet as of the last tick. It may be called by any goroutine.
func (p *Plane) FleetSize() membership.FleetSize { return *p.fleetSize.Load() }

// Run runs the loop until ctx ends, then announces that this process leaves, closes the socket and returns.
func (p *Plane) Run(ctx context.Context) {
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		p.read()
	}()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.leave()
			_ = p.conn.Close() // nothing is sent after the leave announcement
			<-readerDone
			return
		case d := <-p.inbox:
			p.receive(d)
		case <-tick.C:
			tick.Reset(membership.TickInterval)
			p.send(p.view.Tick(time.Since(p.startedAt)))
			p.publishFleetSize()
			p.logDrops()
		}
	}
}

// leave sends the leave announcement twice, leaveRepeatDelay apart.
func (p *Plane) leave() {
	p.send(p.view.Leave(time.Since(p.startedAt)))
	time.Sleep(leaveRepeatDelay)
	p.send(p.view.Leave(time.Since(p.startedAt)))
}

// receive passes a datagram to the view, or counts it if it is invalid.
func (p *Plane) receive(d datagram) {
	if d.err != nil {
		p.drops[d.err.Error()]++
		return
	}
	p.send(p.view.Receive(time.Since(p.startedAt), d.from, d.data))
}

// publishFleetSize stores the fleet's size for FleetSize and, if it has changed, logs it and calls Options.Changed.
func (p *Plane) publishFleetSize() {
	size := p.view.FleetSize()
	if previous := p.fleetSize.Swap(&size); *previous == size {
		return
	}
	p.options.Log.Info("fleet size changed",
		"alive", size.Alive, "known", size.Known, "sharing", size.Sharing, "fenced", size.Fenced)
	if p.options.Changed != nil {
		p.options.Changed(size)
	}
}

// logDrops logs, each dropLogInterval, the datagrams dropped since the last time, a line for each reason.
func (p *Plane) logDrops() {
	now := time.Now()
	if now.Sub(p.dropsLoggedAt) < dropLogInterval {
		return
	}
	p.dropsLoggedAt = now
	if n := p.inboxOverflows.Swap(0); n > 0 {
		p.drops["crowded out"] += int(n)
	}
	for _, reason := range slices.Sorted(maps.Keys(p.drops)) {
		p.options.Log.Warn("fleet datagrams dropped", "why", reason, "count", p.drops[reason])
	}
	clear(p.drops)
}

// read parses datagrams into the inbox until the socket is closed. It never waits for the loop.
func (p *Plane) read() {
	buf := make([]byte, plane.MaxDatagramSize+1) // one byte more, so that Parse sees an oversized datagram as such
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as ECONNREFUSED, the ICMP answer to an earlier send
		}
		d := datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		d.data, d.err = plane.Parse(buf[:n], p.fingerprint)
		select {
		case p.inbox <- d:
		default:
			p.inboxOverflows.Add(1)
		}
	}
}

// send sends datagrams, and counts those that cannot be sent.
func (p *Plane) send(out []membership.Send) {
	if len(out) == 0 {
		return
	}
	_ = p.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // on a closed socket the writes below fail, too
	for _, s := range out {
		b, err := plane.Append(p.sendBuffer[:0], s.Data)
		if err != nil {
			p.drops["sent: "+err.Error()]++
			continue
		}
		p.sendBuffer = b
		if _, err := p.conn.WriteToUDPAddrPort(b, s.Addr); err != nil {
			p.drops["not sent"]++
		}
	}
}
