package simwire

import (
	"encoding/base64"

	"mothrouter/internal/decision"
)

// statuses maps values of the field rc, the result of an attempt or health check.
var statuses = map[string]decision.Status{
	"success": decision.OK, "failure": decision.Error, "overloaded": decision.Overloaded,
	"timed_out": decision.TimedOut, "unreachable": decision.Unreachable, "broken": decision.Reset,
	"withdrawn": decision.Cancelled, "void": decision.NotSent,
}

// updateModes maps values of the field mode of an endpoint update.
var updateModes = map[string]decision.UpdateMode{
	"patch": decision.DeltaUpdate, "whole": decision.FullUpdate,
	"stale_copy": decision.CachedUpdate, "broken": decision.FailedUpdate,
}

// noPeerData is the value of the field raw of an empty peer message.
const noPeerData = "-"

// parseItem translates one line. The second result reports whether the message is known; unknown messages are skipped, because
// the simulator may add new ones. An invalid field sets f.err.
func (d *Decoder) parseItem(f *fields) (Item, bool) {
	var item Item
	switch f.message {
	case "open_instance":
		item.Kind = ItemOpen
		item.Seed = uint64(f.integer("rngSeed"))
		item.Settings = f.settings()
	case "detach":
		item.Kind = ItemClose
	default:
		if item.Event = d.parseEvent(f); item.Event == nil {
			return item, false
		}
	}
	item.Instance = int(f.integer("mixer"))
	return item, f.err == nil
}

// parseEvent translates a message to an event of the decision module. It returns nil if the message is unknown.
func (d *Decoder) parseEvent(f *fields) decision.Event {
	switch f.message {
	case "update":
		return d.endpointUpdate(f)
	case "new_request":
		return f.queryOrPart()
	case "begun":
		return decision.ResponseStarted{
			ID: f.requestID(), Attempt: int(f.integer("shot")), Server: f.text("searcher"),
		}
	case "finished":
		return f.attemptFinished()
	case "hangup":
		return decision.ClientDisconnected{ID: f.requestID()}
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

// endpointUpdate returns an endpoint update with the servers of the numbered endpoint list it refers to.
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
		f.err = f.fieldError("rosterId", "census %d is not defined", number)
		return update
	}
	update.Servers = d.endpointLists[number]
	return update
}

// requestID returns the ID of the query or part that a message refers to.
func (f *fields) requestID() decision.RequestID { return decision.RequestID(f.integer("msgId")) }

// status returns the result of an attempt or a health check.
func (f *fields) status() decision.Status { return oneOf(f, "rc", statuses) }

// settings returns the startup settings of an instance.
func (f *fields) settings() decision.Settings {
	settings, err := ParseSettings(f.text("profileData"))
	if err != nil && f.err == nil {
		f.err = f.fieldError("profileData", "%v", err)
	}
	return settings
}

// queryOrPart returns a part if the message has a shard, otherwise a query. A query has a negative slice.
func (f *fields) queryOrPart() decision.Event {
	shard := f.number("slice")
	if shard < 0 {
		return f.query()
	}
	return decision.Part{
		ID:          f.requestID(),
		QueryNumber: f.integer("query"),
		Shard:       int(shard),
		Weight:      f.number("measure"),
		Key:         uint64(optional(f, "entity", f.integer)),
		Work:        optional(f, "costS", f.number),
	}
}

// query returns the event that a query has been received.
func (f *fields) query() decision.Query {
	return decision.Query{
		ID:       f.requestID(),
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

// attemptFinished returns the event that an attempt has finished.
func (f *fields) attemptFinished() decision.AttemptFinished {
	return decision.AttemptFinished{
		ID:            f.requestID(),
		Attempt:       int(f.integer("shot")),
		Server:        f.text("searcher"),
		Status:        f.status(),
		Latency:       optional(f, "spentS", f.number),
		PartConcluded: optional(f, "closed", f.flag),
		LoadReport:    f.loadReport(),
	}
}

// peerMessage returns a message from another broker. Its data is base64 on the wire.
func (f *fields) peerMessage() decision.PeerMessage {
	message := decision.PeerMessage{From: int(f.integer("srcPeer"))}
	encoded := f.textOr("raw", noPeerData)
	if encoded == noPeerData {
		return message
	}
	data, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		f.recordUnreadable("raw", encoded)
	}
	message.Data = data
	return message
}
