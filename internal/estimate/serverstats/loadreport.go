package serverstats

import "math"

const (
	utilizationBase   = 1.02 // fitness is divided by this for each percentage point of utilization
	queueCeilingRatio = 10.0 // queue length at which fitness is 0, relative to the fleet's mean length: well above usual queues
	minQueueCeiling   = 8.0  // minimum queue length at which fitness is 0, so that an idle fleet ignores small differences
	minFitness        = 0.01 // minimum fitness, so that no load report starves a server
)

// LoadReport is a server's report of its own load. Absent values are negative.
type LoadReport struct {
	InFlight    float64 // requests in progress at the server
	QueueLength float64 // requests waiting at the server
	Utilization float64 // from 0 to 1
	Latency     float64 // seconds
	Rate        float64 // requests per second
	ErrorRate   float64 // errors per second
}

// NoLoadReport is a load report in which all values are absent.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1, -1}

// RecordLoadReport records a load report made at the time at. It ignores a report without values and one that is older than
// the latest.
func (s *Stats) RecordLoadReport(report LoadReport, at float64) {
	if report != NoLoadReport && at >= s.LoadReportedAt {
		s.LoadReport = report
		s.LoadReportedAt = at
	}
}

// queueLength returns the first of these that is known: the reported queue length, the reported number of requests in flight,
// this broker's attempts in flight.
func (s *Stats) queueLength() float64 {
	if s.LoadReport.QueueLength >= 0 {
		return s.LoadReport.QueueLength
	}
	if s.LoadReport.InFlight >= 0 {
		return s.LoadReport.InFlight
	}
	return float64(s.InFlight)
}

// fitness returns the server's fitness, from minFitness to 1. It decreases linearly with the queue length, to the minimum at
// queueCeiling, and exponentially with the utilization.
func (s *Stats) fitness(queueCeiling float64) float64 {
	queueFactor := max(0, 1-s.queueLength()/queueCeiling)
	utilizationFactor := math.Pow(utilizationBase, -100*max(s.LoadReport.Utilization, 0))
	return max(queueFactor*utilizationFactor, minFitness)
}

// Server is the type constraint of ComputeFitness. A type that embeds Stats and has a method IsReady satisfies it.
type Server interface {
	ServerStats() *Stats
	// IsReady reports whether the server may receive new parts.
	IsReady() bool
}

// ServerStats implements Server for a type that embeds Stats.
func (s *Stats) ServerStats() *Stats { return s }

// ComputeFitness sets the fitness of all servers that have reported their load, and returns the mean fitness of those that are
// ready. ok is false if no ready server has reported its load.
func ComputeFitness[S Server](servers []S) (mean float64, ok bool) {
	totalQueue := 0.0
	reportingServers := 0.0
	for _, server := range servers {
		if s := server.ServerStats(); s.LoadReportedAt > 0 && server.IsReady() {
			totalQueue += s.queueLength()
			reportingServers++
		}
	}
	ceiling := max(minQueueCeiling, queueCeilingRatio*totalQueue/max(reportingServers, 1))
	totalFitness := 0.0
	for _, server := range servers {
		s := server.ServerStats()
		if s.LoadReportedAt == 0 {
			continue
		}
		s.Fitness = s.fitness(ceiling)
		if server.IsReady() {
			totalFitness += s.Fitness
		}
	}
	return totalFitness / reportingServers, reportingServers > 0
}
