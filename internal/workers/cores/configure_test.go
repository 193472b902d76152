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

// recordingDecider is a worker's Decider that records class changes and queries. It rejects each query at once unless it
// is silent. A TimerFired event blocks the worker's loop or makes it panic, depending on its token.
type recordingDecider struct {
	mu       sync.Mutex
	recorded []decision.Event // ClassesChanged and Query
	silent   bool
	resume   chan struct{} // closed to unblock the loop
	blocked  chan struct{} // receives a value when a TimerFired with tokenBlock blocks the loop
	once     sync.Once
}

// unblock resumes a blocked loop. It may be called repeatedly.
func (d *recordingDecider) unblock() { d.once.Do(func() { close(d.resume) }) }

// Tokens of TimerFired events for a recordingDecider.
const (
	tokenBlock = iota
	tokenPanic
)

func (d *recordingDecider) Handle(_ float64, events []decision.Event) (actions []decision.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case decision.TimerFired:
			if e.Token == tokenPanic {
				panic("requested by the test")
			}
			d.blocked <- struct{}{}
			<-d.resume
		case decision.ClassesChanged:
			d.record(e)
		case decision.Query:
			d.record(e)
			if !d.silent {
				actions = append(actions, decision.Reject{ID: e.ID})
			}
		}
	}
	return actions
}

func (d *recordingDecider) record(e decision.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recorded = append(d.recorded, e)
}

// recordingGroup is a group of workers with recording Deciders and the classes of settings.
type recordingGroup struct {
	*testing.T
	*Group
	deciders        []*recordingDecider
	lastQueryNumber atomic.Int64
}

// newRecordingGroup starts a group that runs until the test ends.
func newRecordingGroup(t *testing.T, workers, concurrencyLimit int, silent bool) *recordingGroup {
	r := &recordingGroup{T: t}
	r.Group = New(Options{Workers: workers, Settings: settings(1, 0), ConcurrencyLimit: concurrencyLimit, Seed: 7,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Decider: func(int, decision.Settings, uint64) decision.Decider {
			d := &recordingDecider{resume: make(chan struct{}), blocked: make(chan struct{}, 1), silent: silent}
			r.deciders = append(r.deciders, d)
			return d
		}}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	runDone := make(chan struct{})
	go func() {
		r.Group.Run(ctx)
		close(runDone)
	}()
	t.Cleanup(func() {
		cancel()
		for _, d := range r.deciders {
			d.unblock()
		}
		<-runDone
	})
	return r
}

// classesWithDeadline returns the classes of settings with another deadline, in seconds, and half of it as the latency
// objective.
func classesWithDeadline(deadline float64) []decision.Class {
	classes := slices.Clone(settings(1, 0).Classes)
	for i := range classes {
		classes[i].LatencyObjective, classes[i].Deadline = deadline/2, deadline
	}
	return classes
}

// query submits a query with a number of parts and the default deadline of its class.
func (r *recordingGroup) query(parts int) answer {
	a := make(answer, 1)
	q := &broker.Request{ID: fmt.Sprint("q", r.lastQueryNumber.Add(1)), TimeoutUnset: true, ReceivedAt: time.Now()}
	for i := range parts {
		q.Parts = append(q.Parts, broker.Part{Shard: i, Weight: 1 / float64(parts)})
	}
	r.Submit(q, a)
	return a
}

// outcome waits for the outcome of a query.
func (r *recordingGroup) outcome(a answer) broker.Outcome {
	r.Helper()
	select {
	case res := <-a:
		return res.Outcome
	case <-time.After(5 * time.Second):
		require.FailNow(r, "a query was not answered within 5 s")
		return 0
	}
}

// TestWorkersApplyChangesAtomically checks that all workers receive all changes in the same order, and that each query is
// accepted under exactly one of them: its deadline is that of the last change that its worker received.
func TestWorkersApplyChangesAtomically(t *testing.T) {
	const workers, changes, clients = 4, 60, 6
	r := newRecordingGroup(t, workers, 0, false)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var answered atomic.Int64
	for range clients {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					r.outcome(r.query(1))
					answered.Add(1)
				}
			}
		})
	}
	for i := range changes {
		before := answered.Load()
		require.NoError(t, r.Configure(broker.Change{Classes: classesWithDeadline(float64(10 + i))}))
		require.Equal(t, float64(10+i), r.LongestDeadline().Seconds())
		require.Eventually(t, func() bool { return answered.Load() > before+workers }, 5*time.Second, time.Millisecond)
	}
	close(stop)
	wg.Wait()
	queries := 0
	for _, d := range r.deciders {
		deadline, changesSeen := settings(1, 0).Classes[0].Deadline, 0
		for _, e := range d.recorded {
			switch e := e.(type) {
			case decision.ClassesChanged:
				require.Equal(t, classesWithDeadline(float64(10+changesSeen)), e.Classes)
				deadline = e.Classes[0].Deadline
				changesSeen++
			case decision.Query:
				require.InDelta(t, deadline, e.Deadline-e.ReceivedAt, 1e-3)
				queries++
			}
		}
		require.Equal(t, changes, changesSeen)
	}
	require.Equal(t, answered.Load(), int64(queries))
}

// TestConcurrencyLimitChangesWithClasses checks that with one worker the classes and the concurrency limit change at the same
// point of its loop: queries submitted before the change are subject to the old limit.
func TestConcurrencyLimitChangesWithClasses(t *testing.T) {
	for _, c := range []struct {
		name          string
		limit         int // after the change; 2 before it
		parts         int // of each query
		before, after broker.Outcome
	}{
		{"larger", 5, 3, broker.Rejected, broker.DeadlineExceeded},
		{"smaller", 1, 1, broker.DeadlineExceeded, broker.Rejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecordingGroup(t, 1, 2, true)
			require.NoError(t, r.Configure(broker.Change{Classes: classesWithDeadline(0.2), ConcurrencyLimit: 2}))
			r.Notify(decision.TimerFired{Token: tokenBlock})
			<-r.deciders[0].blocked
			earlyAnswer := r.query(c.parts)
			done := make(chan error, 1)
			backlog := r.workers[0].broker.Backlog()
			go func() {
				done <- r.Configure(broker.Change{Classes: classesWithDeadline(0.3), ConcurrencyLimit: c.limit})
			}()
			require.Eventually(t, func() bool { return r.workers[0].broker.Backlog() > backlog }, 5*time.Second,
				time.Millisecond)
			lateAnswer := r.query(c.parts)
			r.deciders[0].unblock()
			require.NoError(t, <-done)
			require.Equal(t, c.before, r.outcome(earlyAnswer))
			require.Equal(t, c.after, r.outcome(lateAnswer))
		})
	}
}

// TestSharedLimitWaitsForLastWorker checks that while one worker is blocked, the other applies the new classes, but the shared
// limit changes only when the last worker has applied them.
func TestSharedLimitWaitsForLastWorker(t *testing.T) {
	r := newRecordingGroup(t, 2, 2, true)
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenBlock})
	<-r.deciders[0].blocked
	done := make(chan error, 1)
	go func() { done <- r.Configure(broker.Change{Classes: classesWithDeadline(0.4), ConcurrencyLimit: 6}) }()
	require.Eventually(t, func() bool {
		d := r.deciders[1]
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.recorded) == 1
	}, 5*time.Second, time.Millisecond)
	require.False(t, r.limiter.TryAcquire(3), "the limit was raised before all workers had the new classes")
	r.deciders[0].unblock()
	require.NoError(t, <-done)
	require.True(t, r.limiter.TryAcquire(6))
	require.False(t, r.limiter.TryAcquire(1))
}

// TestConfigureWithDeadWorker checks that a change is neither delayed nor prevented by a worker that panics during the change
// or is already dead.
func TestConfigureWithDeadWorker(t *testing.T) {
	r := newRecordingGroup(t, 2, 2, true)
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenBlock})
	<-r.deciders[0].blocked
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenPanic})
	done := make(chan error, 1)
	go func() { done <- r.Configure(broker.Change{Classes: classesWithDeadline(0.4), ConcurrencyLimit: 6}) }()
	time.Sleep(20 * time.Millisecond)
	r.deciders[0].unblock()
	require.NoError(t, <-done)
	<-r.Failed()
	require.True(t, r.limiter.TryAcquire(6))
	r.limiter.Release(6)
	require.NoError(t, r.Configure(broker.Change{Classes: classesWithDeadline(0.5), ConcurrencyLimit: 7}))
	require.True(t, r.limiter.TryAcquire(7))
	require.Equal(t, 0.5, r.LongestDeadline().Seconds())
	r.workers[0].dead.Store(false) // as if the worker panicked between the check of dead and ConfigureAsync
	require.NoError(t, r.Configure(broker.Change{Classes: classesWithDeadline(0.5), ConcurrencyLimit: 9}))
	require.False(t, r.limiter.TryAcquire(3))
	require.True(t, r.limiter.TryAcquire(2))
	r.workers[0].dead.Store(true)
	r.workers[1].broker.Notify(decision.TimerFired{Token: tokenPanic})
	require.Eventually(t, r.workers[1].dead.Load, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, r.Configure(broker.Change{Classes: classesWithDeadline(0.6), ConcurrencyLimit: 8}), broker.ErrEnded)
}

// TestConfigureRejectsInvalidChange checks that an invalid change alters neither the classes of any worker nor the concurrency
// limit.
func TestConfigureRejectsInvalidChange(t *testing.T) {
	r := newRecordingGroup(t, 3, 2, true)
	invalid := classesWithDeadline(0.4)
	invalid[2].MinCompleteness = 0.1
	require.Error(t, r.Configure(broker.Change{Classes: invalid, ConcurrencyLimit: 9}))
	require.False(t, r.limiter.TryAcquire(3))
	require.Equal(t, 2., r.LongestDeadline().Seconds())
	for _, d := range r.deciders {
		require.Empty(t, d.recorded)
	}
}
