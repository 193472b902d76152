// Package simwire translates between the simulator's text wire and the decision module's events and actions. It decides
// nothing. The names of the wire's messages and fields are the simulator's; those of the code are the decision module's.
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

// The kinds of Item.
const (
	ItemEvent ItemKind = iota // Event is set
	ItemOpen                  // an instance starts: Settings and Seed are set
	ItemClose                 // an instance was killed
)

// Item is one line of a batch that concerns an instance.
type Item struct {
	Instance int // number of the instance, mixer on the wire
	Kind     ItemKind
	Settings decision.Settings
	Seed     uint64 // of the instance's random numbers
	Event    decision.Event
}

// Batch is one tick of the simulator.
type Batch struct {
	Now      float64 // simulated time in seconds
	Sequence string  // number of the batch in decimal digits, which the reply repeats
	Items    []Item  // in the order of the wire
}

// maxEndpointLists is the number of endpoint lists that the wire can number.
const maxEndpointLists = 16

// readBufferSize holds a batch in bytes, but for the largest.
const readBufferSize = 1 << 20

// Decoder reads batches. It keeps the numbered endpoint lists, which last from batch to batch.
type Decoder struct {
	in            *bufio.Reader
	line          int // number of the line that was read last, from 1
	endpointLists [maxEndpointLists][]decision.Server
	defined       [maxEndpointLists]bool // the list with this number has been read
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, readBufferSize)}
}

// Next reads one batch. It returns io.EOF at the end of the input between two batches, a *LineError for input that is not in
// the wire's form, and other errors of the reader as they are.
func (d *Decoder) Next() (*Batch, error) {
	header, err := d.readHeader()
	if err != nil {
		return nil, err
	}
	b := &Batch{Now: header.number("nowS"), Sequence: strconv.FormatInt(header.integer("frame"), 10)}
	if header.err != nil {
		return nil, header.err
	}
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return nil, &LineError{Line: d.line, Problem: "the input ends inside a batch"}
		}
		if err != nil {
			return nil, err
		}
		if line == "eob" {
			return b, nil
		}
		if err := d.readMessage(b, line); err != nil {
			return nil, err
		}
	}
}

// readLine returns the next line without its end, or io.EOF.
func (d *Decoder) readLine() (string, error) {
	line, err := d.in.ReadString('\n')
	if err != nil && (line == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	d.line++
	return strings.TrimRight(line, "\r\n"), nil
}

// readHeader reads the tick line that starts a batch. Blank lines in front of it are skipped.
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
		return nil, f.problem("expected a tick line")
	}
	return f, nil
}

// readMessage adds the item of a line to the batch, or reads the endpoint list that the line begins.
func (d *Decoder) readMessage(b *Batch, line string) error {
	f, err := d.parse(line)
	if err != nil {
		return err
	}
	if f.message == "census" {
		return d.readEndpointList(f)
	}
	item, known := d.item(f)
	if f.err != nil {
		return f.err
	}
	if known {
		b.Items = append(b.Items, item)
	}
	return nil
}

// readEndpointList reads a numbered endpoint list with its entries.
func (d *Decoder) readEndpointList(f *fields) error {
	number, length := f.integer("rosterId"), f.integer("nodesList")
	if f.err != nil {
		return f.err
	}
	if number < 0 || number >= maxEndpointLists {
		return f.fieldProblem("rosterId", "%d is outside 0 to %d", number, maxEndpointLists-1)
	}
	if length < 0 {
		return f.fieldProblem("nodesList", "%d is negative", length)
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

// serverStates are the values of a server's status.
var serverStates = map[string]decision.State{
	"IN": decision.Ready, "LAME": decision.Draining, "OUT": decision.Removed,
}

// readServer reads one entry of an endpoint list.
func (d *Decoder) readServer() (decision.Server, error) {
	line, err := d.readLine()
	if err != nil {
		return decision.Server{}, &LineError{Line: d.line, Problem: "the input ends inside a census"}
	}
	f, err := d.parse(line)
	if err != nil {
		return decision.Server{}, err
	}
	if f.message != "searcher" {
		return decision.Server{}, f.problem("expected a searcher line")
	}
	server := decision.Server{
		ID:         f.text("searcher"),
		Zone:       int(optional(f, "locality", f.integer)),
		Kind:       int(optional(f, "sku", f.integer)),
		ReplicaSet: int(optional(f, "cell", f.integer)),
		Capacity:   optional(f, "capacityHint", f.number),
		Started:    optional(f, "lastStartS", f.number),
		State:      oneOf(f, "status", serverStates),
	}
	return server, f.err
}
