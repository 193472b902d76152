package assembly_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mothrouter/internal/assembly"
	"mothrouter/internal/decision"
)

// namedDecider is a Decider that returns the actions of the Decider it wraps, followed by a log line with its own name.
type namedDecider struct {
	name  string
	inner decision.Decider
}

func (d namedDecider) Handle(now float64, events []decision.Event) (actions []decision.Action) {
	if d.inner != nil {
		actions = d.inner.Handle(now, events)
	}
	return append(actions, decision.Log{Line: d.name})
}

func TestComponentsWrapInOrderAndStopInReverse(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := &assembly.Assembly{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	var mu sync.Mutex
	var stoppedNames []string
	recordStop := func(name string) {
		mu.Lock()
		defer mu.Unlock()
		stoppedNames = append(stoppedNames, name)
	}
	startSignals := make(chan struct{}, 3)
	for _, name := range []string{"first", "second", "third"} {
		component := assembly.Component{Name: name, Run: func(ctx context.Context) {
			startSignals <- struct{}{}
			<-ctx.Done()
			recordStop(name)
		}}
		if name != "second" {
			component.Wrap = func(_ int, inner decision.Decider) decision.Decider { return namedDecider{name, inner} }
		}
		a.Add(component)
	}
	a.Add(assembly.Component{Name: "nothing to run"})
	decider := a.Decider(func(worker int, _ decision.Settings, _ uint64) decision.Decider {
		return namedDecider{[]string{"zero", "one"}[worker], nil}
	})
	for worker, name := range []string{"zero", "one"} {
		require.Equal(t, []decision.Action{decision.Log{Line: name}, decision.Log{Line: "first"}, decision.Log{Line: "third"}},
			decider(worker, decision.Settings{}, 1).Handle(0, nil))
	}
	a.Start()
	for range 3 {
		<-startSignals
	}
	a.Stop()
	require.Equal(t, []string{"third", "second", "first"}, stoppedNames)
	a.Stop() // a second call does nothing
}
