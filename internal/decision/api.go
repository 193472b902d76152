// Package decision decides for a query broker (an aggregator): a client that splits each query over many
// shards and reads every shard from one of its replicas. It chooses the replica of each part, the
// time-outs, further attempts and second copies, judges health, admits or refuses queries and says
// when to answer. It does no I/O and keeps no clock: the caller hands in the time and a batch of
// events and carries out the actions that come back.
//
// This file is the interface. All decisions are in policy.go and the files beside it.
package decision

import (
	"mothrouter/internal/retrybudget"
	"mothrouter/internal/serverstats"
	"mothrouter/internal/slowstart"
)

// Times and durations are seconds; times are on a clock of the caller's that never runs backwards.

// RequestID names a query or a part of one. The caller never reuses one.
type RequestID uint64

// Idempotency tells what a repeated part of a class does.
type Idempotency int

const (
	Idempotent        Idempotency = iota // repeats do no harm
	IdempotentWithKey                    // servers drop repeats within Class.IdempotencyWindow
	NonIdempotent                        // a repeat of what may have run is never allowed
)

// Class describes one class of query.
type Class struct {
	LatencyObjective      float64 // an answer within this time earns full worth
	ObjectivePerWork      float64 // the aim grows by this multiple of the query's own work
	Deadline              float64 // the client's patience over all its tries
	PriorityWeight        float64 // of a whole answer in time; 0: not stated
	LateValue             float64 // share of the worth that a late answer earns
	Idempotency           Idempotency
	IdempotencyWindow     float64 // RepeatKeyed: how long repeats are dropped, from the first send
	CompletenessThreshold float64 // weight of the first step's parts that makes a whole answer
	MinCompleteness       float64 // least weight of an answer
	SecondPhaseFanout     int     // parts of the second step; 0: there is none
}

// ReportMode tells how servers' load reports arrive.
type ReportMode int

const (
	ReportNone      ReportMode = iota // never
	ReportPiggyback                   // with every outcome and probe result
	ReportPull                        // with probe results only
)

// Settings are what a deployment fixes. They are handed to New once.
type Settings struct {
	Classes []Class

	Brokers int // how many there are
	Zone    int // this broker's zone

	ReplicaSets         int // number of cells
	ReplicationFactor   int // shard s is held by cells s, s+1 ... s+Reach-1, modulo Cells
	MaxPartsPerCall     int // most parts that share one call
	ReportMode          ReportMode
	PollEndpoints       bool    // the server list comes only when asked for
	PollInterval        float64 // longest time without asking, where it must be asked for
	WeightByWork        bool    // a query earns its class's worth times its work, else just that
	Tick                float64 // least time between batches
	MaxAttempts         int     // attempts of one part; 0: unlimited
	CancelAllowed       bool
	HealthChecksAllowed bool
	HedgingAllowed      bool    // a part may have two attempts out at once
	RetryAfterSupported bool    // clients hear Refuse.RetryAfter
	MaxRetryAfter       float64 // longest RetryAfter that clients heed

	SlowStart   slowstart.Settings
	RetryBudget retrybudget.Settings // of further attempts; queries and parts count as requests

	CrossZoneCost float64 // price of parts that cross zones, in shares of the result
}

// State is a server's state on the list. A draining server gets nothing new from the moment the list says so.
type State int

const (
	Ready    State = iota
	Draining       // finishes its work, takes nothing new
	Removed
)

// Server is one entry of the server list.
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

// Status is how an attempt or a probe ended.
type Status int

const (
	OK          Status = iota
	Error              // the server answered with an error; it may have run
	Overloaded         // turned away unseen
	TimedOut           // may have run or still run
	Unreachable        // no connection; it never ran
	Reset              // the connection broke; it may have run
	Cancelled          // may have run
	NotSent            // it never ran
)

// Event is what happened: one of the types below.
type Event interface{ event() }

// UpdateMode tells what a List holds.
type UpdateMode int

const (
	DeltaUpdate  UpdateMode = iota // changed entries only
	FullUpdate                     // all servers; those missing are gone
	CachedUpdate                   // all servers as last known before a restart
	FailedUpdate                   // nothing: a Watch or Fetch failed
)

type (
	// EndpointUpdate is news of the server list.
	EndpointUpdate struct {
		Mode    UpdateMode
		Version int64
		Servers []Server
	}
	// Query is a query taken. Its parts follow in the same batch.
	Query struct {
		ID         RequestID
		Number     int64 // names the query in its parts
		Class      int
		Tenant     int
		Key        uint64
		Parts      int
		Deadline   float64 // when the client gives this try up
		Retry      bool    // the client marked it as a repeat
		Work       float64 // expected work; 0: unknown
		Write      bool
		ReceivedAt float64 // when its last byte came, before the caller's own work on it; 0: now
	}
	// Part is one part of a query, read from one shard.
	Part struct {
		ID          RequestID
		QueryNumber int64
		Shard       int
		Weight      float64 // of its step; a step's weights sum to 1
		Key         uint64
		Work        float64
	}
	// ResponseStarted tells that an attempt's streamed answer has begun.
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
		PartConcluded bool // the part is concluded
		LoadReport    LoadReport
	}
	// ClientDisconnected tells that the client of a query has left.
	ClientDisconnected struct{ ID RequestID }
	// HealthChecked is the result of a Probe.
	HealthChecked struct {
		Server     string
		Status     Status
		Latency    float64
		LoadReport LoadReport
	}
	// PeerObservation is hearsay of a server: what another loop of the same process saw of it, or the process before this
	// one. News of the broker's own that is not older wins over it.
	PeerObservation struct {
		Server         string
		At             float64 // when it was so
		FailureRatio   float64 // share of failed attempts, 0 to 1
		Weight         float64 // how far the broker's own mark moves there, 0 to 1
		ServiceTime    float64 // latency of a part there; 0: not told
		LoadReport     LoadReport
		LoadReportedAt float64 // when the report came; 0: At
	}
	// RestoredState is what the process before this one knew of the fleet. It counts while this one has seen nothing.
	RestoredState struct {
		ServiceTime    float64 // latency of a part
		PeakThroughput float64 // parts that a warm server answers this broker a second
	}
	// SlowStartLease tells how many more parts may go to a cold server until a time. A broker that hears so of a server
	// holds a share of a common budget and guesses none of its own.
	SlowStartLease struct {
		Server    string
		Parts     int
		ExpiresAt float64
	}
	// ClassesChanged tells that queries taken from now on belong to these classes: as many as before, in the same order,
	// that differ in Aim, Deadline, Worth and LateWorth at most. Queries that are open end under the classes under
	// which they were taken. Neither side writes to Classes afterwards, so that several Deciders may hold one slice.
	ClassesChanged struct{ Classes []Class }
	// FleetResized tells how many brokers share what is common to all, where they know of each other.
	FleetResized struct{ Brokers int }
	// TimerFired is a timer that fell due.
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
	// Reject turns a query away; the client may safely repeat it.
	Reject struct {
		ID         RequestID
		RetryAfter float64 // 0: no advice
	}
	// Fail gives a query up and promises nothing.
	Fail struct{ ID RequestID }
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer asks for a Timer at a time.
	SetTimer struct {
		Token uint64
		At    float64
	}
	// CheckHealth asks a server for its load.
	CheckHealth struct{ Server string }
	// WatchEndpoints subscribes to the server list.
	WatchEndpoints struct{ On bool }
	// FetchEndpoints asks for the whole list once.
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

// Decider is what a broker runs. Policy is ours; a caller may put another in its place.
type Decider interface {
	// Handle takes the events of one moment in their order and returns what to do, in order.
	Handle(now float64, events []Event) []Action
}
