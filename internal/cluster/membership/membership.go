// Package membership keeps one broker's view of which brokers of its fleet live, in the manner of SWIM with Lifeguard's
// refinements and Rapid's rings of observers. It does no I/O and keeps no clock: a driver hands in the time and the
// datagrams received, and sends those that it returns. docs/fleet.md weighs the options and tells how the parts work
// together.
//
// Members are instances: a broker's name with the start of its process. Each sends heartbeats to a few observers, its successors
// on several rings of all members. An observer that has heard nothing of a member for some time has others ping it, and
// takes it for lost only once they confirm that it is silent for them too. States are gossiped as one vector of the whole
// fleet, a byte a member, and the later one always wins.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// View is one broker's membership. Make it with New. It is not safe for concurrent use.
type View struct {
	opt  Options
	self *member
	rng  *rand.Rand
	now  time.Duration
	out  []Send
	seq  uint64

	byID         map[uint64]*member
	roster       []*member // in the order of their numbers, self included
	ring         [rings][]*member
	sums         sums // hashes of the roster that do not depend on any order
	living       int  // instances that live
	ringsChanged bool // who observes whom has to be found anew

	brokers        brokers // of the roster
	brokersChanged bool    // they have to be counted anew

	observers []*member // of self
	observed  []*member // whom self observes

	pings            map[uint32]ping
	lastPing         uint32
	heartbeatAt      time.Duration
	joinAt           time.Duration
	syncAt           time.Duration
	pushAt           time.Duration
	lostPingAt       time.Duration
	introduceAt      time.Duration
	minoritySince    time.Duration // since when fewer than half are seen; -1: they are not
	lastSlice        uint32        // the latest that was asked for
	differedAt       time.Duration // when a roster other than this one was last heard of
	pingBudget       tokenBucket
	gossipBudget     tokenBucket
	lastTick         time.Duration // the latest Tick
	began            bool          // Tick has been called
	pushPending      bool          // the vector has changed
	left             bool
	DroppedDatagrams int // that were replayed, old or of an unknown sender
}

// sums are hashes of all instances, and of all instances with their states.
type sums struct{ roster, states uint32 }

// Options describe a broker and how it joins.
type Options struct {
	Self  Instance
	Fleet uint64
	Seeds []netip.AddrPort // to join by
	Seed  uint64           // for random numbers
	// Changed is called for each change of a member's status, and for new members; nil: it is not.
	Changed func(Member)
}

// Send is a datagram to be sent.
type Send struct {
	Addr netip.AddrPort
	Data *planepb.Datagram
}

// New returns the view of a broker that knows no other yet.
func New(opt Options) *View {
	v := &View{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0x510e527fade682d1)), byID: map[uint64]*member{},
		pings: map[uint32]ping{}, minoritySince: -1, differedAt: -divergenceWindow,
		pingBudget:   tokenBucket{rate: pingBytesPerSecond, burst: pingBurstBytes, tokens: pingBurstBytes},
		gossipBudget: tokenBucket{rate: gossipBytesPerSecond, burst: gossipBurstBytes, tokens: gossipBurstBytes}}
	v.self = v.add(opt.Self, 0)
	return v
}

func (v *View) advance(now time.Duration) { v.now = max(v.now, now) }

// flush hands out what is to be sent.
func (v *View) flush() []Send {
	out := v.out
	v.out = nil
	return out
}

// Members are all instances known, but for those that were forgotten, in the order of their numbers.
func (v *View) Members() []Member {
	var all []Member
	for _, m := range v.roster {
		s := m.state.status()
		if m == v.self && !v.left {
			s = Alive
		}
		all = append(all, Member{m.Instance, s})
	}
	return all
}

// Fingerprint is equal where two brokers see the same instances in the same states.
func (v *View) Fingerprint() uint64 { return uint64(v.sums.roster)<<32 | uint64(v.sums.states) }
