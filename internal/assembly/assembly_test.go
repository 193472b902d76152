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

// named is a Decider that says who it is in a log line.
type named struct {
	name  string
	inner decision.Decider
}

func (n named) Handle(now float64, events []decision.Event) (actions []decision.Action) {
	if n.inner != nil {
		actions = n.inner.Handle(now, events)
	}
	return append(actions, decision.Log{Line: n.name})
}

func TestPartsWrapInOrderAndEndInTheReverse(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := &assembly.Assembly{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	var mu sync.Mutex
	var said []string
	say := func(s string) {
		mu.Lock()
		defer mu.Unlock()
		said = append(said, s)
	}
	begun := make(chan struct{}, 3)
	for _, name := range []string{"first", "second", "third"} {
		p := assembly.Part{Name: name, Run: func(ctx context.Context) {
			begun <- struct{}{}
			<-ctx.Done()
			say(name)
		}}
		if name != "second" {
			p.Wrap = func(_ int, inner decision.Decider) decision.Decider { return named{name, inner} }
		}
		a.Add(p)
	}
	a.Add(assembly.Part{Name: "nothing to run"})
	decider := a.Decider(func(worker int, _ decision.Settings, _ uint64) decision.Decider {
		return named{[]string{"zero", "one"}[worker], nil}
	})
	for worker, name := range []string{"zero", "one"} {
		require.Equal(t, []decision.Action{decision.Log{Line: name}, decision.Log{Line: "first"}, decision.Log{Line: "third"}},
			decider(worker, decision.Settings{}, 1).Handle(0, nil))
	}
	a.Start()
	for range 3 {
		<-begun
	}
	a.End()
	require.Equal(t, []string{"third", "second", "first"}, said)
	a.End() // once is enough, twice does no harm
}
