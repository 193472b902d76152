package cloverhook_test

import (
	"fmt"
	"testing"

	"cloverhook"
)

// rig drives one Policy with events and keeps what it did.
type rig struct {
	t        *testing.T
	p        *cloverhook.Policy
	now      float64
	attempts map[cloverhook.RequestID]int
	nextID   cloverhook.RequestID
	number   int64
}

// settings of a plain deployment: one cell, safe queries that need every part.
func settings() cloverhook.Settings {
	return cloverhook.Settings{
		Classes: []cloverhook.Class{{Aim: 1, Deadline: 2, Need: 1, Floor: 1}},
		Brokers: 1, Cells: 1, Reach: 1, BatchMax: 1, MaxAttempts: 3, Tick: 0.005, MayCancel: true,
		ColdShare: 0.25, WarmUp: 10, FallMultiple: 2, FallTime: 1,
	}
}

func newRig(t *testing.T, s cloverhook.Settings, servers ...cloverhook.Server) *rig {
	r := &rig{t: t, p: cloverhook.New(s, 7), attempts: map[cloverhook.RequestID]int{}, nextID: 100, now: 100}
	r.handle(cloverhook.List{Mode: cloverhook.ListFull, Servers: servers})
	return r
}

func servers(n int) []cloverhook.Server {
	var list []cloverhook.Server
	for i := range n {
		list = append(list, cloverhook.Server{ID: fmt.Sprint("s", i)})
	}
	return list
}

// handle passes events and returns the actions, without timers.
func (r *rig) handle(events ...cloverhook.Event) []cloverhook.Action {
	var kept []cloverhook.Action
	for _, a := range r.p.Handle(r.now, events) {
		if _, ok := a.(cloverhook.SetTimer); !ok {
			kept = append(kept, a)
		}
	}
	return kept
}

// at moves the clock and passes events.
func (r *rig) at(now float64, events ...cloverhook.Event) []cloverhook.Action {
	r.now = now
	return r.handle(events...)
}

// query makes a query with n parts of equal weight, all at the given shard.
func (r *rig) query(class, n int) (cloverhook.RequestID, []cloverhook.Event) {
	r.number++
	r.nextID += 100
	id := r.nextID
	deadline := r.now + 2
	events := []cloverhook.Event{
		cloverhook.Query{ID: id, Number: r.number, Class: class, Parts: n, Deadline: deadline},
	}
	for i := range n {
		events = append(events, cloverhook.Part{
			ID: id + 1 + cloverhook.RequestID(i), Number: r.number, Shard: 0, Weight: 1 / float64(n),
		})
	}
	return id, events
}

func ended(id cloverhook.RequestID, n int, server string, st cloverhook.Status, lat float64,
) cloverhook.Ended {
	return cloverhook.Ended{ID: id, Attempt: n, Server: server, Status: st, Latency: lat,
		Closed: st == cloverhook.OK, Load: cloverhook.NoLoad}
}

func sends(actions []cloverhook.Action) []cloverhook.Send {
	var list []cloverhook.Send
	for _, a := range actions {
		if s, ok := a.(cloverhook.Send); ok {
			list = append(list, s)
		}
	}
	return list
}

// finals are the final answers among actions.
func finals(actions []cloverhook.Action) []cloverhook.Action {
	var list []cloverhook.Action
	for _, a := range actions {
		switch a.(type) {
		case cloverhook.Answer, cloverhook.Refuse, cloverhook.Fail:
			list = append(list, a)
		}
	}
	return list
}

// warm sends and answers queries one by one so that latencies are known.
func (r *rig) warm(n int, latency float64) {
	for range n {
		_, ev := r.query(0, 1)
		out := sends(r.handle(ev...))
		r.now += latency
		for _, s := range out {
			r.handle(ended(s.ID, 0, s.Server, cloverhook.OK, latency))
		}
	}
}
