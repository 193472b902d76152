package simwire

import (
	"errors"
	"fmt"
	"io"

	"mothrouter/internal/decision"
)

// NewDecider creates the Decider of one instance.
type NewDecider func(settings decision.Settings, seed uint64) decision.Decider

// host runs the instances of one simulation. Instances share no state.
type host struct {
	newDecider NewDecider
	encoder    *Encoder
	instances  map[int]decision.Decider // by instance number
	pending    map[int][]decision.Event // events of the current batch, by instance number
	order      []int                    // instances with events in the current batch, in order of arrival; may contain duplicates
}

// Serve reads batches and runs the instances that they start, until the input ends. It returns errors of Decoder.Next and of
// the writer, and an *UnknownInstanceError for an event for an instance that is not running.
func Serve(in io.Reader, out io.Writer, newDecider NewDecider) error {
	decoder := NewDecoder(in)
	h := &host{
		newDecider: newDecider,
		encoder:    NewEncoder(out),
		instances:  map[int]decision.Decider{},
		pending:    map[int][]decision.Event{},
	}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.serveBatch(batch); err != nil {
			return err
		}
	}
}

// UnknownInstanceError reports an event for an instance that is not running.
type UnknownInstanceError struct {
	Sequence string // number of the batch
	Instance int
	Event    decision.Event
}

// Error returns the event's type, the instance and the batch.
func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("batch %s: event %T for mixer %d, which is not running", e.Sequence, e.Event, e.Instance)
}

// serveBatch passes the events of a batch to their instances and writes the reply.
func (h *host) serveBatch(batch *Batch) error {
	h.order = h.order[:0]
	for i := range batch.Items {
		if err := h.enqueue(batch, &batch.Items[i]); err != nil {
			return err
		}
	}
	for _, instance := range h.order {
		if err := h.decide(instance, batch.Now); err != nil {
			return err
		}
	}
	return h.encoder.EndBatch(batch.Sequence)
}

// enqueue starts or stops an instance, or appends an event to the pending events of a running one.
func (h *host) enqueue(batch *Batch, item *Item) error {
	instance := item.Instance
	switch item.Kind {
	case ItemOpen:
		h.instances[instance] = h.newDecider(item.Settings, item.Seed)
		h.pending[instance] = nil
		h.order = append(h.order, instance)
	case ItemClose:
		delete(h.instances, instance)
		delete(h.pending, instance)
	default:
		if h.instances[instance] == nil {
			return &UnknownInstanceError{Sequence: batch.Sequence, Instance: instance, Event: item.Event}
		}
		if len(h.pending[instance]) == 0 {
			h.order = append(h.order, instance)
		}
		h.pending[instance] = append(h.pending[instance], item.Event)
	}
	return nil
}

// decide passes the pending events of an instance, if any, to its Decider and writes the resulting actions.
func (h *host) decide(instance int, now float64) error {
	events := h.pending[instance]
	if len(events) == 0 {
		return nil
	}
	delete(h.pending, instance)
	actions, failure := handle(h.instances[instance], now, events)
	if failure != "" {
		if err := h.encoder.WriteFailure(instance, failure); err != nil {
			return err
		}
	}
	for _, action := range actions {
		if err := h.encoder.WriteAction(instance, action); err != nil {
			return err
		}
	}
	return nil
}

// handle passes events to a Decider. If the Decider panics, it returns no actions and the panic value as text.
func handle(decider decision.Decider, now float64, events []decision.Event) (actions []decision.Action, failure string) {
	defer func() {
		if reason := recover(); reason != nil {
			actions, failure = nil, fmt.Sprintf("panic: %v", reason)
		}
	}()
	return decider.Handle(now, events), ""
}
