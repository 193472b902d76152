// Package fleet runs the membership protocol of a broker process: one UDP socket, and one goroutine that owns the
// membership.View and runs its timers. The queues in both directions are bounded, so neither the agent nor the broker's core
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
	// inboxCapacity is the maximum number of parsed datagrams queued for the loop; further ones are dropped and counted. The
	// heartbeats that a member receives, 24 per second, fill it in 20 s.
	inboxCapacity = 512

	// sendTimeout bounds the socket writes of one loop iteration. Datagrams that the kernel has not accepted by then are
	// dropped: the protocol tolerates loss.
	sendTimeout = 5 * time.Millisecond

	// dropLogInterval is the interval at which dropped datagrams are logged.
	dropLogInterval = 10 * time.Second

	// leaveRepeatDelay is the delay before the leave announcement is repeated, since the first one may be lost.
	leaveRepeatDelay = 100 * time.Millisecond
)

// Options configure an Agent.
type Options struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort   // address at which other brokers reach this process; zero: the address listened on
	Fleet     string           // name of the fleet, the same for all of its brokers
	Name      string           // name of the broker, the same after a restart
	Seeds     []netip.AddrPort // brokers to contact to join the fleet
	Seed      uint64           // seed of the random number generator
	Log       *slog.Logger
	// Changed is called from the loop with the new fleet size whenever it changes. It must not block. It may be nil.
	Changed func(membership.FleetSize)
}

// Agent runs the membership protocol for this process. Create it with Listen, then call Run.
type Agent struct {
	options     Options
	conn        *net.UDPConn
	fingerprint uint64 // fingerprint of the fleet's name
	view        *membership.View
	startedAt   time.Time // origin of the view's clock, which is monotonic
	inbox       chan datagram
	fleetSize   atomic.Pointer[membership.FleetSize]

	inboxOverflows atomic.Int64   // datagrams dropped since the last drop log because the inbox was full
	drops          map[string]int // other datagrams dropped since the last drop log, by reason
	dropsLoggedAt  time.Time
	sendBuffer     []byte
}

// datagram is a received datagram: the sender's address, and the content or the error of plane.Parse.
type datagram struct {
	from netip.AddrPort
	data *planepb.Datagram
	err  error
}

// Listen opens the socket. An error names the configuration key fleet.listen.
func Listen(options Options) (*Agent, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if !options.Advertise.IsValid() {
		options.Advertise = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	a := &Agent{
		options:       options,
		conn:          conn,
		fingerprint:   plane.FleetFingerprint(options.Fleet),
		startedAt:     time.Now(),
		inbox:         make(chan datagram, inboxCapacity),
		drops:         map[string]int{},
		dropsLoggedAt: time.Now(),
	}
	a.view = a.newView()
	size := a.view.FleetSize()
	a.fleetSize.Store(&size)
	return a, nil
}

// newView returns the membership view of this process, as a new instance that starts at startedAt.
func (a *Agent) newView() *membership.View {
	start := uint64(a.startedAt.UnixNano())
	isSelf := func(addr netip.AddrPort) bool { return addr == a.options.Advertise }
	return membership.New(membership.Options{
		Self:    membership.Instance{Name: a.options.Name, Start: start, Addr: a.options.Advertise},
		Fleet:   a.fingerprint,
		Seeds:   slices.DeleteFunc(slices.Clone(a.options.Seeds), isSelf),
		Seed:    a.options.Seed ^ start,
		Changed: a.logMember,
	})
}

// logMember logs a member's new status.
func (a *Agent) logMember(m membership.Member) {
	a.options.Log.Info("fleet member changed", "member", m.Name, "start", m.Start, "addr", m.Addr, "is", m.Status)
}

// FleetSize returns the size of the fleet as of the last tick. It is safe for concurrent use.
func (a *Agent) FleetSize() membership.FleetSize { return *a.fleetSize.Load() }

// Run runs the loop until ctx is done, then announces that this process leaves, closes the socket and returns.
func (a *Agent) Run(ctx context.Context) {
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		a.read()
	}()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			a.leave()
			_ = a.conn.Close() // nothing is sent after the leave announcement
			<-readerDone
			return
		case d := <-a.inbox:
			a.receive(d)
		case <-tick.C:
			tick.Reset(membership.TickInterval)
			a.send(a.view.Tick(time.Since(a.startedAt)))
			a.publishFleetSize()
			a.logDrops()
		}
	}
}

// leave sends the leave announcement twice, leaveRepeatDelay apart.
func (a *Agent) leave() {
	a.send(a.view.Leave(time.Since(a.startedAt)))
	time.Sleep(leaveRepeatDelay)
	a.send(a.view.Leave(time.Since(a.startedAt)))
}

// receive passes a datagram to the view, or counts it if it is invalid.
func (a *Agent) receive(d datagram) {
	if d.err != nil {
		a.drops[d.err.Error()]++
		return
	}
	a.send(a.view.Receive(time.Since(a.startedAt), d.from, d.data))
}

// publishFleetSize stores the fleet's size for FleetSize and, if it has changed, logs it and calls Options.Changed.
func (a *Agent) publishFleetSize() {
	size := a.view.FleetSize()
	if previous := a.fleetSize.Swap(&size); *previous == size {
		return
	}
	a.options.Log.Info("fleet size changed",
		"alive", size.Alive, "known", size.Known, "sharing", size.Sharing, "fenced", size.Fenced)
	if a.options.Changed != nil {
		a.options.Changed(size)
	}
}

// logDrops logs the datagrams dropped since the previous drop log, one line per reason, at most once per dropLogInterval.
func (a *Agent) logDrops() {
	now := time.Now()
	if now.Sub(a.dropsLoggedAt) < dropLogInterval {
		return
	}
	a.dropsLoggedAt = now
	if n := a.inboxOverflows.Swap(0); n > 0 {
		a.drops["inbox full"] += int(n)
	}
	for _, reason := range slices.Sorted(maps.Keys(a.drops)) {
		a.options.Log.Warn("fleet datagrams dropped", "why", reason, "count", a.drops[reason])
	}
	clear(a.drops)
}

// read parses datagrams into the inbox until the socket is closed. It never waits for the loop.
func (a *Agent) read() {
	buf := make([]byte, plane.MaxDatagramSize+1) // one extra byte, so that Parse detects oversized datagrams
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example ECONNREFUSED, caused by an ICMP response to an earlier send
		}
		d := datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		d.data, d.err = plane.Parse(buf[:n], a.fingerprint)
		select {
		case a.inbox <- d:
		default:
			a.inboxOverflows.Add(1)
		}
	}
}

// send sends datagrams and counts those that could not be sent.
func (a *Agent) send(out []membership.Send) {
	if len(out) == 0 {
		return
	}
	_ = a.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // an error means a closed socket: the writes below fail as well
	for _, s := range out {
		b, err := plane.Append(a.sendBuffer[:0], s.Data)
		if err != nil {
			a.drops["encoding failed: "+err.Error()]++
			continue
		}
		a.sendBuffer = b
		if _, err := a.conn.WriteToUDPAddrPort(b, s.Addr); err != nil {
			a.drops["write failed"]++
		}
	}
}
