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

// recorder is a worker's Decider that records the changes of classes and the queries that it receives. It rejects each query
// at once unless it is silent, and pauses its loop, or panics, on a test's TimerFired.
type recorder struct {
	mu       sync.Mutex
	received []decision.Event // ClassesChanged and Query
	silent   bool
	resume   chan struct{} // closed by unpause; a timer with tokenPause waits for it
	paused   chan struct{} // receives a value when the loop has paused
	once     sync.Once
}

// unpause lets a paused loop continue.
func (d *recorder) unpause() { d.once.Do(func() { close(d.resume) }) }

const (
	tokenPause = iota
	tokenPanic
)

func (d *recorder) Handle(_ float64, events []decision.Event) (actions []decision.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case decision.TimerFired:
			if e.Token == tokenPanic {
				panic("requested by the test")
			}
			d.paused <- struct{}{}
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

func (d *recorder) record(e decision.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = append(d.received, e)
}

// recordingGroup is a group of recorders with the classes of settings, under a concurrency limit.
type recordingGroup struct {
	*testing.T
	*Group
	deciders []*recorder
	next     atomic.Int64
}

func newRecordingGroup(t *testing.T, workers, limit int, silent bool) *recordingGroup {
	r := &recordingGroup{T: t}
	r.Group = New(Options{Workers: workers, Settings: settings(1, 0), ConcurrencyLimit: limit, Seed: 7,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Decider: func(int, decision.Settings, uint64) decision.Decider {
			d := &recorder{resume: make(chan struct{}), paused: make(chan struct{}, 1), silent: silent}
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
			d.unpause()
		}
		<-ended
	})
	return r
}

// classesOf returns the classes of settings with another deadline, and half of it as latency objective.
func classesOf(deadline float64) []decision.Class {
	classes := slices.Clone(settings(1, 0).Classes)
	for i := range classes {
		classes[i].LatencyObjective, classes[i].Deadline = deadline/2, deadline
	}
	return classes
}

// query submits a query of a number of parts that waits for its class's deadline.
func (r *recordingGroup) query(parts int) answer {
	a := make(answer, 1)
	q := &broker.Request{ID: fmt.Sprint("q", r.next.Add(1)), TimeoutUnstated: true, ReceivedAt: time.Now()}
	for i := range parts {
		q.Parts = append(q.Parts, broker.Part{Shard: i, Weight: 1 / float64(parts)})
	}
	r.Submit(q, a)
	return a
}

func (r *recordingGroup) outcome(a answer) broker.Outcome {
	r.Helper()
	select {
	case res := <-a:
		return res.Outcome
	case <-time.After(5 * time.Second):
		require.FailNow(r, "no answer came")
		return 0
	}
}

// With queries and changes from several goroutines, each worker receives each change, in one order, and each query is
// accepted under one of them: its deadline is that of its worker's latest change.
func TestWorkersApplyChangesAtomically(t *testing.T) {
	const workers, changes, clientCount = 4, 60, 6
	r := newRecordingGroup(t, workers, 0, false)
	var clients sync.WaitGroup
	ended := make(chan struct{})
	var submitted atomic.Int64
	for range clientCount {
		clients.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					r.outcome(r.query(1))
					submitted.Add(1)
				}
			}
		})
	}
	for i := range changes {
		before := submitted.Load()
		require.NoError(t, r.Configure(broker.Change{Classes: classesOf(float64(10 + i))}))
		require.Equal(t, float64(10+i), r.LongestDeadline().Seconds())
		require.Eventually(t, func() bool { return submitted.Load() > before+workers }, 5*time.Second, time.Millisecond)
	}
	close(ended)
	clients.Wait()
	queries := 0
	for _, d := range r.deciders {
		deadline, applied := settings(1, 0).Classes[0].Deadline, 0
		for _, e := range d.received {
			switch e := e.(type) {
			case decision.ClassesChanged:
				require.Equal(t, classesOf(float64(10+applied)), e.Classes)
				deadline = e.Classes[0].Deadline
				applied++
			case decision.Query:
				require.InDelta(t, deadline, e.Deadline-e.ReceivedAt, 1e-3)
				queries++
			}
		}
		require.Equal(t, changes, applied)
	}
	require.Equal(t, submitted.Load(), int64(queries))
}

// With one worker, classes and limit change at one point: a query submitted before is subject to the old limit.
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
			r := newRecordingGroup(t, 1, 2, true)
			require.NoError(t, r.Configure(broker.Change{Classes: classesOf(0.2), ConcurrencyLimit: 2}))
			r.Notify(decision.TimerFired{Token: tokenPause})
			<-r.deciders[0].paused
			early := r.query(c.parts)
			done := make(chan error, 1)
			behind := r.workers[0].broker.Backlog()
			go func() { done <- r.Configure(broker.Change{Classes: classesOf(0.3), ConcurrencyLimit: c.cap}) }()
			require.Eventually(t, func() bool { return r.workers[0].broker.Backlog() > behind }, 5*time.Second,
				time.Millisecond)
			late := r.query(c.parts)
			r.deciders[0].unpause()
			require.NoError(t, <-done)
			require.Equal(t, c.before, r.outcome(early))
			require.Equal(t, c.after, r.outcome(late))
		})
	}
}

// While one worker is busy, the others serve under the new classes, and all within the old limit until it has applied the change.
func TestSharedLimitWaitsForLastWorker(t *testing.T) {
	r := newRecordingGroup(t, 2, 2, true)
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenPause})
	<-r.deciders[0].paused
	done := make(chan error, 1)
	go func() { done <- r.Configure(broker.Change{Classes: classesOf(0.4), ConcurrencyLimit: 6}) }()
	require.Eventually(t, func() bool {
		d := r.deciders[1]
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.received) == 1
	}, 5*time.Second, time.Millisecond)
	require.False(t, r.limiter.TryAcquire(3), "the limit changed before a worker's classes")
	r.deciders[0].unpause()
	require.NoError(t, <-done)
	require.True(t, r.limiter.TryAcquire(6))
	require.False(t, r.limiter.TryAcquire(1))
}

// A worker that panics during a change does not delay it for the others, nor does one that has ended.
func TestConfigureWithDeadWorker(t *testing.T) {
	r := newRecordingGroup(t, 2, 2, true)
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenPause})
	<-r.deciders[0].paused
	r.workers[0].broker.Notify(decision.TimerFired{Token: tokenPanic})
	done := make(chan error, 1)
	go func() { done <- r.Configure(broker.Change{Classes: classesOf(0.4), ConcurrencyLimit: 6}) }()
	time.Sleep(20 * time.Millisecond)
	r.deciders[0].unpause()
	require.NoError(t, <-done)
	<-r.Failed()
	require.True(t, r.limiter.TryAcquire(6))
	r.limiter.Release(6)
	require.NoError(t, r.Configure(broker.Change{Classes: classesOf(0.5), ConcurrencyLimit: 7}))
	require.True(t, r.limiter.TryAcquire(7))
	require.Equal(t, 0.5, r.LongestDeadline().Seconds())
	r.workers[0].dead.Store(false) // as for a worker that ends between the check and the post
	require.NoError(t, r.Configure(broker.Change{Classes: classesOf(0.5), ConcurrencyLimit: 9}))
	require.False(t, r.limiter.TryAcquire(3))
	require.True(t, r.limiter.TryAcquire(2))
	r.workers[0].dead.Store(true)
	r.workers[1].broker.Notify(decision.TimerFired{Token: tokenPanic})
	require.Eventually(t, r.workers[1].dead.Load, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, r.Configure(broker.Change{Classes: classesOf(0.6), ConcurrencyLimit: 8}), broker.ErrEnded)
}

// An invalid change changes no worker's classes and not the limit.
func TestConfigureRejectsInvalidChange(t *testing.T) {
	r := newRecordingGroup(t, 3, 2, true)
	invalid := classesOf(0.4)
	invalid[2].MinCompleteness = 0.1
	require.Error(t, r.Configure(broker.Change{Classes: invalid, ConcurrencyLimit: 9}))
	require.False(t, r.limiter.TryAcquire(3))
	require.Equal(t, 2., r.LongestDeadline().Seconds())
	for _, d := range r.deciders {
		require.Empty(t, d.received)
	}
}
