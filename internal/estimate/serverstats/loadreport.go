package serverstats

import "math"

const (
	utilizationBase   = 1.02 // utilization term: aggression^-(busy points)
	queueCeilingRatio = 10.0 // queue ceiling in mean reported queues, well above ordinary ones
	minQueueCeiling   = 8.0  // and at least this, so that an idle fleet does not split hairs
	minFitness        = 0.01 // a report starves no server
)

// LoadReport is a server's report of its own load. Absent values are negative.
type LoadReport struct {
	InFlight    float64 // requests that it has begun
	QueueLength float64 // requests that wait
	Utilization float64 // from 0 to 1
	Latency     float64 // seconds
	Rate        float64 // requests a second
	ErrorRate   float64 // errors a second
}

// NoLoadReport is a report without any value.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1, -1}

// RecordLoadReport takes up a report that was made at a time, unless a later one is known.
func (s *Stats) RecordLoadReport(l LoadReport, at float64) {
	if l != NoLoadReport && at >= s.LoadReportedAt {
		s.LoadReport = l
		s.LoadReportedAt = at
	}
}

// queueLength is the reported queue or requests in flight, else this broker's own attempts.
func (s *Stats) queueLength() float64 {
	if s.LoadReport.QueueLength >= 0 {
		return s.LoadReport.QueueLength
	}
	if s.LoadReport.InFlight >= 0 {
		return s.LoadReport.InFlight
	}
	return float64(s.InFlight)
}

// Server is a server with its stats.
type Server interface {
	ServerStats() *Stats
	IsReady() bool
}

// ServerStats implements Server for a type that embeds Stats.
func (s *Stats) ServerStats() *Stats { return s }

// ComputeFitness computes the fitness of all servers that have reported, from their queues and utilization, and returns
// the mean of those that are ready; ok is false where none of these has reported.
func ComputeFitness[S Server](servers []S) (mean float64, ok bool) {
	queues, reported, total := 0.0, 0.0, 0.0
	for _, server := range servers {
		if s := server.ServerStats(); s.LoadReportedAt > 0 && server.IsReady() {
			queues += s.queueLength()
			reported++
		}
	}
	ceiling := max(minQueueCeiling, queueCeilingRatio*queues/max(reported, 1))
	for _, server := range servers {
		s := server.ServerStats()
		if s.LoadReportedAt == 0 {
			continue
		}
		queue := max(0, 1-s.queueLength()/ceiling)
		idle := math.Pow(utilizationBase, -100*max(s.LoadReport.Utilization, 0))
		s.Fitness = max(queue*idle, minFitness)
		if server.IsReady() {
			total += s.Fitness
		}
	}
	return total / reported, reported > 0
}
