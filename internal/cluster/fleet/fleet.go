// Package fleet drives the plane between broker processes: one socket, one loop on one goroutine that owns the
// membership, and bounded mailboxes on both sides, so that neither the plane nor the broker's loops ever wait for the
// other.
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
	inboxCapacity    = 512                    // datagrams read and not yet looked at; more are dropped and counted
	sendTimeout      = 5 * time.Millisecond   // a send that the system cannot take at once is dropped: it may be lost anyway
	dropLogInterval  = 10 * time.Second       // between two lines of dropped datagrams
	leaveRepeatDelay = 100 * time.Millisecond // between the two farewells: one may be lost
)

// Options are what a deployment fixes.
type Options struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort // where others reach this process; the zero one: Listen
	Fleet     string         // name of the fleet
	Name      string         // of the broker
	Seeds     []netip.AddrPort
	Seed      uint64
	Log       *slog.Logger
	// Changed is told, by the loop, of each change of the fleet's count. It must not block.
	Changed func(membership.FleetSize)
}

// Plane is this process's end of the plane. Make it with Listen, then Run it.
type Plane struct {
	options     Options
	conn        *net.UDPConn
	fingerprint uint64
	view        *membership.View
	startedAt   time.Time // the clock of the view, which runs on when the system's is set
	inbox       chan datagram
	fleetSize   atomic.Pointer[membership.FleetSize]

	inboxOverflows atomic.Int64 // datagrams dropped because the loop was behind
	drops          map[string]int
	dropsLoggedAt  time.Time // when drops were last reported
	sendBuffer     []byte
}

type datagram struct {
	from netip.AddrPort
	data *planepb.Datagram
	err  error // it cannot be used
}

// Listen opens the socket.
func Listen(opt Options) (*Plane, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(opt.Listen))
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if !opt.Advertise.IsValid() {
		opt.Advertise = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	p := &Plane{options: opt, conn: conn, fingerprint: plane.FleetFingerprint(opt.Fleet), startedAt: time.Now(),
		inbox: make(chan datagram, inboxCapacity), drops: map[string]int{}, dropsLoggedAt: time.Now()}
	seeds := slices.DeleteFunc(slices.Clone(opt.Seeds), func(a netip.AddrPort) bool { return a == opt.Advertise })
	p.view = membership.New(membership.Options{
		Self:  membership.Instance{Name: opt.Name, Start: uint64(p.startedAt.UnixNano()), Addr: opt.Advertise},
		Fleet: p.fingerprint, Seeds: seeds, Seed: opt.Seed ^ uint64(p.startedAt.UnixNano()),
		Changed: func(m membership.Member) {
			opt.Log.Info("fleet member changed", "member", m.Name, "start", m.Start, "addr", m.Addr, "is", m.Status)
		},
	})
	first := p.view.FleetSize()
	p.fleetSize.Store(&first)
	return p, nil
}

// FleetSize tells how the fleet stood when the loop last looked. Any goroutine may ask.
func (p *Plane) FleetSize() membership.FleetSize { return *p.fleetSize.Load() }

// Run is the loop. It returns when ctx ends, after a farewell.
func (p *Plane) Run(ctx context.Context) {
	read := make(chan struct{})
	go func() {
		defer close(read)
		p.read()
	}()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.send(p.view.Leave(time.Since(p.startedAt)))
			time.Sleep(leaveRepeatDelay)
			p.send(p.view.Leave(time.Since(p.startedAt)))
			_ = p.conn.Close() // the process ends
			<-read
			return
		case d := <-p.inbox:
			if d.err != nil {
				p.drops[d.err.Error()]++
				break
			}
			p.send(p.view.Receive(time.Since(p.startedAt), d.from, d.data))
		case <-tick.C:
			tick.Reset(membership.TickInterval)
			p.send(p.view.Tick(time.Since(p.startedAt)))
			p.publishFleetSize()
		}
	}
}

// publishFleetSize takes up what has changed.
func (p *Plane) publishFleetSize() {
	c := p.view.FleetSize()
	if old := p.fleetSize.Swap(&c); *old != c {
		p.options.Log.Info("fleet size changed", "alive", c.Alive, "known", c.Known, "sharing", c.Sharing, "fenced", c.Fenced)
		if p.options.Changed != nil {
			p.options.Changed(c)
		}
	}
	if now := time.Now(); now.Sub(p.dropsLoggedAt) >= dropLogInterval {
		p.dropsLoggedAt = now
		if n := p.inboxOverflows.Swap(0); n > 0 {
			p.drops["crowded out"] += int(n)
		}
		for _, why := range slices.Sorted(maps.Keys(p.drops)) {
			p.options.Log.Warn("fleet datagrams dropped", "why", why, "count", p.drops[why])
		}
		clear(p.drops)
	}
}

// read reads datagrams until the socket is closed. What cannot be used costs no more than its reading.
func (p *Plane) read() {
	buf := make([]byte, plane.MaxDatagramSize+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as a port that nobody listens on, told of an earlier send
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

func (p *Plane) send(out []membership.Send) {
	if len(out) == 0 {
		return
	}
	_ = p.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // a closed socket fails at the write below
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
