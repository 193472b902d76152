// Package membership maintains one broker's view of the members of its fleet. It combines the failure detector and gossip of
// SWIM with the observers on rings of Rapid and several refinements of Lifeguard. It does no I/O and reads no clock: a driver
// passes in the time and the received datagrams, and sends the returned datagrams. docs/fleet.md compares the alternatives
// and describes the protocol.
//
// A member is an instance: a broker's name with the start time of its process. Each member sends heartbeats to its observers,
// which are its successors on several rings of all members. An observer that has received nothing from a member for
// indirectPingAfter pings it and sends indirect ping requests to relays, members that ping it on the observer's behalf. It
// declares the member lost (SWIM's "confirmed dead") after lossTimeout if enough relays have confirmed the suspicion with a
// negative ack, as in Lifeguard.
//
// Each member has a state: an incarnation and a status. States are gossiped as one vector with a byte per member, and the
// later state wins. There are two differences from SWIM. A suspicion is local to the observer and is never gossiped. And a
// refutation, the next incarnation, is issued not by the lost member itself but by any member that receives its ack of a
// ping.
//
// Two mechanisms replace Lifeguard's local health multiplier. A view that detects a gap between two ticks restarts its timers,
// since it cannot have received the datagrams that arrived during the gap (resetAfterPause). And a view that receives nothing
// from any member declares none lost (requiredConfirmations).
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// randomStream is the second word of the PCG seed of a view's random number generator. A fixed value separates its sequence
// from those of the other generators in the process that have the same seed.
const randomStream = 0x510e527fade682d1

// View is one broker's view of the fleet's members. Create it with New. It is not safe for concurrent use. Points in time are
// durations since the origin of the driver's clock.
type View struct {
	options Options
	self    *member
	rng     *rand.Rand
	now     time.Duration
	outbox  []Send // datagrams that the current call returns
	seq     uint64 // sequence number of the latest datagram

	byID       map[uint64]*member
	memberList []*member            // all known instances, including self and tombstones, ordered by ID
	rings      [ringCount][]*member // the member list in the order of each ring
	digest     memberListDigest
	aliveCount int  // instances with status Alive
	ringsStale bool // observers and observed must be recomputed

	brokers      brokerCounts
	brokersStale bool // brokers must be recounted

	observers []*member // members that receive self's heartbeats
	observed  []*member // members whose heartbeats self expects, including adopted ones

	outstandingPings map[uint32]outstandingPing // by ping number
	lastPingNumber   uint32                     // latest number of a ping or an indirect ping request

	nextHeartbeatAt      time.Duration
	nextJoinAt           time.Duration
	nextSyncAt           time.Duration
	nextPushAt           time.Duration
	nextUnobservedPingAt time.Duration
	nextIntroductionAt   time.Duration

	minoritySince time.Duration // since when self has been in a minority or isolated; -1: self is neither
	lastSyncSlice uint32        // slice of the member list that the last sync request was for
	divergedAt    time.Duration // when a digest of a different member list was last received
	pingBudget    tokenBucket   // for pings, introductions and the datagrams of indirect pings
	gossipBudget  tokenBucket   // for state vectors, entries and sync requests
	lastTickAt    time.Duration
	ticked        bool // Tick has been called
	pushPending   bool // a state has changed since the last push
	leaving       bool // Leave has been called

	// DroppedDatagrams counts the datagrams that were replayed, too old, from an unknown sender, or sent with self's own ID.
	DroppedDatagrams int
}

// memberListDigest holds order-independent hashes of the member list: one of all instances, and one of all instances with
// their states. Each datagram contains the digest of the sender.
type memberListDigest struct{ instances, states uint32 }

// Options configure a View.
type Options struct {
	Self  Instance
	Fleet uint64           // fingerprint of the fleet, see plane.FleetFingerprint
	Seeds []netip.AddrPort // addresses that a view contacts to join the fleet
	Seed  uint64           // seed of the random number generator
	// Changed is called from within Tick and Receive for each new member and each change of a member's status. It may be nil.
	Changed func(Member)
}

// Send is a datagram that the driver sends to an address.
type Send struct {
	Addr netip.AddrPort
	Data *planepb.Datagram
}

// New returns the view of a broker that knows no other member yet.
func New(options Options) *View {
	v := &View{
		options:          options,
		rng:              rand.New(rand.NewPCG(options.Seed, randomStream)),
		byID:             map[uint64]*member{},
		outstandingPings: map[uint32]outstandingPing{},
		minoritySince:    -1,
		divergedAt:       -divergenceWindow,
		pingBudget:       newTokenBucket(pingRate, pingBurst),
		gossipBudget:     newTokenBucket(gossipRate, gossipBurst),
	}
	v.self = v.add(options.Self, 0)
	return v
}

// advance sets the time, which never goes backwards.
func (v *View) advance(now time.Duration) { v.now = max(v.now, now) }

// drainOutbox returns the datagrams to send and empties the outbox.
func (v *View) drainOutbox() []Send {
	out := v.outbox
	v.outbox = nil
	return out
}

// Members returns all instances of the member list, ordered by ID, including those lost and left until their retention ends.
// A view reports self as Alive until Leave is called, whatever state other members have for self.
func (v *View) Members() []Member {
	var members []Member
	for _, m := range v.memberList {
		status := m.state.status()
		if m == v.self && !v.leaving {
			status = Alive
		}
		members = append(members, Member{m.Instance, status})
	}
	return members
}

// Fingerprint returns a hash of the member list and its states. Two views with the same instances in the same states return
// the same value.
func (v *View) Fingerprint() uint64 { return uint64(v.digest.instances)<<32 | uint64(v.digest.states) }
