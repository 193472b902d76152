// Package queueing estimates the delay of a request that may go to any of several servers. It decides nothing and does no
// I/O; times are seconds.
package queueing

import "math"

// minServiceTime is the least service time of a server, in seconds; it keeps rates finite.
const minServiceTime = 1e-6

// Delay is the expected delay of one more request at the servers that were added. Its zero value has no server.
type Delay struct {
	servers    float64
	capacity   float64 // sum of the usable fractions
	idleRate   float64 // requests a second that the servers would serve without queues
	queuedRate float64 // the same, with each server's rate divided by its queue and the new request
}

// Add adds a server: the usable fraction of its capacity, its service time in seconds and the requests queued there.
func (d *Delay) Add(capacity, serviceTime float64, queue int) {
	rate := capacity / max(serviceTime, minServiceTime)
	d.servers++
	d.capacity += capacity
	d.idleRate += rate
	d.queuedRate += rate / float64(1+queue)
}

// Expected returns the expected delay in seconds; +Inf without servers. It uses harmonic means of service times and queues,
// since selection avoids slow servers and long queues, and the queueing time grows as the usable capacity falls.
func (d *Delay) Expected() float64 {
	if d.servers == 0 {
		return math.Inf(1)
	}
	idle := d.capacity / d.idleRate
	return idle + (d.capacity/d.queuedRate-idle)*d.servers/d.capacity
}
