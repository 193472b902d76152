package membership

import "time"

// Sizes.
const (
	// MaxMembers is the maximum number of live members. Tombstones occupy a place in the member list until their retention
	// ends. All states have to fit into one datagram, at one byte per instance: the header leaves 1,156 bytes of
	// plane.MaxDatagramSize (1,200), enough for a member list of 1,000. docs/fleet.md (section Open) lists what limits a
	// larger fleet.
	MaxMembers = 500

	// maxInstances is the maximum number of instances in a member list. Twice MaxMembers allows all brokers to be replaced at
	// once.
	maxInstances = 2 * MaxMembers

	// ringCount is the number of rings, and so the maximum number of observers of a member. More rings raise the traffic
	// without detecting mass failures sooner (docs/fleet.md).
	ringCount = 6

	// indirectPingFanout is the number of relays that receive each indirect ping request (SWIM's k).
	indirectPingFanout = 2

	// maxConfirmations is the number of relays that have to confirm a suspicion, if that many are eligible.
	maxConfirmations = 2

	// maxAdopted is how many members without a live observer a view adopts in addition to those that its rings assign to it.
	maxAdopted = 3

	// maxUnobservedPings is how many additional unobserved members are pinged in one unobservedPingInterval during a mass
	// failure.
	maxUnobservedPings = 3

	// gossipFanout is how many members a change is pushed to at once.
	gossipFanout = 5

	// syncSlices is the number of slices into which a member list is divided for synchronization. Each request covers one
	// slice, so that it is smaller than its response.
	syncSlices = 8

	// maxEntriesSize is the maximum size of a datagram with entries, in bytes with IP and UDP headers.
	maxEntriesSize = 1100

	// maxHashesSize is the maximum size of the hashes in a sync request, in bytes: maxEntriesSize less room for the header.
	maxHashesSize = maxEntriesSize - 100

	// maxOutstandingPings is the maximum number of pings that wait for an ack, which bounds their memory.
	maxOutstandingPings = 256
)

// Failure detection.
const (
	// heartbeatInterval is the interval of heartbeats to each observer.
	heartbeatInterval = 250 * time.Millisecond

	// lossTimeout is how long a member is silent before it is declared lost. It is longer than the sum of the longest
	// tolerated pause (4 s) and a heartbeat interval, and short enough for all members to know of a failure within 5 s.
	lossTimeout = 4450 * time.Millisecond

	// indirectPingAfter is how long a member is silent before it is suspected and pinged indirectly. Together with
	// indirectPingInterval it allows two rounds before the member is declared lost. In a mass failure each survivor observes
	// several failed members, and the requests for all of them have to fit into pingRate.
	indirectPingAfter    = 2200 * time.Millisecond
	indirectPingInterval = 1500 * time.Millisecond

	// indirectPingTimeout is how long a relay waits for the ack before it sends a negative ack.
	indirectPingTimeout = 300 * time.Millisecond

	// confirmationLifetime is how long a relay's negative ack is valid. It covers the interval between two rounds.
	confirmationLifetime = 2500 * time.Millisecond

	// pauseThreshold is the gap between two ticks, ten times TickInterval, above which the process is assumed to have been
	// paused, or its clock to have been set.
	pauseThreshold = 500 * time.Millisecond

	// unobservedPingInterval is the interval of pings to lost members, since a partition may have healed, and to members whose
	// observers may all have failed.
	unobservedPingInterval = 500 * time.Millisecond

	// pingTimeout is how long a direct ping waits for its ack.
	pingTimeout = 2 * time.Second

	// aliveWindow is how long after its last contact a member is taken to be alive without a ping: four heartbeats.
	aliveWindow = time.Second

	// relayWindow is how long after its last contact a member is eligible as a relay.
	relayWindow = 3 * time.Second
)

// Dissemination.
const (
	// pushInterval is the minimum interval of pushes while member lists differ.
	pushInterval = 500 * time.Millisecond

	// introductionInterval is the minimum interval of introduction requests to unknown senders. Requests that answer a ping
	// are exempt.
	introductionInterval = 200 * time.Millisecond

	// joinInterval is the interval at which a view without other live members contacts a seed.
	joinInterval = 250 * time.Millisecond

	// seedInterval is the interval at which a view with other live members contacts a seed that is not a member, so that two
	// fleets that formed independently merge.
	seedInterval = 5 * time.Second

	// syncInterval is the mean interval of sync requests while member lists differ.
	syncInterval = 300 * time.Millisecond

	// divergenceWindow is how long member lists are considered different after a differing digest was received.
	divergenceWindow = time.Second
)

// Retention.
const (
	// tombstoneRetention is how long a lost instance stays in the member list. It covers a partition between regions of an
	// hour, with a margin of half an hour: a side that reaped the other's tombstones during the partition would consider
	// itself the entire fleet and use all of a shared budget, and so would the other side. The cost is bounded. An instance
	// whose broker is back is retained for supersededRetention only, so that only brokers that never return accumulate: at
	// 27 machine failures a day those are 2 in 90 minutes, and the loss of one zone out of ten adds 60 of 590. Each occupies
	// a place in the member list and a byte in the vector, but causes no additional pings: one lost member is pinged per
	// unobservedPingInterval.
	tombstoneRetention = 90 * time.Minute

	// supersededRetention is how long an instance stays in the member list if it has left, or if it is lost while another
	// instance of its broker is alive.
	supersededRetention = 10 * time.Second

	// gossipStopLead is how long before the end of its retention a tombstone is no longer gossiped, so that members that have
	// reaped it do not learn it again from one that reaps it later.
	gossipStopLead = 3 * time.Second

	// fenceDelay is how long a broker is in a minority before it is fenced, that is, before its share of a shared budget
	// becomes 0.
	fenceDelay = 20 * time.Second
)

// Token buckets for all datagrams except heartbeats, acks and leave announcements, in bytes per second and bytes, with IP and
// UDP headers. Including heartbeats, the total stays below 4 KB/s over any 10 s.
const (
	pingRate    = 800
	pingBurst   = 2000
	gossipRate  = 1700
	gossipBurst = 2000
)
