package discovery

import (
	"fmt"
	"slices"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// NameTable has the names of zones and kinds in the order of their numbers in the settings.
type NameTable struct{ Zones, Kinds []string }

// Message is an endpoint list, or changes of one, in discovery's form.
type Message struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"` // Servers is the full list; else those that changed
	Servers []Entry `json:"servers"`
}

// Entry is a record server in discovery's form.
type Entry struct {
	ID         string  `json:"id"`
	Addr       string  `json:"addr"` // host:port; may be absent where the state is left
	Zone       string  `json:"zone"`
	Kind       string  `json:"kind"`
	ReplicaSet int     `json:"cell"`
	State      string  `json:"state"`      // a key of states
	Weight     float64 `json:"weight"`     // capacity relative to other servers
	StartedMS  float64 `json:"started_ms"` // Unix time of the start, in milliseconds
}

// states are the values of an entry's state.
var states = map[string]decision.State{
	"active": decision.Ready, "leaving": decision.Draining, "left": decision.Removed,
}

// EntryError is a value of a message that is not allowed.
type EntryError struct {
	Key     string // path such as servers[0].state
	Value   string
	Allowed string // what may stand there
}

// Error returns the key, the value and what is allowed.
func (e *EntryError) Error() string {
	return fmt.Sprintf("%s: %q not allowed, want %s", e.Key, e.Value, e.Allowed)
}

// EndpointUpdate converts a message to the core's form. The error is an *EntryError.
func (n NameTable) EndpointUpdate(m Message) (broker.EndpointUpdate, error) {
	update := broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: m.Version}
	if m.Full {
		update.Mode = decision.FullUpdate
	}
	for i, entry := range m.Servers {
		endpoint, err := n.endpoint(i, entry)
		if err != nil {
			return update, err
		}
		update.Servers = append(update.Servers, endpoint)
	}
	return update, nil
}

// endpoint converts the entry at an index. A zone or kind that the settings do not name is -1.
func (n NameTable) endpoint(index int, entry Entry) (broker.Endpoint, error) {
	key := func(name string) string { return fmt.Sprintf("servers[%d].%s", index, name) }
	state, ok := states[entry.State]
	if !ok {
		return broker.Endpoint{}, &EntryError{Key: key("state"), Value: entry.State, Allowed: "one of active, leaving, left"}
	}
	if entry.ID == "" {
		return broker.Endpoint{}, &EntryError{Key: key("id"), Allowed: "a text that is not empty"}
	}
	if entry.Addr == "" && state != decision.Removed {
		return broker.Endpoint{}, &EntryError{Key: key("addr"), Allowed: "an address host:port"}
	}
	return broker.Endpoint{
		Server: decision.Server{
			ID:         entry.ID,
			Zone:       slices.Index(n.Zones, entry.Zone),
			Kind:       slices.Index(n.Kinds, entry.Kind),
			ReplicaSet: entry.ReplicaSet,
			State:      state,
			Capacity:   entry.Weight,
			Started:    entry.StartedMS / 1000,
		},
		Addr: entry.Addr,
	}, nil
}
