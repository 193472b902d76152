package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/cluster/membership"
	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// network simulates a fleet and its network in virtual time. A run is determined by its seed.
type network struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Duration
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	events events

	lossRatio      float64                   // fraction of datagrams that are lost
	duplicateRatio float64                   // fraction of the other datagrams that are duplicated
	maxDelay       time.Duration             // datagrams are delayed, and so reordered, by up to this
	partitioned    func(from, to *node) bool // reports whether datagrams between two nodes are dropped
	delayed        func(from, to *node) bool // reports whether datagrams are put into delayedEvents instead of being sent
	delayedEvents  []event                   // for the test to deliver
}

// node is a simulated broker.
type node struct {
	*membership.View
	index       int // the broker's name is "n" and this number
	zone        int
	addr        netip.AddrPort
	dead        bool
	pausedUntil time.Duration
	queue       []event // datagrams received during the pause
	sentBytes   int
	lostNames   []string                 // names of the members that it reported lost, in order
	lostAt      map[string]time.Duration // by name, when it last reported the member lost
	aliveAt     map[string]time.Duration // by name, when it last reported the member alive
}

// event is a datagram or a tick that is due at a node.
type event struct {
	at   time.Duration
	to   *node
	from netip.AddrPort
	data *planepb.Datagram // nil: a tick
}

// events is a heap ordered by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const fleetFingerprint = 7

func newNetwork(t testing.TB, nodes int, seed uint64) *network {
	net := &network{t: t, rng: rand.New(rand.NewPCG(seed, 5)), byAddr: map[netip.AddrPort]*node{}, maxDelay: 5 * time.Millisecond,
		partitioned: func(_, _ *node) bool { return false }, delayed: func(_, _ *node) bool { return false }}
	for i := range nodes {
		net.start(i)
	}
	return net
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i / 250), byte(i % 250), 1}), 7946)
}

// start starts the broker with an index, or a new instance of it if there is one already.
func (net *network) start(i int) {
	n := &node{index: i, zone: i % 2, addr: addrOf(i), lostAt: map[string]time.Duration{}, aliveAt: map[string]time.Duration{}}
	n.View = membership.New(membership.Options{
		Self:  membership.Instance{Name: fmt.Sprint("n", i), Start: uint64(net.now) + 1, Addr: n.addr},
		Fleet: fleetFingerprint, Seeds: []netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)}, Seed: net.rng.Uint64(),
		Changed: func(m membership.Member) {
			switch m.Status {
			case membership.Lost:
				n.lostNames = append(n.lostNames, m.Name)
				n.lostAt[m.Name] = net.now
			case membership.Alive:
				n.aliveAt[m.Name] = net.now
			}
		},
	})
	for j, old := range net.nodes {
		if old.index == i {
			net.nodes[j] = n
			net.byAddr[n.addr] = n
			net.push(event{at: net.now, to: n})
			return
		}
	}
	net.nodes = append(net.nodes, n)
	net.byAddr[n.addr] = n
	net.push(event{at: net.now + time.Duration(net.rng.Int64N(int64(membership.TickInterval))), to: n})
}

func (net *network) push(e event) { heap.Push(&net.events, e) }

// run runs the simulation up to a point in time.
func (net *network) run(until time.Duration) {
	for len(net.events) > 0 && net.events[0].at <= until {
		e := heap.Pop(&net.events).(event)
		net.now = e.at
		n := e.to
		if n.dead {
			continue
		}
		if net.now < n.pausedUntil {
			if e.data == nil {
				e.at = n.pausedUntil
				net.push(e)
			} else if len(n.queue) < 300 { // more are dropped, as by a full socket buffer
				n.queue = append(n.queue, e)
			}
			continue
		}
		if queue := n.queue; len(queue) > 0 {
			n.queue = nil
			for _, queued := range queue { // before the first tick, as in the driver
				net.transmit(n, n.Receive(net.now, queued.from, queued.data))
			}
		}
		if e.data == nil {
			net.transmit(n, n.Tick(net.now))
			net.push(event{at: net.now + membership.TickInterval, to: n})
			continue
		}
		net.transmit(n, n.Receive(net.now, e.from, e.data))
	}
	net.now = until
}

// transmit sends datagrams from a node, subject to the configured faults.
func (net *network) transmit(n *node, out []membership.Send) {
	for _, s := range out {
		size := plane.WireSize(s.Data)
		if size > plane.MaxDatagramSize+plane.Overhead {
			net.t.Fatalf("n%d sent a datagram of %d bytes, want at most %d", n.index, size, plane.MaxDatagramSize+plane.Overhead)
		}
		n.sentBytes += size
		to := net.byAddr[s.Addr]
		if to == nil || net.partitioned(n, to) {
			continue
		}
		if net.delayed(n, to) {
			net.delayedEvents = append(net.delayedEvents, event{to: to, from: n.addr, data: s.Data})
			continue
		}
		copies := 1
		if net.rng.Float64() < net.lossRatio {
			copies = 0
		} else if net.rng.Float64() < net.duplicateRatio {
			copies = 2
		}
		for range copies {
			arrival := net.now + time.Duration(net.rng.Int64N(int64(net.maxDelay))) + time.Microsecond
			net.push(event{at: arrival, to: to, from: n.addr, data: s.Data})
		}
	}
}

// runUntilAgreed runs the simulation until all views agree, and fails the test if they do not within a duration.
func (net *network) runUntilAgreed(within time.Duration) {
	end := net.now + within
	for !net.viewsAgree(nil) {
		if net.now >= end {
			net.t.Fatalf("views differ after %v: %s", within, net.describeViews())
		}
		net.run(net.now + 100*time.Millisecond)
	}
}

// viewsAgree reports whether each live node of a set (nil: all nodes) sees exactly the live nodes of the set alive, by name.
func (net *network) viewsAgree(inSet func(*node) bool) bool {
	liveNames, liveCount := map[string]bool{}, 0
	for _, n := range net.nodes {
		if !n.dead && (inSet == nil || inSet(n)) {
			liveNames[nameOf(n)] = true
			liveCount++
		}
	}
	for _, n := range net.nodes {
		if n.dead || inSet != nil && !inSet(n) {
			continue
		}
		seen := 0
		for _, m := range n.Members() {
			if m.Status != membership.Alive {
				continue
			}
			if !liveNames[m.Name] {
				return false
			}
			seen++
		}
		if seen != liveCount {
			return false
		}
	}
	return true
}

// describeViews returns how many live nodes see how many members alive, as a map from members to nodes.
func (net *network) describeViews() string {
	nodesByAliveCount := map[int]int{}
	for _, n := range net.nodes {
		if n.dead {
			continue
		}
		alive := 0
		for _, m := range n.Members() {
			if m.Status == membership.Alive {
				alive++
			}
		}
		nodesByAliveCount[alive]++
	}
	return fmt.Sprint(nodesByAliveCount)
}

// lossVerdicts returns which members were declared lost by which nodes, without the members whose names are in except.
func (net *network) lossVerdicts(except map[string]bool) (verdicts []string) {
	for _, n := range net.nodes {
		for _, name := range n.lostNames {
			if !except[name] {
				verdicts = append(verdicts, fmt.Sprintf("%s lost according to n%d", name, n.index))
			}
		}
	}
	return verdicts
}

// requireNoLoss requires that no members other than those in except were declared lost.
func (net *network) requireNoLoss(except map[string]bool) {
	net.t.Helper()
	verdicts := net.lossVerdicts(except)
	require.Empty(net.t, verdicts[:min(len(verdicts), 5)], "%d loss verdicts", len(verdicts))
}

// maxSendRate runs f and returns the highest mean send rate of a node during f, in bytes per second.
func (net *network) maxSendRate(f func()) (rate float64) {
	startedAt, sentBefore := net.now, map[*node]int{}
	for _, n := range net.nodes {
		sentBefore[n] = n.sentBytes
	}
	f()
	for _, n := range net.nodes {
		rate = max(rate, float64(n.sentBytes-sentBefore[n])/(net.now-startedAt).Seconds())
	}
	return rate
}
