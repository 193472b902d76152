package scale

// The operators' target: the load that they expect two years ahead.
const (
	TargetServers  = 4600
	TargetBrokers  = 590
	TargetQueries  = 82_000 // per second, over all brokers
	TargetParts    = 300    // per query
	TargetLatency  = 0.240  // seconds
	TargetQuantile = 0.99   // fraction of queries that are answered within TargetLatency
	TargetRegions  = 3
	TargetZones    = 10
	TargetChanges  = 2700 // configuration changes per day
	TargetRestarts = 790  // machine restarts per day
	TargetFailures = 27   // machine failures per day
	TargetRackSize = 20   // machines
	// TargetPropagationTime is the maximum time in seconds until a configuration change is in force at all brokers.
	TargetPropagationTime = 8.0
	ControlMachines       = 4
)

// Limits on the resources that membership, discovery and configuration together may use in a broker.
const (
	BudgetCores = 0.011
	BudgetBytes = 29_000 // per second
	BudgetMB    = 32
)

// Assumptions about quantities that the target does not specify.
const (
	AssumedBatchInterval     = 0.001 // seconds between two event batches of a broker's event loop
	AssumedServiceTime       = 0.010 // seconds: mean service time of a part
	AssumedReplicationFactor = 3     // replicas of a shard
	AssumedUsableCores       = 0.7   // fraction of its cores a broker may use normally; the rest is headroom for losing a zone
	SecondsPerDay            = 86_400.0
	SecondsPerHour           = 3600.0
)

// QueriesPerBroker returns the target's queries per second at each of the given number of brokers.
func QueriesPerBroker(brokers float64) float64 { return TargetQueries / brokers }

// PartsPerPair returns how many parts per second one broker sends to one record server at the target's load.
func PartsPerPair(brokers, servers float64) float64 {
	return TargetQueries * TargetParts / brokers / servers
}
