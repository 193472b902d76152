// Package simulationtest provides the event queue that the simulations of the control plane's packages share.
package simulationtest

import (
	"container/heap"
	"time"
)

// Event is a function that is scheduled for a time of the simulation.
type Event struct {
	At       time.Duration // since the start of the simulation
	Run      func()
	sequence int // in the order of scheduling, from 1; breaks ties of At
}

// EventQueue is a priority queue of the pending events of a simulation, ordered by time. Events at the same time are in the
// order in which they were scheduled. The zero value is empty and ready to use.
type EventQueue struct {
	events       eventHeap
	lastSequence int
}

// Schedule adds an event that runs at the given time since the start of the simulation.
func (q *EventQueue) Schedule(at time.Duration, run func()) {
	q.lastSequence++
	heap.Push(&q.events, Event{At: at, Run: run, sequence: q.lastSequence})
}

// NextAt returns the time of the earliest event, and false if the queue is empty.
func (q *EventQueue) NextAt() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].At, true
}

// Pop removes and returns the earliest event. It panics if the queue is empty.
func (q *EventQueue) Pop() Event { return heap.Pop(&q.events).(Event) }

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []Event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(Event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = Event{}
	*h = old[:len(old)-1]
	return last
}
