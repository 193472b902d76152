// Package simwire translates between the simulator's text wire and the decisions' events and actions.
// It decides nothing.
package simwire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"mothrouter/internal/decision"
)

// ItemKind tells what an Item is.
type ItemKind int

// The kinds of Item.
const (
	ItemEvent ItemKind = iota
	ItemOpen           // an instance starts: Settings and Seed are set
	ItemClose          // an instance was killed
)

// Item is one line of a batch that concerns an instance.
type Item struct {
	Instance int
	Kind     ItemKind
	Settings decision.Settings
	Seed     uint64
	Event    decision.Event
}

// Batch is one tick: its time, its number and what happened, in order.
type Batch struct {
	Now   float64
	Seq   string
	Items []Item
}

// maxRosters is how many numbered lists there can be.
const maxRosters = 16

// Decoder reads batches. It keeps the numbered server lists, which last from batch to batch.
type Decoder struct {
	in      *bufio.Reader
	line    int
	rosters [maxRosters][]decision.Server
	known   [maxRosters]bool
}

// NewDecoder reads batches from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20)}
}

// readLine returns the next line without its end, or io.EOF.
func (d *Decoder) readLine() (string, error) {
	s, err := d.in.ReadString('\n')
	if err != nil && (s == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

// Next reads one batch. It returns io.EOF at the orderly end of input.
func (d *Decoder) Next() (*Batch, error) {
	head := ""
	for head == "" { // blank lines between batches are harmless
		var err error
		if head, err = d.readLine(); err != nil {
			return nil, err
		}
	}
	f, err := d.parse(head)
	if err != nil {
		return nil, err
	}
	if f.kind != "tick" {
		return nil, f.errorf("expected a tick line")
	}
	b := &Batch{Now: f.number("nowS"), Seq: strconv.FormatInt(f.integer("frame"), 10)}
	if f.err != nil {
		return nil, f.err
	}
	for {
		text, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: the input ends inside a batch", d.line)
		}
		if err != nil {
			return nil, err
		}
		if text == "eob" {
			return b, nil
		}
		if f, err = d.parse(text); err != nil {
			return nil, err
		}
		if f.kind == "census" {
			if err := d.census(f); err != nil {
				return nil, err
			}
			continue
		}
		it, ok := d.item(f)
		if f.err != nil {
			return nil, f.err
		}
		if ok {
			b.Items = append(b.Items, it)
		}
	}
}

// census reads a numbered list with its entries.
func (d *Decoder) census(f *fields) error {
	id, n := f.integer("rosterId"), f.integer("nodesList")
	if f.err != nil {
		return f.err
	}
	if id < 0 || id >= maxRosters {
		return f.errorf("field rosterId: %d is outside 0 to %d", id, maxRosters-1)
	}
	if n < 0 {
		return f.errorf("field nodesList: %d is negative", n)
	}
	var list []decision.Server
	for ; n > 0; n-- {
		text, err := d.readLine()
		if err != nil {
			return fmt.Errorf("line %d: the input ends inside a census", d.line)
		}
		e, err := d.parse(text)
		if err != nil {
			return err
		}
		if e.kind != "searcher" {
			return e.errorf("expected a searcher line")
		}
		s := decision.Server{
			ID: e.text("searcher"), Zone: int(e.optInteger("locality")), Kind: int(e.optInteger("sku")),
			ReplicaSet: int(e.optInteger("cell")), Capacity: e.optNumber("capacityHint"),
			Started: e.optNumber("lastStartS"),
		}
		switch state := e.text("status"); state {
		case "IN":
		case "LAME":
			s.State = decision.Draining
		case "OUT":
			s.State = decision.Removed
		default:
			e.fail("status", state)
		}
		if e.err != nil {
			return e.err
		}
		list = append(list, s)
	}
	d.rosters[id], d.known[id] = list, true
	return nil
}

var statuses = map[string]decision.Status{
	"success": decision.OK, "failure": decision.Error, "overloaded": decision.Overloaded,
	"timed_out": decision.TimedOut, "unreachable": decision.Unreachable, "broken": decision.Reset,
	"withdrawn": decision.Cancelled, "void": decision.NotSent,
}

var listModes = map[string]decision.UpdateMode{
	"patch": decision.DeltaUpdate, "whole": decision.FullUpdate,
	"stale_copy": decision.CachedUpdate, "broken": decision.FailedUpdate,
}

// item translates one event line. ok is false for kinds that this version does not know.
func (d *Decoder) item(f *fields) (it Item, ok bool) {
	switch f.kind {
	case "open_instance":
		it.Kind = ItemOpen
		it.Seed = uint64(f.integer("rngSeed"))
		if s, err := ParseSettings(f.text("profileData")); err != nil && f.err == nil {
			f.err = f.errorf("field profileData: %v", err)
		} else {
			it.Settings = s
		}
	case "detach":
		it.Kind = ItemClose
	case "update":
		it.Event = d.endpointUpdate(f)
	case "new_request":
		it.Event = f.queryOrPart()
	case "begun":
		it.Event = decision.ResponseStarted{
			ID: f.request(), Attempt: int(f.integer("shot")), Server: f.text("searcher"),
		}
	case "finished":
		it.Event = decision.AttemptFinished{
			ID: f.request(), Attempt: int(f.integer("shot")), Server: f.text("searcher"),
			Status: f.status(), Latency: f.optNumber("spentS"),
			PartConcluded: f.optBool("closed"), LoadReport: f.load(),
		}
	case "hangup":
		it.Event = decision.ClientDisconnected{ID: f.request()}
	case "probe_result":
		it.Event = decision.HealthChecked{
			Server: f.text("searcher"), Status: f.status(), Latency: f.optNumber("spentS"), LoadReport: f.load(),
		}
	case "reminder":
		it.Event = decision.TimerFired{Token: uint64(f.integer("nonce"))}
	case "neighbour_says":
		it.Event = f.peerMessage()
	default:
		return it, false
	}
	it.Instance = int(f.integer("mixer"))
	return it, f.err == nil
}

func (d *Decoder) endpointUpdate(f *fields) decision.EndpointUpdate {
	mode, known := listModes[f.text("mode")]
	if !known {
		f.fail("mode", f.vals["mode"])
	}
	u := decision.EndpointUpdate{Mode: mode, Version: f.optInteger("version")}
	if mode == decision.FailedUpdate {
		return u
	}
	id := f.integer("rosterId")
	switch {
	case f.err != nil:
	case id < 0 || id >= maxRosters || !d.known[id]:
		f.err = f.errorf("field rosterId: no census %d came before", id)
	default:
		u.Servers = d.rosters[id]
	}
	return u
}

// queryOrPart is a part where a slice is named, else a query.
func (f *fields) queryOrPart() decision.Event {
	shard := f.number("slice")
	if shard < 0 {
		return decision.Query{
			ID: f.request(), Number: f.integer("query"), Class: int(f.optInteger("qos")),
			Tenant: int(f.optInteger("clientGroup")), Key: uint64(f.optInteger("entity")),
			Parts: int(f.optNumber("measure")), Deadline: f.number("clientDeadlineS"),
			Retry: f.optBool("isRetry"), Work: f.optNumber("costS"), Write: f.optBool("update"),
		}
	}
	return decision.Part{
		ID: f.request(), QueryNumber: f.integer("query"), Shard: int(shard),
		Weight: f.number("measure"), Key: uint64(f.optInteger("entity")),
		Work: f.optNumber("costS"),
	}
}

func (f *fields) peerMessage() decision.PeerMessage {
	m := decision.PeerMessage{From: int(f.integer("srcPeer"))}
	if raw := f.optText("raw", "-"); raw != "-" {
		data, err := base64.StdEncoding.DecodeString(raw)
		if err != nil {
			f.fail("raw", raw)
		}
		m.Data = data
	}
	return m
}
