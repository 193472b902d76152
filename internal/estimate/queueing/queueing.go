// Package queueing estimates the delay of a request at any of several servers. It decides nothing and does no I/O; times
// are seconds.
package queueing

import "math"

// minServiceTime is the least time that a request counts as taking.
const minServiceTime = 1e-6

// Delay is the expected delay of one more request at one of the servers that were added. Its zero value has none.
type Delay struct {
	servers    float64
	capacity   float64 // of all servers
	idleRate   float64 // requests a second that they would serve without queues,
	queuedRate float64 // and with them
}

// Add adds a server: the fraction of its capacity that can be used, its service time, and the requests that wait there.
func (d *Delay) Add(capacity, serviceTime float64, queue int) {
	rate := capacity / max(serviceTime, minServiceTime)
	d.servers++
	d.capacity += capacity
	d.idleRate += rate
	d.queuedRate += rate / float64(1+queue)
}

// Expected is the delay by harmonic means of service times and queues, for a choice that avoids slow servers and long
// queues. What cannot be used of their capacity makes it longer. Without servers it is +Inf.
func (d *Delay) Expected() float64 {
	if d.servers == 0 {
		return math.Inf(1)
	}
	idle := d.capacity / d.idleRate
	return idle + (d.capacity/d.queuedRate-idle)*d.servers/d.capacity
}
