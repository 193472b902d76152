// Package queueing estimates the delay of a request that can be sent to any of several servers. It makes no decisions and
// does no I/O; times are in seconds.
package queueing

import "math"

// minServiceTime is the lower bound of a server's service time, in seconds. It keeps service rates finite.
const minServiceTime = 1e-6

// Delay computes the expected delay of one more request to a set of servers. The zero value is an empty set.
type Delay struct {
	servers    float64 // number of servers
	capacity   float64 // sum of the usable fractions of the servers' capacities
	idleRate   float64 // requests per second that the servers would serve without queues
	queuedRate float64 // like idleRate, with each server's rate divided by its queue length plus 1 for the new request
}

// Add adds a server, given the usable fraction of its capacity, its service time in seconds and the number of requests queued
// at it.
func (d *Delay) Add(capacity, serviceTime float64, queue int) {
	rate := capacity / max(serviceTime, minServiceTime)
	d.servers++
	d.capacity += capacity
	d.idleRate += rate
	d.queuedRate += rate / float64(1+queue)
}

// Expected returns the expected delay in seconds, or +Inf without servers. It uses harmonic means of service times and queues,
// because replica selection avoids slow servers and long queues. The queueing time grows as the usable capacity falls.
func (d *Delay) Expected() float64 {
	if d.servers == 0 {
		return math.Inf(1)
	}
	idleDelay := d.capacity / d.idleRate
	return idleDelay + (d.capacity/d.queuedRate-idleDelay)*d.servers/d.capacity
}
