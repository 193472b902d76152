package scale

// The operators' target, the size of two years.
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

// What control may cost a broker.
const (
	BudgetCore  = 0.011  // of a core
	BudgetBytes = 29_000 // a second
	BudgetMB    = 32
)

// What is assumed, since nobody has told it.
const (
	AssumedBatchInterval     = 0.001 // seconds: what a broker's loop takes together
	AssumedServiceTime       = 0.010 // seconds: mean work of a part
	AssumedReplicationFactor = 3     // replicas of a shard
	AssumedUsableCores       = 0.7   // of its cores a broker may use on an ordinary day; the rest is for a zone's loss
	DayS                     = 86_400.0
	HourS                    = 3600.0
)

// QueriesPerBroker is how many queries a second come to each of so many brokers.
func QueriesPerBroker(brokers float64) float64 { return TargetQueries / brokers }

// PartsPerPair is how many parts a second one broker sends to one server.
func PartsPerPair(brokers, servers float64) float64 {
	return TargetQueries * TargetParts / brokers / servers
}
