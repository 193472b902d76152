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

// network simulates a fleet on virtual time, deterministically from one seed.
type network struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Duration
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	events events

	lossRatio, duplicateRatio float64       // fractions of all datagrams
	maxDelay                  time.Duration // datagrams are delayed by up to this and so reordered
	partitioned               func(from, to *node) bool
	delayed                   func(from, to *node) bool // these go to delayedEvents instead, for the test to deliver
	delayedEvents             []event
}

type node struct {
	*membership.View
	i           int
	zone        int
	addr        netip.AddrPort
	dead        bool
	pausedUntil time.Duration
	queue       []event // datagrams received during the pause
	sentBytes   int
	lostNames   []string                 // names of the members it reported lost, in order
	lostAt      map[string]time.Duration // when it last reported each lost
	aliveAt     map[string]time.Duration // when it last reported each alive again
}

type event struct {
	at   time.Duration
	to   *node
	from netip.AddrPort
	data *planepb.Datagram // nil: a tick
}

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

const fleet = 7

func newNetwork(t testing.TB, n int, seed uint64) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 5)), byAddr: map[netip.AddrPort]*node{}, maxDelay: 5 * time.Millisecond,
		partitioned: func(_, _ *node) bool { return false }, delayed: func(_, _ *node) bool { return false }}
	for i := range n {
		w.start(i)
	}
	return w
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i / 250), byte(i % 250), 1}), 7946)
}

// start starts the broker of a number, or another instance of it.
func (w *network) start(i int) {
	x := &node{i: i, zone: i % 2, addr: addrOf(i), lostAt: map[string]time.Duration{}, aliveAt: map[string]time.Duration{}}
	x.View = membership.New(membership.Options{
		Self:  membership.Instance{Name: fmt.Sprint("n", i), Start: uint64(w.now) + 1, Addr: x.addr},
		Fleet: fleet, Seeds: []netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)}, Seed: w.rng.Uint64(),
		Changed: func(m membership.Member) {
			switch m.Status {
			case membership.Lost:
				x.lostNames = append(x.lostNames, m.Name)
				x.lostAt[m.Name] = w.now
			case membership.Alive:
				x.aliveAt[m.Name] = w.now
			}
		},
	})
	for j, old := range w.nodes {
		if old.i == i {
			w.nodes[j] = x
			w.byAddr[x.addr] = x
			w.push(event{at: w.now, to: x})
			return
		}
	}
	w.nodes = append(w.nodes, x)
	w.byAddr[x.addr] = x
	w.push(event{at: w.now + time.Duration(w.rng.Int64N(int64(membership.TickInterval))), to: x})
}

func (w *network) push(e event) { heap.Push(&w.events, e) }

// run runs the simulation until a time.
func (w *network) run(to time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= to {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		x := e.to
		if x.dead {
			continue
		}
		if w.now < x.pausedUntil {
			if e.data == nil {
				e.at = x.pausedUntil
				w.push(e)
			} else if len(x.queue) < 300 { // as a socket's buffer would
				x.queue = append(x.queue, e)
			}
			continue
		}
		if queue := x.queue; len(queue) > 0 {
			x.queue = nil
			for _, q := range queue { // before the first tick, as in the driver
				w.transmit(x, x.Receive(w.now, q.from, q.data))
			}
		}
		if e.data == nil {
			w.transmit(x, x.Tick(w.now))
			w.push(event{at: w.now + membership.TickInterval, to: x})
			continue
		}
		w.transmit(x, x.Receive(w.now, e.from, e.data))
	}
	w.now = to
}

func (w *network) transmit(x *node, out []membership.Send) {
	for _, s := range out {
		size := plane.WireSize(s.Data)
		if size > plane.MaxDatagramSize+plane.Overhead {
			w.t.Fatalf("a datagram of %d bytes", size)
		}
		x.sentBytes += size
		to := w.byAddr[s.Addr]
		if to == nil || w.partitioned(x, to) {
			continue
		}
		if w.delayed(x, to) {
			w.delayedEvents = append(w.delayedEvents, event{to: to, from: x.addr, data: s.Data})
			continue
		}
		copies := 1
		if w.rng.Float64() < w.lossRatio {
			copies = 0
		} else if w.rng.Float64() < w.duplicateRatio {
			copies = 2
		}
		for range copies {
			w.push(event{at: w.now + time.Duration(w.rng.Int64N(int64(w.maxDelay))) + time.Microsecond, to: to, from: x.addr, data: s.Data})
		}
	}
}

// runUntilAgreed runs the simulation until all views agree, and fails the test if they do not within a duration.
func (w *network) runUntilAgreed(within time.Duration) {
	end := w.now + within
	for !w.viewsAgree(nil) {
		if w.now >= end {
			w.t.Fatalf("views differ after %v: %s", within, w.describeViews())
		}
		w.run(w.now + 100*time.Millisecond)
	}
}

// viewsAgree reports whether the live nodes of a set (nil: all) see exactly each other alive, counted by name.
func (w *network) viewsAgree(in func(*node) bool) bool {
	live, n := map[string]bool{}, 0
	for _, x := range w.nodes {
		if !x.dead && (in == nil || in(x)) {
			live[fmt.Sprint("n", x.i)] = true
			n++
		}
	}
	for _, x := range w.nodes {
		if x.dead || in != nil && !in(x) {
			continue
		}
		seen := 0
		for _, m := range x.Members() {
			if m.Status != membership.Alive {
				continue
			}
			if !live[m.Name] {
				return false
			}
			seen++
		}
		if seen != n {
			return false
		}
	}
	return true
}

func (w *network) describeViews() string {
	sizes := map[int]int{}
	for _, x := range w.nodes {
		if x.dead {
			continue
		}
		n := 0
		for _, m := range x.Members() {
			if m.Status == membership.Alive {
				n++
			}
		}
		sizes[n]++
	}
	return fmt.Sprint(sizes)
}

// lossVerdicts returns which members were declared lost by which nodes, except for the names in except.
func (w *network) lossVerdicts(except map[string]bool) (all []string) {
	for _, x := range w.nodes {
		for _, name := range x.lostNames {
			if !except[name] {
				all = append(all, fmt.Sprintf("%s by n%d", name, x.i))
			}
		}
	}
	return all
}

func (w *network) requireNoLoss(except map[string]bool) {
	w.t.Helper()
	all := w.lossVerdicts(except)
	require.Empty(w.t, all[:min(len(all), 5)], "%d removals", len(all))
}

// maxSendRate returns the mean bytes a second, while f runs, of the node that sent the most.
func (w *network) maxSendRate(f func()) (rate float64) {
	from, sent := w.now, map[*node]int{}
	for _, x := range w.nodes {
		sent[x] = x.sentBytes
	}
	f()
	for _, x := range w.nodes {
		rate = max(rate, float64(x.sentBytes-sent[x])/(w.now-from).Seconds())
	}
	return rate
}
