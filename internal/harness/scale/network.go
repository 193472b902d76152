package scale

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"mothrouter/internal/cluster/membership"
	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// The virtual network delays a datagram by a uniform time between half of its longest delay and that.
const (
	maxDelayInZone         = 1 * time.Millisecond
	maxDelayInRegion       = 3 * time.Millisecond
	maxDelayBetweenRegions = 50 * time.Millisecond
	fleetName              = 7
	agreementPollInterval  = 200 * time.Millisecond // virtual time
	seedsOfFleet           = 3
	maxQueue               = 1 << 22 // events
	brokersPerAddrByte     = 250
)

// virtualNetwork runs the membership of many brokers on virtual time. Equal seeds give equal runs. Brokers are dealt to
// zones, and zones to regions.
type virtualNetwork struct {
	rng    *rand.Rand
	now    time.Duration // since the start
	nodes  []*node       // by the broker's number
	byAddr map[netip.AddrPort]*node
	queue  eventQueue
	cut    func(from, to *node) bool // reports whether datagrams from one node to another are lost
}

// nodeCounters are the traffic of a node so far.
type nodeCounters struct{ sentBytes, sentDatagrams, receivedBytes, receivedDatagrams int }

// node is one broker's membership.
type node struct {
	*membership.View
	number, zone, region int
	addr                 netip.AddrPort
	dead                 bool
	startedAt            time.Duration // when its own clock was zero
	counters             nodeCounters
}

// networkEvent is the arrival of a datagram at a node, or a tick of it.
type networkEvent struct {
	at   time.Duration
	to   *node
	from netip.AddrPort
	data *planepb.Datagram // nil: a tick
}

// eventQueue is a heap by time.
type eventQueue []networkEvent

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(v any)        { *a = append(*a, v.(networkEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = networkEvent{}
	*a = old[:len(old)-1]
	return last
}

var errQueue = errors.New("scale: the virtual network holds too many datagrams")

// newNetwork returns a network on which a number of brokers start at once.
func newNetwork(brokers int, seed uint64) *virtualNetwork {
	w := &virtualNetwork{rng: rand.New(rand.NewPCG(seed, 5)), byAddr: map[netip.AddrPort]*node{},
		cut: func(_, _ *node) bool { return false }}
	for i := range brokers {
		w.start(i)
	}
	return w
}

func brokerAddr(i int) netip.AddrPort {
	bytes := [4]byte{127, byte(i / brokersPerAddrByte), byte(i % brokersPerAddrByte), 1}
	return netip.AddrPortFrom(netip.AddrFrom4(bytes), 7946)
}

// start starts the broker of a number, or restarts it as a new instance at its address.
func (w *virtualNetwork) start(i int) {
	x := &node{number: i, zone: i % TargetZones, region: i % TargetZones % TargetRegions, addr: brokerAddr(i),
		startedAt: w.now}
	var seeds []netip.AddrPort
	for s := range seedsOfFleet {
		seeds = append(seeds, brokerAddr(s))
	}
	x.View = membership.New(membership.Options{
		Self:  membership.Instance{Name: fmt.Sprint("n", i), Start: uint64(w.now) + 1, Addr: x.addr},
		Fleet: fleetName, Seeds: seeds, Seed: w.rng.Uint64(),
	})
	if i < len(w.nodes) {
		w.nodes[i].dead = true
		w.nodes[i] = x
	} else {
		w.nodes = append(w.nodes, x)
	}
	w.byAddr[x.addr] = x
	heap.Push(&w.queue, networkEvent{at: w.now + time.Duration(w.rng.Int64N(int64(membership.TickInterval))), to: x})
}

// run runs all events up to a time. The error is errQueue.
func (w *virtualNetwork) run(to time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= to {
		if len(w.queue) > maxQueue {
			return errQueue
		}
		e := heap.Pop(&w.queue).(networkEvent)
		w.now = e.at
		x := e.to
		switch {
		case x.dead:
		case e.data == nil:
			w.send(x, x.Tick(w.now-x.startedAt))
			heap.Push(&w.queue, networkEvent{at: w.now + membership.TickInterval, to: x})
		default:
			x.counters.receivedBytes += plane.WireSize(e.data)
			x.counters.receivedDatagrams++
			w.send(x, x.Receive(w.now-x.startedAt, e.from, e.data))
		}
	}
	w.now = to
	return nil
}

// send sends a node's datagrams, of which those to dead or cut-off nodes are lost.
func (w *virtualNetwork) send(from *node, out []membership.Send) {
	for _, s := range out {
		from.counters.sentBytes += plane.WireSize(s.Data)
		from.counters.sentDatagrams++
		to := w.byAddr[s.Addr]
		if to == nil || to.dead || w.cut(from, to) {
			continue
		}
		heap.Push(&w.queue, networkEvent{at: w.now + w.delay(from, to), to: to, from: from.addr, data: s.Data})
	}
}

// delay draws the delay of a datagram.
func (w *virtualNetwork) delay(from, to *node) time.Duration {
	longest := maxDelayBetweenRegions
	if from.zone == to.zone {
		longest = maxDelayInZone
	} else if from.region == to.region {
		longest = maxDelayInRegion
	}
	return longest/2 + time.Duration(w.rng.Int64N(int64(longest/2)))
}

// alive returns the running nodes of a set, or of all if in is nil.
func (w *virtualNetwork) alive(in func(*node) bool) (list []*node) {
	for _, x := range w.nodes {
		if !x.dead && (in == nil || in(x)) {
			list = append(list, x)
		}
	}
	return list
}

// allAgree reports whether each running node of a set sees exactly the running nodes of the set as alive.
func (w *virtualNetwork) allAgree(in func(*node) bool) bool {
	live := w.alive(in)
	for _, x := range live {
		if x.FleetSize().Alive != len(live) {
			return false
		}
	}
	names := map[string]bool{}
	for _, x := range live {
		names[fmt.Sprint("n", x.number)] = true
	}
	for _, x := range live {
		for _, m := range x.Members() {
			if m.Status == membership.Alive && !names[m.Name] {
				return false
			}
		}
	}
	return true
}

// runUntilAgreed runs until all nodes agree and returns how many seconds that took. It stops after agreeTimeout.
func (w *virtualNetwork) runUntilAgreed() (float64, error) {
	from := w.now
	for !w.allAgree(nil) && w.now-from < agreeTimeout {
		if err := w.run(w.now + agreementPollInterval); err != nil {
			return 0, err
		}
	}
	return (w.now - from).Seconds(), nil
}

// traffic is what the nodes sent and received in a period, per second and node.
type traffic struct {
	sentBytes, sentDatagrams, receivedBytes, receivedDatagrams float64

	maxSentBytes float64 // of the busiest node, per second
}

// recordTraffic runs for a period and returns the traffic of the nodes that were running throughout.
func (w *virtualNetwork) recordTraffic(period time.Duration) (traffic, error) {
	before, from := map[*node]nodeCounters{}, w.now
	for _, x := range w.alive(nil) {
		before[x] = x.counters
	}
	if err := w.run(w.now + period); err != nil {
		return traffic{}, err
	}
	var t traffic
	n, seconds := 0.0, (w.now - from).Seconds()
	for x, c := range before {
		if x.dead {
			continue
		}
		n++
		sentBytes := float64(x.counters.sentBytes - c.sentBytes)
		t.sentBytes += sentBytes
		t.maxSentBytes = max(t.maxSentBytes, sentBytes/seconds)
		t.sentDatagrams += float64(x.counters.sentDatagrams - c.sentDatagrams)
		t.receivedBytes += float64(x.counters.receivedBytes - c.receivedBytes)
		t.receivedDatagrams += float64(x.counters.receivedDatagrams - c.receivedDatagrams)
	}
	per := max(n, 1) * seconds
	t.sentBytes, t.sentDatagrams = t.sentBytes/per, t.sentDatagrams/per
	t.receivedBytes, t.receivedDatagrams = t.receivedBytes/per, t.receivedDatagrams/per
	return t, nil
}

// kill kills the nodes of a set, maxNodes at most, and returns their numbers.
func (w *virtualNetwork) kill(in func(*node) bool, maxNodes int) (killed []int) {
	for _, x := range w.alive(in) {
		if len(killed) < maxNodes {
			x.dead = true
			killed = append(killed, x.number)
		}
	}
	return killed
}
