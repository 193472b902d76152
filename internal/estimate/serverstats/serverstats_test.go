package serverstats_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/estimate/serverstats"
)

type server struct {
	serverstats.Stats
	ready bool
}

func (s *server) IsReady() bool { return s.ready }

func newServer(ready bool) *server { return &server{Stats: serverstats.NewStats(), ready: ready} }

func attempt(sentAt, latency float64) serverstats.Attempt {
	return serverstats.Attempt{SentAt: sentAt, Latency: latency, Concurrency: 1}
}

func TestQueueDepthIncludesAbandonedAttempts(t *testing.T) {
	f := serverstats.NewFleet(1)
	s := newServer(true)
	f.Advance(10, 1, 0, 1)
	s.Sent(10)
	f.RecordTimeout(&s.Stats, attempt(10, 0.5), 1)
	s.InFlight--
	require.Equal(t, 1, s.QueueDepth(11))
	f.RecordAnswer(&s.Stats, attempt(9, 2), 1, true)
	require.Equal(t, 1, s.QueueDepth(11), "an attempt sent earlier has no effect")
	f.RecordAnswer(&s.Stats, attempt(10.1, 0.9), 1, true)
	require.Zero(t, s.QueueDepth(11))
	f.RecordTimeout(&s.Stats, attempt(10, 0.5), 1)
	require.Zero(t, s.QueueDepth(13.1), "the abandoned attempt has expired")
}

func TestSilenceStartsAtFirstUnansweredAttempt(t *testing.T) {
	f := serverstats.NewFleet(1)
	s := newServer(true)
	require.Zero(t, s.Silence(5))
	s.Sent(10)
	s.Sent(11)
	require.Equal(t, 2.0, s.Silence(12))
	f.Advance(12, 1, 0, 1)
	f.RecordAnswer(&s.Stats, attempt(10, 2), 1, true)
	s.InFlight--
	require.Zero(t, s.Silence(13))
	s.Sent(14)
	require.Equal(t, 1.0, s.Silence(15))
}

func TestFitnessFallsWithQueuesAndUtilization(t *testing.T) {
	report := func(queue, utilization float64) serverstats.LoadReport {
		r := serverstats.NoLoadReport
		r.QueueLength, r.Utilization = queue, utilization
		return r
	}
	idle, busy, queued, silent, notReady := newServer(true), newServer(true), newServer(true), newServer(true), newServer(false)
	servers := []*server{idle, busy, queued, silent, notReady}
	_, ok := serverstats.ComputeFitness(servers)
	require.False(t, ok, "no server has reported its load")
	idle.RecordLoadReport(report(0, 0), 1)
	busy.RecordLoadReport(report(0, 0.5), 1)
	queued.RecordLoadReport(report(1000, 0), 1)
	notReady.RecordLoadReport(report(0, 0), 1)
	mean, ok := serverstats.ComputeFitness(servers)
	require.True(t, ok)
	require.Equal(t, 1.0, idle.Fitness)
	require.InDelta(t, 0.37, busy.Fitness, 0.01)
	require.InDelta(t, 0.7, queued.Fitness, 0.01)
	require.Zero(t, silent.Fitness)
	require.Equal(t, 1.0, notReady.Fitness)
	require.InDelta(t, (1+0.37+0.7)/3, mean, 0.01, "the mean is over the ready servers")
	queued.RecordLoadReport(report(0, 0), 0.5)
	require.Equal(t, 1000.0, queued.LoadReport.QueueLength, "an older report has no effect")
}

func TestRecordPeerIgnoresOlderObservations(t *testing.T) {
	f := serverstats.NewFleet(1)
	s := newServer(true)
	f.Failures.Include(&s.Failures)
	f.Advance(10, 1, 0, 1)
	f.RecordSuccess(&s.Stats)
	f.RecordPeer(&s.Stats, 9, 1, 0.5, 0)
	require.Zero(t, f.Failures.Of(&s.Failures))
	f.Advance(11, 1, 0, 1)
	f.RecordPeer(&s.Stats, 10.5, 1, 0.5, 0.2)
	require.InDelta(t, 0.5, s.Failures.Ratio, 1e-9)
	require.Equal(t, 0.2, s.ServiceTime.Mean)
	f.RecordPeer(&s.Stats, 10.4, 0, 0, 9)
	require.Equal(t, 0.2, s.ServiceTime.Mean)
}
