package decision

// The fitness of servers, from their own load reports.

import "math"

const (
	aggression   = 1.02 // utilisation term: aggression^-(busy points)
	ceilingTimes = 10.0 // queue ceiling in mean reported queues, well above ordinary ones
	ceilingLeast = 8.0  // and never below this, so that an idle fleet does not split hairs
	fitnessFloor = 0.01 // nobody is starved by a report
)

// queueOf is the reported queue or parts in flight, else this broker's own parts in flight.
func (s *server) queueOf() float64 {
	if s.load.QueueLength >= 0 {
		return s.load.QueueLength
	} else if s.load.InFlight >= 0 {
		return s.load.InFlight
	}
	return float64(s.own)
}

func (p *Policy) rebuild() {
	sum, n, total := 0.0, 0.0, 0.0
	for _, s := range p.servers {
		if s.ready() && s.heardAt > 0 {
			sum, n = sum+s.queueOf(), n+1
		}
	}
	ceiling := math.Max(ceilingLeast, ceilingTimes*sum/math.Max(n, 1))
	for _, s := range p.servers {
		if s.heardAt > 0 {
			queue := math.Max(0, 1-s.queueOf()/ceiling)
			idle := math.Pow(aggression, -100*math.Max(s.load.Utilization, 0))
			s.fitness = math.Max(queue*idle, fitnessFloor)
			if s.ready() {
				total += s.fitness
			}
		}
	}
	if n > 0 {
		p.meanFitness = total / n
	}
}
