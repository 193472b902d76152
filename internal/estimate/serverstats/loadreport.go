package serverstats

import "math"

const (
	utilizationBase   = 1.02 // an idle server's fitness is divided by this for each percentage point of utilization
	queueCeilingRatio = 10.0 // multiple of the mean reported queue at which fitness is 0: well above ordinary queues
	minQueueCeiling   = 8.0  // requests; least such queue, so that an idle fleet ignores small differences
	minFitness        = 0.01 // no report starves a server
)

// LoadReport is a server's report of its own load. Absent values are negative.
type LoadReport struct {
	InFlight    float64 // requests that the server is working on
	QueueLength float64 // requests that wait there
	Utilization float64 // from 0 to 1
	Latency     float64 // seconds
	Rate        float64 // requests a second
	ErrorRate   float64 // errors a second
}

// NoLoadReport is a report without any value.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1, -1}

// RecordLoadReport records a report that was made at a time, unless it has no value or a later one is known.
func (s *Stats) RecordLoadReport(report LoadReport, at float64) {
	if report != NoLoadReport && at >= s.LoadReportedAt {
		s.LoadReport = report
		s.LoadReportedAt = at
	}
}

// queueLength returns the reported queue, else the reported requests in flight, else this broker's attempts in flight.
func (s *Stats) queueLength() float64 {
	if s.LoadReport.QueueLength >= 0 {
		return s.LoadReport.QueueLength
	}
	if s.LoadReport.InFlight >= 0 {
		return s.LoadReport.InFlight
	}
	return float64(s.InFlight)
}

// fitness returns a fitness from minFitness to 1: it falls linearly with the queue, to 0 at the ceiling, and exponentially
// with the utilization.
func (s *Stats) fitness(queueCeiling float64) float64 {
	queue := max(0, 1-s.queueLength()/queueCeiling)
	idle := math.Pow(utilizationBase, -100*max(s.LoadReport.Utilization, 0))
	return max(queue*idle, minFitness)
}

// Server is a server with its stats.
type Server interface {
	ServerStats() *Stats
	// IsReady reports whether the server may get new parts.
	IsReady() bool
}

// ServerStats implements Server for a type that embeds Stats.
func (s *Stats) ServerStats() *Stats { return s }

// ComputeFitness sets the fitness of all servers that have reported, and returns the mean of those that are ready; ok is
// false if none of these has reported.
func ComputeFitness[S Server](servers []S) (mean float64, ok bool) {
	queues := 0.0
	reported := 0.0
	for _, server := range servers {
		if s := server.ServerStats(); s.LoadReportedAt > 0 && server.IsReady() {
			queues += s.queueLength()
			reported++
		}
	}
	ceiling := max(minQueueCeiling, queueCeilingRatio*queues/max(reported, 1))
	total := 0.0
	for _, server := range servers {
		s := server.ServerStats()
		if s.LoadReportedAt == 0 {
			continue
		}
		s.Fitness = s.fitness(ceiling)
		if server.IsReady() {
			total += s.Fitness
		}
	}
	return total / reported, reported > 0
}
