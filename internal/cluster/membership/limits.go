package membership

import "time"

// Sizes.
const (
	// MaxMembers is the maximum number of live members. Tombstones take a place in the roster until their retention ends. All
	// states go into one datagram, a byte an instance: of plane.MaxSize, 1,200 bytes, the header leaves 1,156, enough for a
	// roster of 1,000. docs/fleet.md (Open) lists what limits a larger fleet.
	MaxMembers = 500

	// maxRoster is the maximum number of instances in a roster. Twice MaxMembers lets every broker be replaced at once.
	maxRoster = 2 * MaxMembers

	// ringCount is the number of rings, and so of observers of a member. More rings raise the traffic without detecting mass
	// failures sooner (docs/fleet.md).
	ringCount = 6

	// indirectPingFanout is the number of relays that receive each indirect ping request (SWIM's k).
	indirectPingFanout = 2

	// maxConfirmations is the number of relays that have to confirm a suspicion, if that number is eligible.
	maxConfirmations = 2

	// maxAdopted is how many members without a live observer a view adopts beside those that its rings assign to it.
	maxAdopted = 3

	// maxUnobservedPings is how many additional unobserved members are pinged in one unobservedPingInterval during a mass
	// failure.
	maxUnobservedPings = 3

	// gossipFanout is how many members a change is pushed to at once.
	gossipFanout = 5

	// rosterSlices is how many slices a roster is synchronized in, one a request, so that a request is smaller than its
	// answer.
	rosterSlices = 8

	// maxEntriesSize bounds a datagram with entries, in bytes with IP and UDP headers.
	maxEntriesSize = 1100

	// maxHashesSize bounds the hashes in a sync request, in bytes: maxEntriesSize without the header.
	maxHashesSize = maxEntriesSize - 100

	// maxOutstandingPings bounds the pings that wait for an ack, and so their memory.
	maxOutstandingPings = 256
)

// Failure detection.
const (
	// heartbeatInterval is the interval of heartbeats to each observer.
	heartbeatInterval = 250 * time.Millisecond

	// lossTimeout is how long a member is silent before it is declared lost. It is longer than the longest pause to be
	// tolerated (4 s) and a heartbeat, and short enough for all members to know of a failure within 5 s.
	lossTimeout = 4450 * time.Millisecond

	// indirectPingAfter is how long a member is silent before it is suspected and pinged indirectly. With
	// indirectPingInterval that gives two rounds before the verdict. In a mass failure each survivor observes several failed
	// members, and the requests for all of them have to fit into pingRate.
	indirectPingAfter    = 2200 * time.Millisecond
	indirectPingInterval = 1500 * time.Millisecond

	// indirectPingTimeout is how long a relay waits for the ack before it sends a negative ack.
	indirectPingTimeout = 300 * time.Millisecond

	// confirmationLifetime is how long a relay's negative ack counts. It covers the interval between two rounds.
	confirmationLifetime = 2500 * time.Millisecond

	// pauseThreshold is the gap between two ticks, ten times TickInterval, from which this process counts as paused, or its
	// clock as set.
	pauseThreshold = 500 * time.Millisecond

	// unobservedPingInterval is the interval of pings to lost members, since a partition may have healed, and to members
	// whose observers may have failed with them.
	unobservedPingInterval = 500 * time.Millisecond

	// pingTimeout is how long a direct ping waits for its ack.
	pingTimeout = 2 * time.Second

	// aliveWindow is how recent a contact is that proves a member alive, without a ping: four heartbeats.
	aliveWindow = time.Second

	// relayWindow is how recent the contact with a member is that may be a relay.
	relayWindow = 3 * time.Second
)

// Dissemination.
const (
	// pushInterval is the minimum interval of pushes while rosters differ.
	pushInterval = 500 * time.Millisecond

	// introductionInterval is the minimum interval of introduction requests to unknown senders of anything but a ping.
	introductionInterval = 200 * time.Millisecond

	// joinInterval is the interval at which a view without other live members contacts a seed.
	joinInterval = 250 * time.Millisecond

	// seedInterval is the interval at which a view with members contacts a seed that is not one of them, so that two fleets
	// that formed apart merge.
	seedInterval = 5 * time.Second

	// syncInterval is the mean interval of sync requests while rosters differ.
	syncInterval = 300 * time.Millisecond

	// divergenceWindow is how long after the last differing digest rosters count as different.
	divergenceWindow = time.Second
)

// Retention.
const (
	// tombstoneRetention is how long a lost instance stays in the roster. It is longer than a partition between regions (an
	// hour), with half of that in reserve: a side that dropped the other's tombstones during the partition would take itself
	// for the entire fleet and use all of a shared budget, as the other side does. The cost is bounded. An instance whose
	// broker is back is retained for supersededRetention only, so that only brokers that never return accumulate: at 27
	// machine failures a day those are 2 in 90 minutes, and a lost zone of ten adds 60 of 590. Each takes a place in the
	// roster and a byte in the vector, but no additional pings, of which there is one an unobservedPingInterval.
	tombstoneRetention = 90 * time.Minute

	// supersededRetention is how long an instance stays in the roster that has left, or that is lost while another instance
	// of its name is alive.
	supersededRetention = 10 * time.Second

	// gossipStopLead is how long before the end of its retention a tombstone is no longer gossiped, so that it does not
	// return from a member that reaps it later.
	gossipStopLead = 3 * time.Second

	// fenceDelay is how long a broker is in a minority before it is fenced, that is, before its part of a shared budget is 0.
	fenceDelay = 20 * time.Second
)

// Token buckets for all datagrams but heartbeats and acks, in bytes a second and bytes, with IP and UDP headers. With the
// heartbeats the sum stays below 4 KB/s over any 10 s.
const (
	pingRate    = 800
	pingBurst   = 2000
	gossipRate  = 1700
	gossipBurst = 2000
)
