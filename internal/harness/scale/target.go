package scale

// The operators' target: the load that they expect in two years.
const (
	TargetServers   = 4600
	TargetBrokers   = 590
	TargetQueries   = 82_000 // a second, of all brokers
	TargetParts     = 300    // a query
	TargetLatency   = 0.240  // seconds
	TargetQuantile  = 0.99   // of queries within TargetLatency
	TargetRegions   = 3
	TargetZones     = 10
	TargetChanges   = 2700 // of configuration a day
	TargetRestarts  = 790  // machines a day
	TargetFailures  = 27   // machines a day
	TargetRack      = 20   // machines
	TargetInForce   = 8.0  // seconds within which a change is in force everywhere
	ControlMachines = 4
)

// Limits of what membership, discovery and configuration may cost a broker.
const (
	BudgetCore  = 0.011  // of a core
	BudgetBytes = 29_000 // a second
	BudgetMB    = 32
)

// Assumptions about what the target leaves open.
const (
	AssumedBatchInterval     = 0.001 // seconds between two batches of a broker's loop
	AssumedServiceTime       = 0.010 // seconds: mean service time of a part
	AssumedReplicationFactor = 3     // replicas of a shard
	AssumedUsableCores       = 0.7   // fraction that a broker may use on an ordinary day; the rest is for the loss of a zone
	DayS                     = 86_400.0
	HourS                    = 3600.0
)

// QueriesPerBroker returns how many queries a second each of a number of brokers receives.
func QueriesPerBroker(brokers float64) float64 { return TargetQueries / brokers }

// PartsPerPair returns how many parts a second one broker sends to one server.
func PartsPerPair(brokers, servers float64) float64 {
	return TargetQueries * TargetParts / brokers / servers
}
