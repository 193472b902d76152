package decision

// The state of queries and their parts, from receipt to final answer.

// phase is the current phase of a query.
type phase int

const (
	firstPhase  phase = iota + 1 // the Query.Parts parts received with the query
	secondPhase                  // the Class.SecondPhaseFanout parts received after the first response
)

// queryTable holds the queries without a final answer, and the parts that may still have attempts in flight.
type queryTable struct {
	openQueries     []*query             // in order of receipt
	queriesByNumber map[int64]*query     // by Query.Number; never iterated
	queriesByID     map[RequestID]*query // by Query.ID; never iterated
	partsByID       map[RequestID]*part  // by Part.ID; never iterated
}

// query is the state of a query that has no final answer yet.
type query struct {
	Query
	class              *Class  // the class as configured when the query was received
	parts              []*part // of the current phase
	phase              phase
	firstPhaseComplete bool    // the response to the first phase was complete
	receivedAt         float64 // when the last byte of the request was received
	objectiveAt        float64 // time until which an answer has its full value
	expiresAt          float64 // time until which an answer has any value and the client waits for it
	objectiveMissed    bool    // the latency objective has passed since the client's first request
	admitted           bool    // admission has accepted the query, so its parts may be sent
	ended              bool    // the query has its final answer, or its client has disconnected
	fannedOut          bool    // enough canary parts were answered in time to send the others
	resets             int     // attempts that ended with Reset
	fingerprint        uint64  // hash of class, shards and weights; the same for all retries of a query
}

// part is the state of one part of a query.
type part struct {
	Part
	query            *query
	attempts         []attempt // in the order in which they were sent
	attemptsInFlight int       // number of attempts whose outcome is not known yet
	answered         bool      // an attempt has succeeded
	finished         bool      // the phase or the query has ended
	givenUp          bool      // no further attempt may be sent
}

// attempt is the state of one attempt of a part at a server.
type attempt struct {
	server      *server
	sentAt      float64
	inFlight    bool    // the outcome is not known yet
	mayRun      bool    // the server may have executed the attempt, or may still execute it
	cancelled   bool    // a Cancel was emitted
	concurrency float64 // Stats.QueueDepth when the attempt was sent, plus 1 for this attempt
}
