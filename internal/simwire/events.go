package simwire

import (
	"encoding/base64"

	"mothrouter/internal/decision"
)

// statuses are the values of an attempt's rc.
var statuses = map[string]decision.Status{
	"success": decision.OK, "failure": decision.Error, "overloaded": decision.Overloaded,
	"timed_out": decision.TimedOut, "unreachable": decision.Unreachable, "broken": decision.Reset,
	"withdrawn": decision.Cancelled, "void": decision.NotSent,
}

// updateModes are the values of an endpoint update's mode.
var updateModes = map[string]decision.UpdateMode{
	"patch": decision.DeltaUpdate, "whole": decision.FullUpdate,
	"stale_copy": decision.CachedUpdate, "broken": decision.FailedUpdate,
}

// noMessage stands on the wire for an empty message of a peer.
const noMessage = "-"

// item translates one line. The second result reports whether the message is known; the simulator may add others, which are
// skipped. A field that is not allowed sets f.err.
func (d *Decoder) item(f *fields) (Item, bool) {
	var item Item
	switch f.message {
	case "open_instance":
		item.Kind = ItemOpen
		item.Seed = uint64(f.integer("rngSeed"))
		item.Settings = f.settings()
	case "detach":
		item.Kind = ItemClose
	default:
		if item.Event = d.event(f); item.Event == nil {
			return item, false
		}
	}
	item.Instance = int(f.integer("mixer"))
	return item, f.err == nil
}

// event translates an event of the decision module, or returns nil where the message is none.
func (d *Decoder) event(f *fields) decision.Event {
	switch f.message {
	case "update":
		return d.endpointUpdate(f)
	case "new_request":
		return f.queryOrPart()
	case "begun":
		return decision.ResponseStarted{
			ID: f.request(), Attempt: int(f.integer("shot")), Server: f.text("searcher"),
		}
	case "finished":
		return f.attemptFinished()
	case "hangup":
		return decision.ClientDisconnected{ID: f.request()}
	case "probe_result":
		return decision.HealthChecked{
			Server: f.text("searcher"), Status: f.status(),
			Latency: optional(f, "spentS", f.number), LoadReport: f.loadReport(),
		}
	case "reminder":
		return decision.TimerFired{Token: uint64(f.integer("nonce"))}
	case "neighbour_says":
		return f.peerMessage()
	}
	return nil
}

// endpointUpdate returns the update of endpoints by the list that it numbers.
func (d *Decoder) endpointUpdate(f *fields) decision.EndpointUpdate {
	update := decision.EndpointUpdate{Mode: oneOf(f, "mode", updateModes), Version: optional(f, "version", f.integer)}
	if update.Mode == decision.FailedUpdate {
		return update
	}
	number := f.integer("rosterId")
	if f.err != nil {
		return update
	}
	if number < 0 || number >= maxEndpointLists || !d.defined[number] {
		f.err = f.fieldProblem("rosterId", "no census %d came before", number)
		return update
	}
	update.Servers = d.endpointLists[number]
	return update
}

// request returns the id of the query or part that a message is about.
func (f *fields) request() decision.RequestID { return decision.RequestID(f.integer("msgId")) }

// status returns how an attempt or a health check ended.
func (f *fields) status() decision.Status { return oneOf(f, "rc", statuses) }

// settings returns the start-up settings of an instance.
func (f *fields) settings() decision.Settings {
	settings, err := ParseSettings(f.text("profileData"))
	if err != nil && f.err == nil {
		f.err = f.fieldProblem("profileData", "%v", err)
	}
	return settings
}

// queryOrPart returns a part where the message names a shard, else a query.
func (f *fields) queryOrPart() decision.Event {
	shard := f.number("slice")
	if shard < 0 {
		return f.query()
	}
	return decision.Part{
		ID:          f.request(),
		QueryNumber: f.integer("query"),
		Shard:       int(shard),
		Weight:      f.number("measure"),
		Key:         uint64(optional(f, "entity", f.integer)),
		Work:        optional(f, "costS", f.number),
	}
}

// query returns a query.
func (f *fields) query() decision.Query {
	return decision.Query{
		ID:       f.request(),
		Number:   f.integer("query"),
		Class:    int(optional(f, "qos", f.integer)),
		Tenant:   int(optional(f, "clientGroup", f.integer)),
		Key:      uint64(optional(f, "entity", f.integer)),
		Parts:    int(optional(f, "measure", f.number)),
		Deadline: f.number("clientDeadlineS"),
		Retry:    optional(f, "isRetry", f.flag),
		Work:     optional(f, "costS", f.number),
		Write:    optional(f, "update", f.flag),
	}
}

// attemptFinished returns the end of an attempt.
func (f *fields) attemptFinished() decision.AttemptFinished {
	return decision.AttemptFinished{
		ID:            f.request(),
		Attempt:       int(f.integer("shot")),
		Server:        f.text("searcher"),
		Status:        f.status(),
		Latency:       optional(f, "spentS", f.number),
		PartConcluded: optional(f, "closed", f.flag),
		LoadReport:    f.loadReport(),
	}
}

// peerMessage returns a message of another broker, which is base64 on the wire.
func (f *fields) peerMessage() decision.PeerMessage {
	message := decision.PeerMessage{From: int(f.integer("srcPeer"))}
	encoded := f.textOr("raw", noMessage)
	if encoded == noMessage {
		return message
	}
	data, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		f.cannotRead("raw", encoded)
	}
	message.Data = data
	return message
}
