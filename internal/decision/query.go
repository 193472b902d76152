package decision

// The state of queries and of their parts, from arrival to final answer.

// phase is the step of a query that is in progress.
type phase int

const (
	firstPhase  phase = iota + 1 // the parts that the query names
	secondPhase                  // the Class.SecondPhaseFanout parts that follow
)

// queryTable holds the queries without a final answer, and the parts that may still have attempts in flight.
type queryTable struct {
	openQueries []*query             // in order of arrival
	queries     map[int64]*query     // by Query.Number; looked up, never iterated
	byQuery     map[RequestID]*query // by Query.ID; looked up, never iterated
	parts       map[RequestID]*part  // looked up, never iterated
}

// query is a query that this broker has received and not yet answered.
type query struct {
	Query
	class           *Class  // as it was when the query was received
	parts           []*part // of the phase in progress
	phase           phase
	firstComplete   bool    // the first phase was answered completely
	receivedAt      float64 // when its last byte was received
	objectiveAt     float64 // until then an answer earns its full value
	expiresAt       float64 // until then an answer earns any value, and the client waits for it
	objectiveMissed bool    // the latency objective has passed since the client's first try
	admitted        bool    // it passed admission, and its parts may be sent
	ended           bool    // it has its final answer, or its client has disconnected
	fannedOut       bool    // enough canary parts were answered in time to send the others
	resets          int     // attempts that ended with Reset
	fingerprint     uint64  // hash of class, shards and weights, the same for a client's retry
}

// part is one part of a query.
type part struct {
	Part
	query    *query
	attempts []attempt // in the order of their sends
	live     int       // attempts in flight
	answered bool      // an attempt has succeeded
	finished bool      // its phase or its query has ended
	givenUp  bool      // it gets no further attempt
}

// attempt is one send of a part to a server.
type attempt struct {
	server      *server
	sentAt      float64
	live        bool    // in flight: its outcome is not known
	mayRun      bool    // the server may have executed it, or may still do so
	cancelled   bool    // a Cancel was emitted
	concurrency float64 // this broker's parts at the server when it was sent, itself included
}
