package simwire

import (
	"errors"
	"fmt"
	"io"

	"mothrouter/internal/decision"
)

// NewDecider makes what decides for one instance.
type NewDecider func(s decision.Settings, seed uint64) decision.Decider

// Serve runs the instances that the wire asks for until the input ends. Instances share nothing.
func Serve(in io.Reader, out io.Writer, newDecider NewDecider) error {
	dec, enc := NewDecoder(in), NewEncoder(out)
	instances := map[int]decision.Decider{}
	pending := map[int][]decision.Event{}
	for {
		b, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var order []int // instances with events, in the order of their first
		for _, it := range b.Items {
			switch it.Kind {
			case ItemOpen:
				instances[it.Instance] = newDecider(it.Settings, it.Seed)
				pending[it.Instance] = nil
				order = append(order, it.Instance)
			case ItemClose:
				delete(instances, it.Instance)
				delete(pending, it.Instance)
			default:
				if instances[it.Instance] == nil {
					return fmt.Errorf("batch %s: %T for mixer %d, which does not run", b.Seq, it.Event, it.Instance)
				}
				if len(pending[it.Instance]) == 0 {
					order = append(order, it.Instance)
				}
				pending[it.Instance] = append(pending[it.Instance], it.Event)
			}
		}
		for _, mixer := range order {
			events := pending[mixer]
			if len(events) == 0 {
				continue
			}
			delete(pending, mixer)
			actions, failure := handle(instances[mixer], b.Now, events)
			if failure != "" {
				if err := enc.BailOut(mixer, failure); err != nil {
					return err
				}
			}
			for _, a := range actions {
				if err := enc.Action(mixer, a); err != nil {
					return err
				}
			}
		}
		if err := enc.End(b.Seq); err != nil {
			return err
		}
	}
}

// handle runs one instance's decisions and turns a panic into a text.
func handle(d decision.Decider, now float64, events []decision.Event) (
	actions []decision.Action, failure string) {
	defer func() {
		if r := recover(); r != nil {
			actions, failure = nil, fmt.Sprintf("panic: %v", r)
		}
	}()
	return d.Handle(now, events), ""
}
