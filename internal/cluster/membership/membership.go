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
	options Options
	self    *member
	rng     *rand.Rand
	now     time.Duration
	outbox  []Send
	seq     uint64

	byID       map[uint64]*member
	roster     []*member // in the order of their numbers, self included
	rings      [ringCount][]*member
	digest     rosterDigest // hashes of the roster that do not depend on any order
	aliveCount int          // instances that live
	ringsStale bool         // who observes whom has to be found anew

	brokers      brokerCounts // of the roster
	brokersStale bool         // they have to be counted anew

	observers []*member // of self
	observed  []*member // whom self observes

	outstandingPings     map[uint32]outstandingPing
	lastPingNumber       uint32
	nextHeartbeatAt      time.Duration
	nextJoinAt           time.Duration
	nextSyncAt           time.Duration
	nextPushAt           time.Duration
	nextUnobservedPingAt time.Duration
	nextIntroductionAt   time.Duration
	minoritySince        time.Duration // since when fewer than half are seen; -1: they are not
	lastSyncSlice        uint32        // the latest that was asked for
	rosterDivergedAt     time.Duration // when a roster other than this one was last heard of
	probeBudget          tokenBucket
	gossipBudget         tokenBucket
	lastTickAt           time.Duration // the latest Tick
	ticked               bool          // Tick has been called
	pushPending          bool          // the vector has changed
	leaving              bool
	DroppedDatagrams     int // that were replayed, old or of an unknown sender
}

// rosterDigest are hashes of all instances, and of all instances with their states.
type rosterDigest struct{ roster, states uint32 }

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
	v := &View{options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0x510e527fade682d1)), byID: map[uint64]*member{},
		outstandingPings: map[uint32]outstandingPing{}, minoritySince: -1, rosterDivergedAt: -divergenceWindow,
		probeBudget:  tokenBucket{rate: probeRate, burst: probeBurst, available: probeBurst},
		gossipBudget: tokenBucket{rate: gossipRate, burst: gossipBurst, available: gossipBurst}}
	v.self = v.add(opt.Self, 0)
	return v
}

func (v *View) advance(now time.Duration) { v.now = max(v.now, now) }

// takeOutbox hands out what is to be sent.
func (v *View) takeOutbox() []Send {
	out := v.outbox
	v.outbox = nil
	return out
}

// Members are all instances known, but for those that were forgotten, in the order of their numbers.
func (v *View) Members() []Member {
	var all []Member
	for _, m := range v.roster {
		s := m.state.status()
		if m == v.self && !v.leaving {
			s = Alive
		}
		all = append(all, Member{m.Instance, s})
	}
	return all
}

// Fingerprint is equal where two brokers see the same instances in the same states.
func (v *View) Fingerprint() uint64 { return uint64(v.digest.roster)<<32 | uint64(v.digest.states) }
