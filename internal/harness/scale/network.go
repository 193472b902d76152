package scale

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"mothrouter/internal/cluster/membership"
	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// The virtual network delays each datagram by a uniformly distributed time between half of the maximum delay and the
// maximum delay.
const (
	maxDelayInZone         = 1 * time.Millisecond
	maxDelayInRegion       = 3 * time.Millisecond
	maxDelayBetweenRegions = 50 * time.Millisecond
)

const (
	fleetID                 = 7                      // fleet fingerprint in datagrams
	seedCount               = 3                      // brokers 0 to seedCount-1 are the seeds of the fleet
	convergencePollInterval = 200 * time.Millisecond // virtual time
	maxQueuedEvents         = 1 << 22
	brokersPerAddrByte      = 250 // number of brokers whose addresses share the second byte
)

// virtualNetwork runs the membership protocol of many brokers on virtual time. Runs with equal seeds are equal. Brokers are
// assigned round-robin to zones, and zones round-robin to regions.
type virtualNetwork struct {
	rng    *rand.Rand
	now    time.Duration  // virtual time since the start
	nodes  []*virtualNode // indexed by broker number
	byAddr map[netip.AddrPort]*virtualNode
	queue  eventQueue
	isLost func(from, to *virtualNode) bool // reports whether datagrams between two nodes are lost
}

// nodeCounters count the traffic of a node since its start.
type nodeCounters struct {
	sentBytes         int
	sentDatagrams     int
	receivedBytes     int
	receivedDatagrams int
}

// virtualNode is the membership view of one broker instance on the virtual network.
type virtualNode struct {
	*membership.View
	number    int // of the broker
	zone      int
	region    int
	addr      netip.AddrPort
	killed    bool
	startedAt time.Duration // virtual time at which the node's own clock is zero
	counters  nodeCounters
}

// networkEvent is the arrival of a datagram at a node, or a timer tick of the node.
type networkEvent struct {
	dueAt time.Duration // virtual time since the start
	to    *virtualNode
	from  netip.AddrPort
	data  *planepb.Datagram // nil for a tick
}

// eventQueue is a heap ordered by time.
type eventQueue []networkEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)        { *q = append(*q, v.(networkEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = networkEvent{}
	*q = old[:len(old)-1]
	return last
}

var errQueueFull = fmt.Errorf("scale: more than %d events queued on the virtual network", maxQueuedEvents)

// newNetwork returns a network on which the given number of brokers start at the same time.
func newNetwork(brokers int, seed uint64) *virtualNetwork {
	network := &virtualNetwork{rng: rand.New(rand.NewPCG(seed, 5)), byAddr: map[netip.AddrPort]*virtualNode{},
		isLost: func(_, _ *virtualNode) bool { return false }}
	for i := range brokers {
		network.start(i)
	}
	return network
}

func brokerAddr(i int) netip.AddrPort {
	bytes := [4]byte{127, byte(i / brokersPerAddrByte), byte(i % brokersPerAddrByte), 1}
	return netip.AddrPortFrom(netip.AddrFrom4(bytes), 7946)
}

// start starts the broker with the given number, or restarts it as a new instance at the same address.
func (n *virtualNetwork) start(i int) {
	node := &virtualNode{number: i, zone: i % TargetZones, region: i % TargetZones % TargetRegions, addr: brokerAddr(i),
		startedAt: n.now}
	var seeds []netip.AddrPort
	for s := range seedCount {
		seeds = append(seeds, brokerAddr(s))
	}
	node.View = membership.New(membership.Options{
		Self:  membership.Instance{Name: fmt.Sprint("n", i), Start: uint64(n.now) + 1, Addr: node.addr},
		Fleet: fleetID, Seeds: seeds, Seed: n.rng.Uint64(),
	})
	if i < len(n.nodes) {
		n.nodes[i].killed = true
		n.nodes[i] = node
	} else {
		n.nodes = append(n.nodes, node)
	}
	n.byAddr[node.addr] = node
	heap.Push(&n.queue, networkEvent{dueAt: n.now + time.Duration(n.rng.Int64N(int64(membership.TickInterval))), to: node})
}

// run processes all events up to a virtual time. The error is errQueueFull.
func (n *virtualNetwork) run(until time.Duration) error {
	for len(n.queue) > 0 && n.queue[0].dueAt <= until {
		if len(n.queue) > maxQueuedEvents {
			return errQueueFull
		}
		e := heap.Pop(&n.queue).(networkEvent)
		n.now = e.dueAt
		node := e.to
		switch {
		case node.killed:
		case e.data == nil:
			n.send(node, node.Tick(n.now-node.startedAt))
			heap.Push(&n.queue, networkEvent{dueAt: n.now + membership.TickInterval, to: node})
		default:
			node.counters.receivedBytes += plane.WireSize(e.data)
			node.counters.receivedDatagrams++
			n.send(node, node.Receive(n.now-node.startedAt, e.from, e.data))
		}
	}
	n.now = until
	return nil
}

// send counts a node's outgoing datagrams and queues their arrival, except at unknown or killed nodes and where isLost
// reports true.
func (n *virtualNetwork) send(from *virtualNode, out []membership.Send) {
	for _, s := range out {
		from.counters.sentBytes += plane.WireSize(s.Data)
		from.counters.sentDatagrams++
		to := n.byAddr[s.Addr]
		if to == nil || to.killed || n.isLost(from, to) {
			continue
		}
		heap.Push(&n.queue, networkEvent{dueAt: n.now + n.delay(from, to), to: to, from: from.addr, data: s.Data})
	}
}

// delay returns a random delay for a datagram between two nodes.
func (n *virtualNetwork) delay(from, to *virtualNode) time.Duration {
	maxDelay := maxDelayBetweenRegions
	if from.zone == to.zone {
		maxDelay = maxDelayInZone
	} else if from.region == to.region {
		maxDelay = maxDelayInRegion
	}
	return maxDelay/2 + time.Duration(n.rng.Int64N(int64(maxDelay/2)))
}

// runningNodes returns the running nodes that a filter includes, or all running nodes if the filter is nil.
func (n *virtualNetwork) runningNodes(include func(*virtualNode) bool) (list []*virtualNode) {
	for _, node := range n.nodes {
		if !node.killed && (include == nil || include(node)) {
			list = append(list, node)
		}
	}
	return list
}

// converged reports whether each included running node sees exactly the included running nodes as alive.
func (n *virtualNetwork) converged(include func(*virtualNode) bool) bool {
	running := n.runningNodes(include)
	for _, node := range running {
		if node.FleetSize().Alive != len(running) {
			return false
		}
	}
	names := map[string]bool{}
	for _, node := range running {
		names[fmt.Sprint("n", node.number)] = true
	}
	for _, node := range running {
		for _, m := range node.Members() {
			if m.Status == membership.Alive && !names[m.Name] {
				return false
			}
		}
	}
	return true
}

// runUntilConverged runs until all running nodes have the same view and returns how many seconds that took. It stops after
// convergenceTimeout.
func (n *virtualNetwork) runUntilConverged() (float64, error) {
	from := n.now
	for !n.converged(nil) && n.now-from < convergenceTimeout {
		if err := n.run(n.now + convergencePollInterval); err != nil {
			return 0, err
		}
	}
	return (n.now - from).Seconds(), nil
}

// traffic is the mean traffic per second and node in a period.
type traffic struct {
	sentBytes         float64
	sentDatagrams     float64
	receivedBytes     float64
	receivedDatagrams float64

	maxSentBytes float64 // per second, of the node that sent most
}

// recordTraffic runs for a period and returns the traffic of the nodes that were running throughout the period.
func (n *virtualNetwork) recordTraffic(period time.Duration) (traffic, error) {
	before, from := map[*virtualNode]nodeCounters{}, n.now
	for _, node := range n.runningNodes(nil) {
		before[node] = node.counters
	}
	if err := n.run(n.now + period); err != nil {
		return traffic{}, err
	}
	var t traffic
	nodes, seconds := 0.0, (n.now - from).Seconds()
	for node, c := range before {
		if node.killed {
			continue
		}
		nodes++
		sentBytes := float64(node.counters.sentBytes - c.sentBytes)
		t.sentBytes += sentBytes
		t.maxSentBytes = max(t.maxSentBytes, sentBytes/seconds)
		t.sentDatagrams += float64(node.counters.sentDatagrams - c.sentDatagrams)
		t.receivedBytes += float64(node.counters.receivedBytes - c.receivedBytes)
		t.receivedDatagrams += float64(node.counters.receivedDatagrams - c.receivedDatagrams)
	}
	nodeSeconds := max(nodes, 1) * seconds
	t.sentBytes, t.sentDatagrams = t.sentBytes/nodeSeconds, t.sentDatagrams/nodeSeconds
	t.receivedBytes, t.receivedDatagrams = t.receivedBytes/nodeSeconds, t.receivedDatagrams/nodeSeconds
	return t, nil
}

// kill kills the included running nodes, at most maxNodes, and returns their numbers.
func (n *virtualNetwork) kill(include func(*virtualNode) bool, maxNodes int) (numbers []int) {
	for _, node := range n.runningNodes(include) {
		if len(numbers) < maxNodes {
			node.killed = true
			numbers = append(numbers, node.number)
		}
	}
	return numbers
}
