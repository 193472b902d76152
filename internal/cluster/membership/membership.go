// Package membership maintains one broker's view of the members of its fleet: SWIM's failure detector and gossip with the
// observers of Rapid's rings and several refinements of Lifeguard. It does no I/O and reads no clock: a driver passes in the
// time and the datagrams received, and sends the datagrams returned. docs/fleet.md compares the alternatives and describes
// the protocol.
//
// A member is an instance: a broker's name with the start time of its process. Each member sends heartbeats to its observers,
// which are its successors on several rings of all members. An observer that has received nothing from a member for
// indirectPingAfter pings it and sends indirect ping requests to relays, members that ping it on the observer's behalf. It
// declares the member lost, SWIM's "confirmed dead", after lossTimeout if enough relays have confirmed the suspicion by a
// negative ack, as in Lifeguard.
//
// Each member has a state: an incarnation and a status. States are gossiped as one vector of a byte a member, and the later
// state wins. Two things differ from SWIM. A suspicion is local to the observer and is never gossiped. And a refutation, the
// next incarnation, is issued not by the lost member itself but by whichever member receives its ack of a ping.
//
// In place of Lifeguard's local health multiplier, a view that notices a gap between two ticks restarts its timers, since it
// cannot have received what was sent meanwhile (resetAfterPause), and a view that hears no member declares none lost
// (requiredConfirmations).
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// randomStream is the second word of the seed of a view's random numbers: a fixed value separates them from the other
// generators of the process that have the same seed.
const randomStream = 0x510e527fade682d1

// View is one broker's membership. Make it with New. It is not safe for concurrent use. Instants are durations on the
// driver's clock.
type View struct {
	options Options
	self    *member
	rng     *rand.Rand
	now     time.Duration
	outbox  []Send // datagrams that the present call returns
	seq     uint64 // sequence number of the latest datagram

	byID       map[uint64]*member
	roster     []*member            // all instances known, self and tombstones included, ordered by ID
	rings      [ringCount][]*member // the roster in the order of each ring
	digest     rosterDigest
	aliveCount int  // instances with status Alive
	ringsStale bool // observers and observed have to be assigned again

	brokers      brokerCounts
	brokersStale bool // brokers has to be counted again

	observers []*member // members that receive self's heartbeats
	observed  []*member // members whose heartbeats self expects, adopted ones included

	outstandingPings map[uint32]outstandingPing // by ping number
	lastPingNumber   uint32                     // of pings and of indirect ping requests

	nextHeartbeatAt      time.Duration
	nextJoinAt           time.Duration
	nextSyncAt           time.Duration
	nextPushAt           time.Duration
	nextUnobservedPingAt time.Duration
	nextIntroductionAt   time.Duration

	minoritySince    time.Duration // when self's side ceased to be a majority; -1: it is one
	lastSyncSlice    uint32        // slice of the roster that was last requested
	rosterDivergedAt time.Duration // when a digest of a different roster was last received
	pingBudget       tokenBucket   // for pings and what belongs to them
	gossipBudget     tokenBucket   // for states and entries
	lastTickAt       time.Duration
	ticked           bool // Tick has been called
	pushPending      bool // a state has changed since the last push
	leaving          bool // Leave has been called

	// DroppedDatagrams counts the datagrams that were replayed, too old, from an unknown sender or in self's own name.
	DroppedDatagrams int
}

// rosterDigest holds order-independent hashes of the roster: of all instances, and of all instances with their states.
// Each datagram carries the sender's.
type rosterDigest struct{ roster, states uint32 }

// Options configure a View.
type Options struct {
	Self  Instance
	Fleet uint64           // fingerprint of the fleet, see plane.FleetFingerprint
	Seeds []netip.AddrPort // addresses that a view contacts to join the fleet
	Seed  uint64           // of random numbers
	// Changed is called for each new member and each change of a member's status, from within Tick and Receive. It may be
	// nil.
	Changed func(Member)
}

// Send is a datagram for the driver to send.
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
		rosterDivergedAt: -divergenceWindow,
		pingBudget:       newTokenBucket(pingRate, pingBurst),
		gossipBudget:     newTokenBucket(gossipRate, gossipBurst),
	}
	v.self = v.add(options.Self, 0)
	return v
}

// advance sets the time, which never runs backwards.
func (v *View) advance(now time.Duration) { v.now = max(v.now, now) }

// drainOutbox returns the datagrams to send and empties the outbox.
func (v *View) drainOutbox() []Send {
	out := v.outbox
	v.outbox = nil
	return out
}

// Members returns all instances of the roster, lost and left ones included until their retention ends, ordered by ID. A view
// reports itself as Alive until Leave, whatever the others hold.
func (v *View) Members() []Member {
	var all []Member
	for _, m := range v.roster {
		status := m.state.status()
		if m == v.self && !v.leaving {
			status = Alive
		}
		all = append(all, Member{m.Instance, status})
	}
	return all
}

// Fingerprint returns a hash of the roster and its states. Two views with the same instances in the same states return the
// same.
func (v *View) Fingerprint() uint64 { return uint64(v.digest.roster)<<32 | uint64(v.digest.states) }
