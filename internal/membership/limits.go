package membership

import "time"

const (
	// Most is how many members there may be. Instances of the past take room until they are forgotten. All states go
	// into one datagram, a byte an instance: of plane.Most, 1,200 bytes, 1,156 are left beside the header, enough for a
	// roster of 1,000. docs/fleet.md (Open) tells what binds a larger one.
	Most       = 500
	rosterMost = 2 * Most

	rings          = 6                      // of observers; each member has as many, and observes as many
	heartbeatEvery = 250 * time.Millisecond // to each observer
	// lostAfter is how long a member must have been silent: longer than the longest pause that it may make (4 s) and a
	// heartbeat, and short enough that all know of a death within 5 s.
	lostAfter = 4450 * time.Millisecond
	// Of silence, others are asked, and again. That is twice before the verdict: where most members die at once, each
	// that is left observes several of the dead, and all that is asked has to fit into what may be sent.
	askAfter          = 2200 * time.Millisecond
	askEvery          = 1500 * time.Millisecond
	askWait           = 300 * time.Millisecond  // that a helper waits for an answer
	helpers           = 2                       // asked at once
	confirmationsMost = 2                       // helpers that have to find it silent too
	confirmationFor   = 2500 * time.Millisecond // for which a helper's word counts
	pausedAfter       = 500 * time.Millisecond  // between two looks at the clock: this process was stopped, or its clock jumped
	probeEvery        = 500 * time.Millisecond  // one lost member is pinged: a cut may have healed
	pushEvery         = 500 * time.Millisecond  // news are pushed, while rosters differ
	introduceEvery    = 200 * time.Millisecond  // one unknown instance is asked who it is
	joinEvery         = 250 * time.Millisecond  // a newcomer asks for the roster
	seedEvery         = 5 * time.Second         // a seed that is no member is asked: two fleets may have begun apart
	syncEvery         = 300 * time.Millisecond  // while rosters differ, another's is asked for what is missing of a slice
	rosterSlices      = 8                       // so that asking costs less than what is answered
	differFor         = time.Second             // rosters that differed so lately may still
	pingFor           = 2 * time.Second         // a ping's number is good
	recent            = time.Second             // a member heard of within it lives for sure
	helperHeardFor    = 3 * time.Second         // and within it can be asked for help
	suspectedMost     = 3                       // members observed at once because they did not answer a ping
	extraProbesMost   = 3                       // members pinged beside the one, where as many of those observed are silent
	fanout            = 5                       // members that hear of news at once
	forgetTime        = 90 * time.Minute        // after which an instance that is lost is forgotten, see below
	leftTime          = 10 * time.Second        // the same where it has left, or another of its name lives
	forgetLead        = 3 * time.Second         // before that, it is no longer told of
	fencedTime        = 20 * time.Second        // in a minority, after which a broker uses no part of a common share
	entriesMost       = 1100                    // bytes of a datagram of instances, with IP and UDP

	// forgetTime is longer than regions lose each other for (an hour) with half of that to spare. A side that forgot the
	// other within a cut would take itself for the whole fleet and use all of what is shared, as the other does. What it
	// costs is bounded: an instance whose broker is back is forgotten after leftTime, so that in 90 minutes only brokers
	// that never came back pile up. With 27 machines failed a day those are 2, with a zone of ten lost 60 of 590 beside;
	// each takes a place in the roster, a byte in the vector and no more pings, of which there is one a probeEvery.

	// What is sent beside heartbeats and pongs, in bytes a second on the wire: to find out who lives, and to tell of it.
	// With the heartbeats, that is under 4 KB/s over any 10 s.
	probeBytes, probeBurst   = 800, 2000
	gossipBytes, gossipBurst = 1700, 2000

	openPingsMost = 256 // numbers that wait for a pong
)
