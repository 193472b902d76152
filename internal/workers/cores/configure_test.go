package cores

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// recorder is a worker's Decider: it keeps what it hears of classes and queries, refuses each query at once unless it
// is silent, and has its loop wait, or die, where a test says so by a Timer.
type recorder struct {
	mu     sync.Mutex
	heard  []decision.Event // ClassesChanged and Query
	silent bool
	hold   chan struct{} // a Timer with token tokenHold waits for it
	holds  chan struct{} // and tells so
	once   sync.Once
}

// goOn lets a loop that waits go on.
func (d *recorder) goOn() { d.once.Do(func() { close(d.hold) }) }

const (
	tokenHold = iota
	tokenDie
)

func (d *recorder) Handle(_ float64, events []decision.Event) (actions []decision.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case decision.TimerFired:
			if e.Token == tokenDie {
				panic("as the test says")
			}
			d.holds <- struct{}{}
			<-d.hold
		case decision.ClassesChanged:
			d.keep(e)
		case decision.Query:
			d.keep(e)
			if !d.silent {
				actions = append(actions, decision.Reject{ID: e.ID})
			}
		}
	}
	return actions
}

func (d *recorder) keep(e decision.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard = append(d.heard, e)
}

// recorded is a group of recorders with the classes of settings, under an open cap.
type recorded struct {
	*testing.T
	*Group
	deciders []*recorder
	next     atomic.Int64
}

func newRecorded(t *testing.T, workers, openCap int, silent bool) *recorded {
	r := &recorded{T: t}
	r.Group = New(Options{Workers: workers, Settings: settings(1, 0), ConcurrencyLimit: openCap, Seed: 7,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Decider: func(int, decision.Settings, uint64) decision.Decider {
			d := &recorder{hold: make(chan struct{}), holds: make(chan struct{}, 1), silent: silent}
			r.deciders = append(r.deciders, d)
			return d
		}}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		r.Group.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		for _, d := range r.deciders {
			d.goOn()
		}
		<-ended
	})
	return r
}

// classesOf are the classes of settings with another deadline and aim.
func classesOf(deadline float64) []decision.Class {
	classes := slices.Clone(settings(1, 0).Classes)
	for i := range classes {
		classes[i].LatencyObjective, classes[i].Deadline = deadline/2, deadline
	}
	return classes
}

// query hands over a query of so many parts that waits for its class's deadline.
func (r *recorded) query(parts int) answer {
	a := make(answer, 1)
	q := &broker.Request{ID: fmt.Sprint("q", r.next.Add(1)), TimeoutUnstated: true, ReceivedAt: time.Now()}
	for i := range parts {
		q.Parts = append(q.Parts, broker.Part{Shard: i, Weight: 1 / float64(parts)})
	}
	r.Submit(q, a)
	return a
}

func (r *recorded) outcome(a answer) broker.Outcome {
	r.Helper()
	select {
	case res := <-a:
		return res.Outcome
	case <-time.After(5 * time.Second):
		require.FailNow(r, "no answer came")
		return 0
	}
}

// Queries and changes from several goroutines: each worker hears of each change, in one order, and each query is
// taken whole under one of them: its deadline is the one that its worker heard of last.
func TestWorkersApplyChangesAtomically(t *testing.T) {
	const workers, changes, askers = 4, 60, 6
	r := newRecorded(t, workers, 0, false)
	var asking sync.WaitGroup
	ended := make(chan struct{})
	var asked atomic.Int64
	for range askers {
		asking.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					r.outcome(r.query(1))
					asked.Add(1)
				}
			}
		})
	}
	for i := range changes {
		before := asked.Load()
		require.NoError(t, r.Configure(broker.Change{Classes: classesOf(float64(10 + i))}))
		require.Equal(t, float64(10+i), r.LongestDeadline().Seconds())
		require.Eventually(t, func() bool { return asked.Load() > before+workers }, 5*time.Second, time.Millisecond)
	}
	close(ended)
	asking.Wait()
	queries := 0
	for _, d := range r.deciders {
		deadline, heard := settings(1, 0).Classes[0].Deadline, 0
		for _, e := range d.heard {
			switch e := e.(type) {
			case decision.ClassesChanged:
				require.Equal(t, classesOf(float64(10+heard)), e.Classes)
				deadline = e.Classes[0].Deadline
				heard++
			case decision.Query:
				require.InDelta(t, deadline, e.Deadline-e.ReceivedAt, 1e-3)
				queries++
			}
		}
		require.Equal(t, changes, heard)
	}
	require.Equal(t, asked.Load(), int64(queries))
}

// With one worker, class and cap come into force at one point: what was handed over before is judged by the old cap.
func TestConcurrencyLimitChangesWithClasses(t *testing.T) {
	for _, c := range []struct {
		name          string
		cap, parts    int
		before, after broker.Outcome
	}{
		{"larger", 5, 3, broker.Rejected, broker.DeadlineExceeded},
		{"smaller", 1, 1, broker.DeadlineExceeded, broker.Rejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorded(t, 1, 2, true)
			require.NoError(t, r.Configure(broker.Change{Classes: classesOf(0.2), ConcurrencyLimit: 2}))
			r.Notify(decision.TimerFired{Token: tokenHold})
			<-r.deciders[0].holds
			early := r.query(c.parts)
			done := make(chan error, 1)
			behind := r.workers[0].broker.Backlog()
			go func() { done <- r.Configure(broker.Change{Classes: classesOf(0.3), ConcurrencyLimit: c.cap}) }()
			require.Eventually(t, func() bool { return r.workers[0].broker.Backlog() > behind }, 5*time.Second,
				time.Millisecond)
			late := r.query(c.parts)
			r.deciders[0].goOn()
			require.NoError(t, <-done)
			require.Equal(t, c.before, r.outcome(early))
			require.Equal(t, c.after, r.outcome(late))
		})
	}
}

// While one worker is busy, the others serve under the new classes, and all within the old cap until it follows.
func TestSharedLimitWaitsForLastWorker(t *testing.T) {
	r := newRecorded(t, 2, 2, true)
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenHold})
	<-r.deciders[0].holds
	done := make(chan error, 1)
	go func() { done <- r.Configure(broker.Change{Classes: classesOf(0.4), ConcurrencyLimit: 6}) }()
	require.Eventually(t, func() bool {
		d := r.deciders[1]
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.heard) == 1
	}, 5*time.Second, time.Millisecond)
	require.False(t, r.limiter.TryAcquire(3), "the cap came into force ahead of a worker's classes")
	r.deciders[0].goOn()
	require.NoError(t, <-done)
	require.True(t, r.limiter.TryAcquire(6))
	require.False(t, r.limiter.TryAcquire(1))
}

// A worker that dies while a change comes holds it up for nobody, nor does one that is dead.
func TestConfigureWithDeadWorker(t *testing.T) {
	r := newRecorded(t, 2, 2, true)
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenHold})
	<-r.deciders[0].holds
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenDie})
	done := make(chan error, 1)
	go func() { done <- r.Configure(broker.Change{Classes: classesOf(0.4), ConcurrencyLimit: 6}) }()
	time.Sleep(20 * time.Millisecond)
	r.deciders[0].goOn()
	require.NoError(t, <-done)
	<-r.Failed()
	require.True(t, r.limiter.TryAcquire(6))
	r.limiter.Release(6)
	require.NoError(t, r.Configure(broker.Change{Classes: classesOf(0.5), ConcurrencyLimit: 7}))
	require.True(t, r.limiter.TryAcquire(7))
	require.Equal(t, 0.5, r.LongestDeadline().Seconds())
	r.workers[0].dead.Store(false) // as for a worker that dies between the look at it and the post
	require.NoError(t, r.Configure(broker.Change{Classes: classesOf(0.5), ConcurrencyLimit: 9}))
	require.False(t, r.limiter.TryAcquire(3))
	require.True(t, r.limiter.TryAcquire(2))
	r.workers[0].dead.Store(true)
	r.workers[1].broker.Notify(decision.TimerFired{Token: tokenDie})
	require.Eventually(t, r.workers[1].dead.Load, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, r.Configure(broker.Change{Classes: classesOf(0.6), ConcurrencyLimit: 8}), broker.ErrEnded)
}

// A change that does not fit changes nothing in any worker, nor the cap.
func TestConfigureRejectsInvalidChange(t *testing.T) {
	r := newRecorded(t, 3, 2, true)
	spoilt := classesOf(0.4)
	spoilt[2].MinCompleteness = 0.1
	require.Error(t, r.Configure(broker.Change{Classes: spoilt, ConcurrencyLimit: 9}))
	require.False(t, r.limiter.TryAcquire(3))
	require.Equal(t, 2., r.LongestDeadline().Seconds())
	for _, d := range r.deciders {
		require.Empty(t, d.heard)
	}
}
