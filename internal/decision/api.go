// Package decision implements the decision logic of a query broker (aggregator), which splits each query over many shards and
// reads every shard from one of its replicas. It selects a replica for each part, sets timeouts, retries and hedges, tracks
// server health, admits or rejects queries and determines when to respond. It does no I/O and has no clock: the caller passes
// the time and a batch of events, and carries out the returned actions.
//
// This file defines the interface. The decisions are made in policy.go and the other files of the package.
package decision

import (
	"mothrouter/internal/completeness"
	"mothrouter/internal/estimate/retrybudget"
	"mothrouter/internal/estimate/serverstats"
	"mothrouter/internal/estimate/slowstart"
)

// Times and durations are in seconds. Times are read from a clock of the caller that never goes backwards.

// RequestID identifies a query or a part of a query. The caller never reuses an ID.
type RequestID uint64

// Idempotency states whether the parts of a class may be executed more than once.
type Idempotency int

const (
	// Idempotent parts may be retried at any time.
	Idempotent Idempotency = iota
	// IdempotentWithKey parts may be retried within Class.IdempotencyWindow, in which servers drop duplicates.
	IdempotentWithKey
	// NonIdempotent parts must not be retried after an attempt that may have been executed.
	NonIdempotent
)

// Class holds the objectives and rules of one class of queries.
type Class struct {
	LatencyObjective      float64 // seconds from receipt within which a response has its full value
	ObjectivePerWork      float64 // seconds added to the objective for each unit of Query.Work
	Deadline              float64 // seconds that the client waits in total, over its first request and all retries
	PriorityWeight        float64 // value of a complete response within the objective; 0: not specified
	LateValue             float64 // fraction of PriorityWeight that a late response is worth
	Idempotency           Idempotency
	IdempotencyWindow     float64 // IdempotentWithKey: how long after the first send servers drop duplicates
	CompletenessThreshold float64 // minimum weight of answered first-phase parts for a complete response
	MinCompleteness       float64 // minimum weight of answered parts for any response
	SecondPhaseFanout     int     // number of parts in the second phase; 0: no second phase
}

// Thresholds returns the weights of answered parts that a response needs in the first or second phase. A complete response to
// the second phase needs every part.
func (c *Class) Thresholds(secondPhase bool) completeness.Thresholds {
	thresholds := completeness.Thresholds{Complete: c.CompletenessThreshold, Min: c.MinCompleteness}
	if secondPhase {
		return thresholds.RequireAllParts()
	}
	return thresholds
}

// ReportMode specifies how load reports of servers reach the broker.
type ReportMode int

// The report modes.
const (
	ReportNone      ReportMode = iota // no load reports
	ReportPiggyback                   // with the outcome of every attempt and health check
	ReportPull                        // with health checks only
)

// Settings are the parameters of a deployment, passed to New.
type Settings struct {
	Classes []Class

	Brokers int // number of brokers that share the record servers
	Zone    int // zone of this broker

	ReplicaSets       int // number of replica sets
	ReplicationFactor int // shard s is held by sets s, s+1 ... s+ReplicationFactor-1, modulo ReplicaSets
	MaxPartsPerCall   int // maximum number of parts in one call
	ReportMode        ReportMode
	PollEndpoints     bool    // endpoint updates arrive only in response to polls
	PollInterval      float64 // longest time between two polls
	WeightByWork      bool    // the value of a query is PriorityWeight times Query.Work instead of PriorityWeight
	Tick              float64 // shortest time between batches
	MaxAttempts       int     // maximum number of attempts of one part; 0: unlimited

	CancelAllowed       bool
	HealthChecksAllowed bool
	HedgingAllowed      bool    // a part may have two attempts in flight
	RetryAfterSupported bool    // clients honor Reject.RetryAfter
	MaxRetryAfter       float64 // longest RetryAfter that clients honor

	SlowStart   slowstart.Settings
	RetryBudget retrybudget.Settings // queries and parts count as requests

	CrossZoneCost float64 // cost of parts sent to another zone, as a fraction of the value of the result
}

// State is the state of a server on the endpoint list. A server gets no new attempts once it is listed as draining.
type State int

// The states of a server.
const (
	Ready    State = iota
	Draining       // finishes attempts in flight and accepts no new ones
	Removed
)

// Server is one entry of the endpoint list.
type Server struct {
	ID         string
	Zone       int
	Kind       int // machine type, as an index
	ReplicaSet int
	State      State
	Capacity   float64 // relative to other servers; 0: unknown
	StartedAt  float64 // time of the latest start; 0: long ago
}

// LoadReport is the load that a server reports about itself. Missing values are negative.
type LoadReport = serverstats.LoadReport

// NoLoadReport is a report in which all values are missing.
var NoLoadReport = serverstats.NoLoadReport

// Status is the outcome of an attempt or a health check.
type Status int

// The outcomes of attempts and health checks.
const (
	OK          Status = iota
	Error              // the server returned an error; the attempt may have been executed
	Overloaded         // the server rejected the attempt without executing it
	TimedOut           // the attempt may have been executed, or may still be executed
	Unreachable        // no connection was established; the attempt was not executed
	Reset              // the connection was reset; the attempt may have been executed
	Cancelled          // the attempt may have been executed, or may still be executed
	NotSent            // the broker did not send the attempt; this says nothing about the server
)

// Event is an input of a Decider: one of the types below.
type Event interface{ event() }

// UpdateMode specifies which servers an EndpointUpdate contains.
type UpdateMode int

// The update modes.
const (
	DeltaUpdate  UpdateMode = iota // changed entries only
	FullUpdate                     // all servers; servers that are missing have been removed
	CachedUpdate                   // all servers as known before a restart of the broker
	FailedUpdate                   // no servers: WatchEndpoints or FetchEndpoints failed
)

type (
	// EndpointUpdate reports a change of the endpoint list.
	EndpointUpdate struct {
		Mode    UpdateMode
		Version int64
		Servers []Server
	}
	// Query reports a received query. Its parts follow in the same batch.
	Query struct {
		ID         RequestID
		Number     int64 // parts refer to the query by this number
		Class      int
		Tenant     int
		Key        uint64
		Parts      int
		Deadline   float64 // when the client abandons this request
		Retry      bool    // the client marked it as a retry
		Work       float64 // expected amount of work; 0: unknown
		Write      bool
		ReceivedAt float64 // when the last byte of the request was received, before the caller parsed it; 0: now
	}
	// Part is the part of a query that reads one shard.
	Part struct {
		ID          RequestID
		QueryNumber int64
		Shard       int
		Weight      float64 // the weights of a phase's parts sum to 1
		Key         uint64
		Work        float64
	}
	// ResponseStarted reports that a server has begun to stream its answer to an attempt.
	ResponseStarted struct {
		ID      RequestID
		Attempt int
		Server  string
	}
	// AttemptFinished reports the outcome of an attempt. Each Send leads to exactly one.
	AttemptFinished struct {
		ID            RequestID
		Attempt       int
		Server        string
		Status        Status
		Latency       float64
		PartConcluded bool // no further attempt of the part may be sent
		LoadReport    LoadReport
	}
	// ClientDisconnected reports that the client of a query has closed its connection or cancelled the query.
	ClientDisconnected struct{ ID RequestID }
	// HealthChecked reports the result of a CheckHealth.
	HealthChecked struct {
		Server     string
		Status     Status
		Latency    float64
		LoadReport LoadReport
	}
	// PeerObservation reports what another worker of the same process, or the previous process, observed of a server.
	// The worker's own observations take precedence unless they are older.
	PeerObservation struct {
		Server         string
		At             float64 // when it was observed
		FailureRatio   float64 // fraction of failed attempts, 0 to 1
		Weight         float64 // weight of FailureRatio in the average with the worker's own ratio, 0 to 1
		ServiceTime    float64 // of one part; 0: unknown
		LoadReport     LoadReport
		LoadReportedAt float64 // when the load report was made; 0: At
	}
	// RestoredState holds the previous process's estimates for the fleet. They apply until the new process has observations
	// of its own.
	RestoredState struct {
		ServiceTime    float64 // of one part
		PeakThroughput float64 // parts per second that a warm server answers to this broker
	}
	// SlowStartLease is a share of a common budget for a server in slow start: how many more parts the Decider may send
	// to it before the lease expires. A Decider with a lease does not estimate a budget of its own.
	SlowStartLease struct {
		Server    string
		Parts     int
		ExpiresAt float64
	}
	// ClassesChanged replaces the classes of queries received from now on. Their number and order stay the same, and
	// only LatencyObjective, Deadline, PriorityWeight and LateValue may differ. Open queries keep the classes under
	// which they were received. Classes must not be modified afterwards, since several Deciders may share the slice.
	ClassesChanged struct{ Classes []Class }
	// FleetResized reports how many brokers share the record servers. It occurs only where brokers discover each other.
	FleetResized struct{ Brokers int }
	// TimerFired reports that the time of a SetTimer has been reached.
	TimerFired struct{ Token uint64 }
	// PeerMessage delivers a message from another broker.
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

// Action is an output of a Decider, to be carried out by the caller: one of the types below.
type Action interface{ action() }

type (
	// Send starts an attempt of a part. The attempts of a part are numbered from 0 in the order in which they are sent.
	Send struct {
		ID      RequestID
		Server  string
		Timeout float64 // 0: until the client's deadline
	}
	// Respond answers a query from the parts that have been answered.
	Respond struct {
		ID       RequestID
		Complete bool
	}
	// Reject ends a query with an error after which the client may safely retry it.
	Reject struct {
		ID         RequestID
		RetryAfter float64 // time until the client should retry; 0: not specified
	}
	// Fail ends a query with an error that leaves open whether it was executed.
	Fail struct{ ID RequestID }
	// Cancel abandons an attempt in flight, whose AttemptFinished still follows.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer requests a TimerFired at a time.
	SetTimer struct {
		Token uint64
		At    float64
	}
	// CheckHealth requests a health check of a server, which also returns its load.
	CheckHealth struct{ Server string }
	// WatchEndpoints subscribes to the endpoint list.
	WatchEndpoints struct{ On bool }
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints struct{}
	// Log writes a line to the broker's log.
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

// Decider makes the decisions of a broker. Policy implements it; callers may use another implementation.
type Decider interface {
	// Handle processes the events of one point in time, in order, and returns the actions to carry out, in order.
	Handle(now float64, events []Event) []Action
}
