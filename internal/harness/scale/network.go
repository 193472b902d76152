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

// Delays of the virtual network, each a datagram's longest; the shortest is half of it.
const (
	maxDelayInZone         = 1 * time.Millisecond
	maxDelayInRegion       = 3 * time.Millisecond
	maxDelayBetweenRegions = 50 * time.Millisecond
	fleetName              = 7
	agreementPollInterval  = 200 * time.Millisecond // between two looks whether all agree
	seedsOfFleet           = 3
	maxQueue               = 1 << 22 // datagrams and ticks that wait, in all
	startWithin            = time.Second
	brokersPerAddrByte     = 250
)

// virtualNetwork plays the membership of many brokers on virtual time: one process, one seed, the same run each time.
// Zones are dealt round, and zones to regions.
type virtualNetwork struct {
	rng    *rand.Rand
	now    time.Duration
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	queue  eventQueue
	cut    func(from, to *node) bool
}

// node is one broker's membership.
type node struct {
	*membership.View
	number, zone, region int
	addr                 netip.AddrPort
	dead                 bool
	startedAt            time.Duration // its clock starts then, as a process's does

	bytesSent, sentCount, heardBytes, heardCount int
}

// networkEvent is a datagram that comes, or a tick.
type networkEvent struct {
	at   time.Duration
	to   *node
	from netip.AddrPort
	data *planepb.Datagram // nil: a tick
}

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

// start starts the broker of a number, or another process of it.
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

// run plays to a time.
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
			x.heardBytes += plane.WireSize(e.data)
			x.heardCount++
			w.send(x, x.Receive(w.now-x.startedAt, e.from, e.data))
		}
	}
	w.now = to
	return nil
}

func (w *virtualNetwork) send(from *node, out []membership.Send) {
	for _, s := range out {
		from.bytesSent += plane.WireSize(s.Data)
		from.sentCount++
		to := w.byAddr[s.Addr]
		if to == nil || to.dead || w.cut(from, to) {
			continue
		}
		heap.Push(&w.queue, networkEvent{at: w.now + w.delay(from, to), to: to, from: from.addr, data: s.Data})
	}
}

func (w *virtualNetwork) delay(from, to *node) time.Duration {
	longest := maxDelayBetweenRegions
	if from.zone == to.zone {
		longest = maxDelayInZone
	} else if from.region == to.region {
		longest = maxDelayInRegion
	}
	return longest/2 + time.Duration(w.rng.Int64N(int64(longest/2)))
}

// alive are the nodes that run, of a set; nil: of all.
func (w *virtualNetwork) alive(in func(*node) bool) (list []*node) {
	for _, x := range w.nodes {
		if !x.dead && (in == nil || in(x)) {
			list = append(list, x)
		}
	}
	return list
}

// allAgree tells that all of a set see just each other alive.
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

// runUntilAgreed plays until all agree, and returns how many seconds that took; agreeWithin, if they never did.
func (w *virtualNetwork) runUntilAgreed() (float64, error) {
	from := w.now
	for !w.allAgree(nil) && w.now-from < agreeTimeout {
		if err := w.run(w.now + agreementPollInterval); err != nil {
			return 0, err
		}
	}
	return (w.now - from).Seconds(), nil
}

// traffic is what nodes sent and heard in a stretch, a second and a node.
type traffic struct {
	sentBytes, maxSentBytes, sentDatagrams, receivedBytes, receivedDatagrams float64
}

// recordTraffic plays a stretch and returns the traffic of those that live throughout.
func (w *virtualNetwork) recordTraffic(stretch time.Duration) (traffic, error) {
	type mark struct{ bytesSent, sentCount, heardBytes, heardCount int }
	marks, from := map[*node]mark{}, w.now
	for _, x := range w.alive(nil) {
		marks[x] = mark{x.bytesSent, x.sentCount, x.heardBytes, x.heardCount}
	}
	if err := w.run(w.now + stretch); err != nil {
		return traffic{}, err
	}
	var t traffic
	n, seconds := 0.0, (w.now - from).Seconds()
	for x, m := range marks {
		if x.dead {
			continue
		}
		n++
		t.sentBytes += float64(x.bytesSent - m.bytesSent)
		t.maxSentBytes = max(t.maxSentBytes, float64(x.bytesSent-m.bytesSent)/seconds)
		t.sentDatagrams += float64(x.sentCount - m.sentCount)
		t.receivedBytes += float64(x.heardBytes - m.heardBytes)
		t.receivedDatagrams += float64(x.heardCount - m.heardCount)
	}
	per := max(n, 1) * seconds
	t.sentBytes, t.sentDatagrams = t.sentBytes/per, t.sentDatagrams/per
	t.receivedBytes, t.receivedDatagrams = t.receivedBytes/per, t.receivedDatagrams/per
	return t, nil
}

// kill kills those of a set, at most so many.
func (w *virtualNetwork) kill(in func(*node) bool, most int) (killed []int) {
	for _, x := range w.alive(in) {
		if len(killed) < most {
			x.dead = true
			killed = append(killed, x.number)
		}
	}
	return killed
}
