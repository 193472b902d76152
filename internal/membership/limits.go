package membership

import "time"

const (
	// Most is how many members there may be. Instances of the past take room until they are forgotten.
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
	forgetTime        = 10 * time.Minute        // after which an instance that is lost is forgotten
	leftTime          = 10 * time.Second        // the same where it has left, or another of its name lives
	forgetLead        = 3 * time.Second         // before that, it is no longer told of
	fencedTime        = 20 * time.Second        // in a minority, after which a broker uses no part of a common share
	entriesMost       = 1100                    // bytes of a datagram of instances, with IP and UDP

	// What is sent beside heartbeats and pongs, in bytes a second on the wire: to find out who lives, and to tell of it.
	// With the heartbeats, that is under 4 KB/s over any 10 s.
	probeBytes, probeBurst   = 800, 2000
	gossipBytes, gossipBurst = 1700, 2000

	openPingsMost = 256 // numbers that wait for a pong
)
