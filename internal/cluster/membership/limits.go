package membership

import "time"

// Sizes.
const (
	// MaxMembers is how many members there may be. Instances of the past take a place until they are forgotten. All states
	// go into one datagram, a byte an instance: of plane.MaxSize, 1,200 bytes, 1,156 are left beside the header, enough for
	// a roster of 1,000. docs/fleet.md (Open) tells what limits a larger one.
	MaxMembers = 500

	maxRoster           = 2 * MaxMembers
	ringCount           = 6    // of observers; each member has as many, and observes as many
	indirectPingFanout  = 2    // members that are asked at once to ping a silent one
	maxConfirmations    = 2    // helpers that have to find it silent too
	maxAdopted          = 3    // members observed at once because they did not answer a ping
	maxUnobservedPings  = 3    // lost members pinged beside the one, where as many of those observed are silent
	gossipFanout        = 5    // members that an update is pushed to at once
	rosterSlices        = 8    // a roster is asked for in slices, so that asking costs less than what is answered
	maxEntriesSize      = 1100 // bytes of a datagram of instances, with IP and UDP headers
	maxOutstandingPings = 256  // numbers that wait for a pong
)

// Failure detection.
const (
	heartbeatInterval = 250 * time.Millisecond // to each observer

	// lossTimeout is how long a member must have been silent: longer than the longest pause that it may make (4 s) and a
	// heartbeat, and short enough that all know of a death within 5 s.
	lossTimeout = 4450 * time.Millisecond

	// A silent member is pinged indirectly, by helpers, and again. That is twice before the verdict: where most members die
	// at once, each that is left observes several of the dead, and all requests have to fit into what may be sent.
	indirectPingAfter    = 2200 * time.Millisecond
	indirectPingInterval = 1500 * time.Millisecond
	indirectPingTimeout  = 300 * time.Millisecond // that a helper waits for an answer

	confirmationLifetime   = 2500 * time.Millisecond // for which a helper's finding counts
	pauseThreshold         = 500 * time.Millisecond  // between two ticks: this process was stopped, or its clock jumped
	unobservedPingInterval = 500 * time.Millisecond  // a lost member is pinged: a cut may have healed
	pingTimeout            = 2 * time.Second         // for which a ping's number is good
	aliveWindow            = time.Second             // a member heard of within it is proven alive
	helperWindow           = 3 * time.Second         // and within it may be a helper
)

// Dissemination.
const (
	pushInterval         = 500 * time.Millisecond // updates are pushed, while rosters differ
	introductionInterval = 200 * time.Millisecond // an unknown instance is asked who it is
	joinInterval         = 250 * time.Millisecond // a newcomer asks for the roster
	seedInterval         = 5 * time.Second        // a seed that is no member is asked: two fleets may have begun apart
	syncInterval         = 300 * time.Millisecond // while rosters differ, another's is asked for what is missing of a slice
	divergenceWindow     = time.Second            // rosters that differed so lately may still
)

// Retention.
const (
	// tombstoneRetention is after how long an instance that is lost is forgotten. It is longer than regions lose each other for
	// (an hour) with half of that to spare. A side that forgot the other within a cut would take itself for the whole fleet
	// and use all of what is shared, as the other does. What it costs is bounded: an instance whose broker is back is
	// forgotten after leftRetention, so that in 90 minutes only brokers that never came back pile up. With 27 machines
	// failed a day those are 2, with a zone of ten lost 60 of 590 beside; each takes a place in the roster, a byte in the
	// vector and no more pings, of which there is one a lostPingInterval.
	tombstoneRetention = 90 * time.Minute

	supersededRetention = 10 * time.Second // the same where it has left, or another of its name lives
	gossipStopLead      = 3 * time.Second  // before that, it is gossiped no more
	fenceDelay          = 20 * time.Second // in a minority, after which a broker uses no part of what is shared
)

// Token buckets, in bytes on the wire: what is sent beside heartbeats and pongs, to find out who lives and to gossip it.
// With the heartbeats, that is under 4 KB/s over any 10 s.
const (
	probeRate   = 800
	probeBurst  = 2000
	gossipRate  = 1700
	gossipBurst = 2000
)
