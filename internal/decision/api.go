// Package decision decides for a query broker (an aggregator): a client that splits each query over many shards and reads
// every shard from one of its replicas. It selects the replica of each part, sets time-outs, retries and hedges, judges
// health, admits or rejects queries and says when to respond. It does no I/O and keeps no clock: the caller hands in the time
// and a batch of events and carries out the actions that come back.
//
// This file is the interface. All decisions are in policy.go and the files beside it.
package decision

import (
	"mothrouter/internal/completeness"
	"mothrouter/internal/estimate/retrybudget"
	"mothrouter/internal/estimate/serverstats"
	"mothrouter/internal/estimate/slowstart"
)

// Times and durations are seconds; times are on a clock of the caller's that never runs backwards.

// RequestID names a query or a part of one. The caller never reuses one.
type RequestID uint64

// Idempotency is what executing a part of a class more than once does.
type Idempotency int

const (
	// Idempotent parts may be retried at any time.
	Idempotent Idempotency = iota
	// IdempotentWithKey parts may be retried within Class.IdempotencyWindow, while servers drop duplicates.
	IdempotentWithKey
	// NonIdempotent parts must not be retried once an attempt may have run.
	NonIdempotent
)

// Class describes one class of query.
type Class struct {
	LatencyObjective      float64 // seconds from receipt within which a response earns its full value
	ObjectivePerWork      float64 // seconds added to the objective for each unit of Query.Work
	Deadline              float64 // seconds that the client waits over all its tries
	PriorityWeight        float64 // value of a complete response in time; 0: not stated
	LateValue             float64 // fraction of that value which a late response earns
	Idempotency           Idempotency
	IdempotencyWindow     float64 // IdempotentWithKey: how long duplicates are dropped, from the first send
	CompletenessThreshold float64 // weight of the first phase's parts that makes a complete response
	MinCompleteness       float64 // least weight of a response
	SecondPhaseFanout     int     // parts of the second phase; 0: there is none
}

// Thresholds are the weights that a response needs, from the parts of the first phase or, where every part is needed, of the
// second.
func (c *Class) Thresholds(secondPhase bool) completeness.Thresholds {
	at := completeness.Thresholds{Complete: c.CompletenessThreshold, Min: c.MinCompleteness}
	if secondPhase {
		return at.OfEveryPart()
	}
	return at
}

// ReportMode is the way in which servers' load reports arrive.
type ReportMode int

// The report modes.
const (
	ReportNone      ReportMode = iota // never
	ReportPiggyback                   // with every attempt's outcome and health check
	ReportPull                        // with health checks only
)

// Settings are what a deployment fixes. They are handed to New once.
type Settings struct {
	Classes []Class

	Brokers int // how many share the record servers
	Zone    int // this broker's zone

	ReplicaSets       int // number of replica sets
	ReplicationFactor int // shard s is held by sets s, s+1 ... s+ReplicationFactor-1, modulo ReplicaSets
	MaxPartsPerCall   int // parts that may share one call
	ReportMode        ReportMode
	PollEndpoints     bool    // the endpoint list comes only when it is polled
	PollInterval      float64 // longest time between two polls
	WeightByWork      bool    // a query's value is its class's weight times its work, else the weight alone
	Tick              float64 // least time between batches
	MaxAttempts       int     // attempts of one part; 0: unlimited

	CancelAllowed       bool
	HealthChecksAllowed bool
	HedgingAllowed      bool    // a part may have two attempts in flight
	RetryAfterSupported bool    // clients heed Reject.RetryAfter
	MaxRetryAfter       float64 // longest RetryAfter that they heed

	SlowStart   slowstart.Settings
	RetryBudget retrybudget.Settings // of retries; queries and parts count as requests

	CrossZoneCost float64 // cost of parts that cross zones, as a fraction of the result
}

// State is a server's state on the endpoint list. A draining server gets no attempt from the moment the list says so.
type State int

// The states of a server.
const (
	Ready    State = iota
	Draining       // finishes its work, accepts no attempt
	Removed
)

// Server is one entry of the endpoint list.
type Server struct {
	ID         string
	Zone       int
	Kind       int
	ReplicaSet int
	State      State
	Capacity   float64 // for comparison between servers; 0: unknown
	Started    float64 // time of the last start; 0: long ago
}

// LoadReport is a server's report of its own load. Absent values are negative.
type LoadReport = serverstats.LoadReport

// NoLoadReport is a report without any value.
var NoLoadReport = serverstats.NoLoadReport

// Status is how an attempt or a health check ended.
type Status int

// How attempts and health checks end.
const (
	OK          Status = iota
	Error              // the server answered with an error; the attempt may have run
	Overloaded         // the server rejected the attempt, which did not run
	TimedOut           // the attempt may have run or may still run
	Unreachable        // there was no connection; the attempt did not run
	Reset              // the connection broke; the attempt may have run
	Cancelled          // the attempt may have run or may still run
	NotSent            // the attempt did not run; its outcome does not depend on the server
)

// Event is what happened: one of the types below.
type Event interface{ event() }

// UpdateMode is the kind of entries that an EndpointUpdate holds.
type UpdateMode int

// What endpoint updates hold.
const (
	DeltaUpdate  UpdateMode = iota // changed entries only
	FullUpdate                     // all servers; those missing are removed
	CachedUpdate                   // all servers as last known before a restart
	FailedUpdate                   // nothing: a WatchEndpoints or FetchEndpoints failed
)

type (
	// EndpointUpdate is a change of the endpoint list.
	EndpointUpdate struct {
		Mode    UpdateMode
		Version int64
		Servers []Server
	}
	// Query is a query that was received. Its parts follow in the same batch.
	Query struct {
		ID         RequestID
		Number     int64 // names the query in its parts
		Class      int
		Tenant     int
		Key        uint64
		Parts      int
		Deadline   float64 // when the client gives this try up
		Retry      bool    // the client marked it as a retry
		Work       float64 // expected work; 0: unknown
		Write      bool
		ReceivedAt float64 // when its last byte was received, before the caller's own work on it; 0: now
	}
	// Part is one part of a query, read from one shard.
	Part struct {
		ID          RequestID
		QueryNumber int64
		Shard       int
		Weight      float64 // in its phase; a phase's weights sum to 1
		Key         uint64
		Work        float64
	}
	// ResponseStarted reports that an attempt's streamed answer has begun.
	ResponseStarted struct {
		ID      RequestID
		Attempt int
		Server  string
	}
	// AttemptFinished is an attempt's outcome. Each Send gets exactly one.
	AttemptFinished struct {
		ID            RequestID
		Attempt       int
		Server        string
		Status        Status
		Latency       float64
		PartConcluded bool // the part gets no further attempt
		LoadReport    LoadReport
	}
	// ClientDisconnected reports that the client of a query has closed its connection or cancelled the query.
	ClientDisconnected struct{ ID RequestID }
	// HealthChecked is the result of a CheckHealth.
	HealthChecked struct {
		Server     string
		Status     Status
		Latency    float64
		LoadReport LoadReport
	}
	// PeerObservation is what another loop of the same process, or the previous process, observed of a server.
	// The broker's own observations win over it unless they are older.
	PeerObservation struct {
		Server         string
		At             float64 // when it was observed
		FailureRatio   float64 // fraction of failed attempts, 0 to 1
		Weight         float64 // how far the broker's own ratio moves there, 0 to 1
		ServiceTime    float64 // of a part there; 0: not stated
		LoadReport     LoadReport
		LoadReportedAt float64 // 0: At
	}
	// RestoredState is what the previous process knew of the fleet. It is used until this one has its own observations.
	RestoredState struct {
		ServiceTime    float64 // of a part
		PeakThroughput float64 // parts that a warm server answers this broker a second
	}
	// SlowStartLease is this broker's share of a common budget for a server in slow start: how many more parts it may
	// send there before the lease expires. A broker with a lease estimates no budget of its own.
	SlowStartLease struct {
		Server    string
		Parts     int
		ExpiresAt float64
	}
	// ClassesChanged replaces the classes of queries received from now on: as many as before, in the same
	// order, that differ in LatencyObjective, Deadline, PriorityWeight and LateValue at most. Open queries keep the
	// classes under which they were received. Neither side writes to Classes afterwards, so that several Deciders may
	// share one slice.
	ClassesChanged struct{ Classes []Class }
	// FleetResized reports how many brokers share the record servers. Only brokers that discover each other send it.
	FleetResized struct{ Brokers int }
	// TimerFired reports that the time of a SetTimer has passed.
	TimerFired struct{ Token uint64 }
	// PeerMessage is a message from another broker.
	PeerMessage struct {
		From int
		Data []byte
	}
)

func (EndpointUpdate) event()     {}
func (Query) event()              {}
func (Part) event()               {}
func (ResponseStarted) event()    {}
func (AttemptFinished) event()    {}
func (ClientDisconnected) event() {}
func (HealthChecked) event()      {}
func (PeerObservation) event()    {}
func (SlowStartLease) event()     {}
func (RestoredState) event()      {}
func (ClassesChanged) event()     {}
func (FleetResized) event()       {}
func (TimerFired) event()         {}
func (PeerMessage) event()        {}

// Action is what the caller shall do: one of the types below.
type Action interface{ action() }

type (
	// Send starts an attempt of a part. Attempts of a part count from 0 in the order of their sends.
	Send struct {
		ID      RequestID
		Server  string
		Timeout float64 // 0: until the client gives up
	}
	// Respond answers a query from the parts that are in.
	Respond struct {
		ID       RequestID
		Complete bool
	}
	// Reject ends a query that the client may safely retry.
	Reject struct {
		ID         RequestID
		RetryAfter float64 // 0: no advice
	}
	// Fail ends a query and promises nothing.
	Fail struct{ ID RequestID }
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer asks for a TimerFired at a time.
	SetTimer struct {
		Token uint64
		At    float64
	}
	// CheckHealth asks a server for its health and load.
	CheckHealth struct{ Server string }
	// WatchEndpoints subscribes to the endpoint list.
	WatchEndpoints struct{ On bool }
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints struct{}
	// Log adds a line to the broker's report.
	Log struct{ Line string }
)

func (Send) action()           {}
func (Respond) action()        {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Cancel) action()         {}
func (SetTimer) action()       {}
func (CheckHealth) action()    {}
func (WatchEndpoints) action() {}
func (FetchEndpoints) action() {}
func (Log) action()            {}

// Decider is what a broker runs. Policy is the module's own; a caller may put another in its place.
type Decider interface {
	// Handle takes the events of one moment in their order and returns what to do, in order.
	Handle(now float64, events []Event) []Action
}
