package discovery

import (
	"fmt"
	"slices"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// NameTable holds the names of zones and server kinds. The index of a name is its number in the settings.
type NameTable struct{ Zones, Kinds []string }

// Message is a full endpoint list or an incremental update, in the JSON format of discovery.
type Message struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"` // whether Servers is the full list; false: only the servers that have changed
	Servers []Entry `json:"servers"`
}

// Entry is a record server in the JSON format of discovery.
type Entry struct {
	ID         string  `json:"id"`
	Addr       string  `json:"addr"` // host:port; may be absent if the state is left
	Zone       string  `json:"zone"`
	Kind       string  `json:"kind"`
	ReplicaSet int     `json:"cell"`
	State      string  `json:"state"`      // a key of states
	Weight     float64 `json:"weight"`     // capacity relative to other servers
	StartedMS  float64 `json:"started_ms"` // Unix time at which the server started, in milliseconds
}

// states maps the values of Entry.State to the states of package decision.
var states = map[string]decision.State{
	"active": decision.Ready, "leaving": decision.Draining, "left": decision.Removed,
}

// EntryError reports an invalid value in an entry of a message from discovery.
type EntryError struct {
	Key     string // path of the value, such as servers[0].state
	Value   string
	Allowed string // description of the allowed values
}

// Error returns a message with the key, the value and the allowed values.
func (e *EntryError) Error() string {
	return fmt.Sprintf("%s: %q not allowed, want %s", e.Key, e.Value, e.Allowed)
}

// EndpointUpdate converts a message to a broker.EndpointUpdate. The error is an *EntryError.
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

// endpoint converts the entry at the given index. A zone or kind that is not in the name table becomes -1.
func (n NameTable) endpoint(index int, entry Entry) (broker.Endpoint, error) {
	key := func(name string) string { return fmt.Sprintf("servers[%d].%s", index, name) }
	state, ok := states[entry.State]
	if !ok {
		return broker.Endpoint{}, &EntryError{Key: key("state"), Value: entry.State, Allowed: "one of active, leaving, left"}
	}
	if entry.ID == "" {
		return broker.Endpoint{}, &EntryError{Key: key("id"), Allowed: "a non-empty string"}
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
