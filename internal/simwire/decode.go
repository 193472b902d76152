// Package simwire translates between the text protocol of the simulator and the events and actions of the decision module. It
// makes no decisions. Messages and fields on the wire have the simulator's names; the code has the decision module's names.
package simwire

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"

	"mothrouter/internal/decision"
)

// ItemKind is the kind of an Item.
type ItemKind int

// Kinds of Item.
const (
	ItemEvent ItemKind = iota // Event is set
	ItemOpen                  // an instance is started; Settings and Seed are set
	ItemClose                 // an instance has been killed
)

// Item is a line of a batch that is addressed to an instance.
type Item struct {
	Instance int // number of the instance; "mixer" on the wire
	Kind     ItemKind
	Settings decision.Settings
	Seed     uint64 // of the instance's random number generator
	Event    decision.Event
}

// Batch holds the items of one simulator tick.
type Batch struct {
	Now      float64 // simulated time in seconds
	Sequence string  // number of the batch in decimal digits, which the reply repeats ("frame" on the wire)
	Items    []Item  // in the order they were received
}

// maxEndpointLists is the number of endpoint lists that a simulation can define. Their numbers start at 0.
const maxEndpointLists = 16

// readBufferSize is the size of the read buffer in bytes. It holds all but the largest batches.
const readBufferSize = 1 << 20

// Decoder reads batches. It stores the numbered endpoint lists, which later messages refer to.
type Decoder struct {
	in            *bufio.Reader
	lineNumber    int // of the last line read, starting at 1
	endpointLists [maxEndpointLists][]decision.Server
	defined       [maxEndpointLists]bool // whether the list with this number has been received
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, readBufferSize)}
}

// Next reads one batch. It returns io.EOF if the input ends between two batches, a *LineError for malformed input, and other
// errors of the reader unchanged.
func (d *Decoder) Next() (*Batch, error) {
	header, err := d.readHeader()
	if err != nil {
		return nil, err
	}
	batch := &Batch{Now: header.number("nowS"), Sequence: strconv.FormatInt(header.integer("frame"), 10)}
	if header.err != nil {
		return nil, header.err
	}
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return nil, &LineError{Line: d.lineNumber, Problem: "the input ends inside a batch"}
		}
		if err != nil {
			return nil, err
		}
		if line == "eob" {
			return batch, nil
		}
		if err := d.readMessage(batch, line); err != nil {
			return nil, err
		}
	}
}

// readLine returns the next line without its line terminator, or io.EOF.
func (d *Decoder) readLine() (string, error) {
	line, err := d.in.ReadString('\n')
	if err != nil && (line == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	d.lineNumber++
	return strings.TrimRight(line, "\r\n"), nil
}

// readHeader reads the tick line that starts a batch. It skips blank lines before it.
func (d *Decoder) readHeader() (*fields, error) {
	line := ""
	for line == "" {
		var err error
		if line, err = d.readLine(); err != nil {
			return nil, err
		}
	}
	f, err := d.parse(line)
	if err != nil {
		return nil, err
	}
	if f.message != "tick" {
		return nil, f.lineError("expected a tick line")
	}
	return f, nil
}

// readMessage parses a line and appends its item to the batch. If the line starts an endpoint list, it reads the list instead.
func (d *Decoder) readMessage(batch *Batch, line string) error {
	f, err := d.parse(line)
	if err != nil {
		return err
	}
	if f.message == "census" {
		return d.readEndpointList(f)
	}
	item, known := d.parseItem(f)
	if f.err != nil {
		return f.err
	}
	if known {
		batch.Items = append(batch.Items, item)
	}
	return nil
}

// readEndpointList reads the entries of a numbered endpoint list and stores the list.
func (d *Decoder) readEndpointList(f *fields) error {
	number, length := f.integer("rosterId"), f.integer("nodesList")
	if f.err != nil {
		return f.err
	}
	if number < 0 || number >= maxEndpointLists {
		return f.fieldError("rosterId", "%d is out of range 0 to %d", number, maxEndpointLists-1)
	}
	if length < 0 {
		return f.fieldError("nodesList", "%d is negative", length)
	}
	var servers []decision.Server
	for range length {
		server, err := d.readServer()
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	d.endpointLists[number], d.defined[number] = servers, true
	return nil
}

// serverStates maps values of the field status to server states.
var serverStates = map[string]decision.State{
	"IN": decision.Ready, "LAME": decision.Draining, "OUT": decision.Removed,
}

// readServer reads one entry of an endpoint list.
func (d *Decoder) readServer() (decision.Server, error) {
	line, err := d.readLine()
	if err != nil {
		return decision.Server{}, &LineError{Line: d.lineNumber, Problem: "the input ends inside a census"}
	}
	f, err := d.parse(line)
	if err != nil {
		return decision.Server{}, err
	}
	if f.message != "searcher" {
		return decision.Server{}, f.lineError("expected a searcher line")
	}
	server := decision.Server{
		ID:         f.text("searcher"),
		Zone:       int(optional(f, "locality", f.integer)),
		Kind:       int(optional(f, "sku", f.integer)),
		ReplicaSet: int(optional(f, "cell", f.integer)),
		Capacity:   optional(f, "capacityHint", f.number),
		StartedAt:  optional(f, "lastStartS", f.number),
		State:      oneOf(f, "status", serverStates),
	}
	return server, f.err
}
