package distribution_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

func revisionOf(number uint64) *configpb.Revision {
	document := fmt.Appendf(nil, `{"number":%d}`, number)
	return &configpb.Revision{
		Number:          number,
		Checksum:        configpb.Checksum(document),
		Document:        document,
		PublishedUnixMs: epoch.UnixMilli(),
	}
}

func reportOf(name string, sequence, inForce uint64) *configpb.Report {
	return &configpb.Report{Name: name, StartedUnixMs: 1000, Zone: "a", InForce: inForce, Sequence: sequence}
}

// openSession opens a session of a broker and delivers the broker's first report.
func openSession(t testing.TB, h *distribution.Hub, now time.Time, name string, inForce uint64) distribution.SessionID {
	id, err := h.OpenSession(now)
	require.NoError(t, err)
	require.NoError(t, h.ReportReceived(now, id, reportOf(name, 1, inForce)))
	return id
}

func nextUpdate(t testing.TB, h *distribution.Hub, now time.Time, id distribution.SessionID) *configpb.Update {
	update, wakeAt, err := h.NextUpdate(now, id)
	require.NoError(t, err)
	require.True(t, wakeAt.After(now))
	return update
}

func TestHubSendsNewestRevisionThenHeartbeats(t *testing.T) {
	h := distribution.NewHub()
	id := openSession(t, h, epoch, "b", 0)
	require.Zero(t, nextUpdate(t, h, epoch, id).GetNewest())
	for number := uint64(1); number <= 3; number++ {
		require.NoError(t, h.SetNewest(epoch, revisionOf(number)))
	}
	h.SetConfirmed(epoch)
	update := nextUpdate(t, h, epoch.Add(70*time.Millisecond), id)
	require.EqualValues(t, 3, update.GetRevision().GetNumber())
	require.EqualValues(t, 70, update.GetConfirmedMs())
	require.EqualValues(t, 1, update.GetReport())
	require.Nil(t, nextUpdate(t, h, epoch.Add(time.Second), id))
	update = nextUpdate(t, h, epoch.Add(1070*time.Millisecond), id)
	require.EqualValues(t, 3, update.GetNewest())
	require.Nil(t, update.GetRevision())
	require.EqualValues(t, 1070, update.GetReportMs())
}

func TestHubResendsUnacknowledgedRevisionWithBackoff(t *testing.T) {
	h := distribution.NewHub()
	require.NoError(t, h.SetNewest(epoch, revisionOf(1)))
	id := openSession(t, h, epoch, "b", 0)
	var sentAt []time.Duration
	for at, sequence := time.Duration(0), uint64(2); at < time.Minute; at += 100 * time.Millisecond {
		if at%distribution.ReportInterval == 0 {
			require.NoError(t, h.ReportReceived(epoch.Add(at), id, reportOf("b", sequence, 0)))
			sequence++
		}
		if update, _, err := h.NextUpdate(epoch.Add(at), id); err == nil && update.GetRevision() != nil {
			sentAt = append(sentAt, at)
		}
	}
	require.Equal(t, []time.Duration{0, 3 * time.Second, 9 * time.Second, 21 * time.Second, 45 * time.Second}, sentAt)
	require.Equal(t, []string{"b"}, h.Lagging(epoch.Add(time.Minute)))
	rejecting := reportOf("b", 100, 0)
	rejecting.Refusal = &configpb.Refusal{Number: 1, Key: "settings.port"}
	require.NoError(t, h.ReportReceived(epoch.Add(time.Minute), id, rejecting))
	require.Empty(t, h.Lagging(epoch.Add(time.Minute)), "the broker has rejected the revision")
	for at := time.Minute; at < 90*time.Second; at += 100 * time.Millisecond {
		require.Nil(t, nextUpdate(t, h, epoch.Add(at), id).GetRevision())
	}
}

func TestHubCountsAndDropsInvalidReports(t *testing.T) {
	h := distribution.NewHub()
	require.NoError(t, h.SetNewest(epoch, revisionOf(9)))
	id := openSession(t, h, epoch, "b", 5)
	modified := func(change func(*configpb.Report)) *configpb.Report {
		report := reportOf("b", 7, 6)
		change(report)
		return report
	}
	for _, test := range []struct {
		report *configpb.Report
		count  func(distribution.ReportCounts) uint64
	}{
		{nil, malformedReports},
		{modified(func(r *configpb.Report) { r.Name = "" }), malformedReports},
		{modified(func(r *configpb.Report) { r.Name = strings.Repeat("x", 129) }), malformedReports},
		{modified(func(r *configpb.Report) { r.Zone = "\xff" }), malformedReports},
		{modified(func(r *configpb.Report) { r.StartedUnixMs = 0 }), malformedReports},
		{modified(func(r *configpb.Report) { r.Sequence = 0 }), malformedReports},
		{modified(func(r *configpb.Report) { r.Refusal = &configpb.Refusal{Number: 6} }), malformedReports},
		{modified(func(r *configpb.Report) {
			r.Refusal = &configpb.Refusal{Number: 7, Key: strings.Repeat("x", 257)}
		}), malformedReports},
		{modified(func(r *configpb.Report) { r.Name = "other" }), wrongInstanceReports},
		{modified(func(r *configpb.Report) { r.StartedUnixMs = 999 }), wrongInstanceReports},
		{modified(func(r *configpb.Report) { r.InForce = 4 }), outOfOrderReports},
		{modified(func(r *configpb.Report) { r.Sequence = 1 }), outOfOrderReports},
	} {
		before := test.count(h.Counts())
		require.NoError(t, h.ReportReceived(epoch, id, test.report))
		require.Equal(t, before+1, test.count(h.Counts()), "%v", test.report)
		require.EqualValues(t, 5, h.Status(epoch).Brokers[0].GetReport().GetInForce())
	}
	require.EqualValues(t, 1, h.Counts().Accepted)
}

func malformedReports(c distribution.ReportCounts) uint64     { return c.Malformed }
func wrongInstanceReports(c distribution.ReportCounts) uint64 { return c.WrongInstance }
func outOfOrderReports(c distribution.ReportCounts) uint64    { return c.OutOfOrder }

func TestHubSupersedesSessionOfRestartedBroker(t *testing.T) {
	h := distribution.NewHub()
	oldSession := openSession(t, h, epoch, "b", 3)
	restartedSession, err := h.OpenSession(epoch)
	require.NoError(t, err)
	report := reportOf("b", 1, 0)
	report.StartedUnixMs = 2000
	require.NoError(t, h.ReportReceived(epoch, restartedSession, report))
	require.ErrorIs(t, h.CheckSession(epoch, oldSession), distribution.ErrSuperseded)
	h.CloseSession(epoch, oldSession)
	require.True(t, h.Status(epoch).Brokers[0].GetConnected())

	earlierSession, err := h.OpenSession(epoch)
	require.NoError(t, err)
	require.ErrorIs(t, h.ReportReceived(epoch, earlierSession, reportOf("b", 1, 3)), distribution.ErrSuperseded)
	require.EqualValues(t, 2000, h.Status(epoch).Brokers[0].GetReport().GetStartedUnixMs())
}

func TestHubSessionTimesOutWithoutReports(t *testing.T) {
	h := distribution.NewHub()
	id, err := h.OpenSession(epoch)
	require.NoError(t, err)
	require.NoError(t, h.CheckSession(epoch.Add(distribution.FirstReportTimeout-1), id))
	require.ErrorIs(t, h.CheckSession(epoch.Add(distribution.FirstReportTimeout), id), distribution.ErrSessionTimeout)
	require.NoError(t, h.ReportReceived(epoch, id, reportOf("b", 1, 0)))
	require.NoError(t, h.CheckSession(epoch.Add(distribution.SessionTimeout-1), id))
	_, _, err = h.NextUpdate(epoch.Add(distribution.SessionTimeout), id)
	require.ErrorIs(t, err, distribution.ErrSessionTimeout)
	h.CloseSession(epoch, id)
	require.ErrorIs(t, h.CheckSession(epoch, id), distribution.ErrNoSession)
}

func TestHubTracksPropagationOfRevisions(t *testing.T) {
	h := distribution.NewHub()
	a, b := openSession(t, h, epoch, "a", 0), openSession(t, h, epoch, "b", 0)
	for number := uint64(1); number <= 70; number++ {
		require.NoError(t, h.SetNewest(epoch.Add(time.Duration(number)), revisionOf(number)))
	}
	require.NoError(t, h.ReportReceived(epoch.Add(time.Second), a, reportOf("a", 2, 70)))
	status := h.Status(epoch.Add(9 * time.Second))
	require.Len(t, status.InForce, distribution.TrackedRevisions)
	newest := status.InForce[0]
	require.EqualValues(t, 70, newest.GetNumber())
	require.EqualValues(t, 1, newest.GetBrokers())
	require.EqualValues(t, 1, newest.GetLagging())
	require.Zero(t, newest.GetEverywhereUnixMs())
	require.NoError(t, h.ReportReceived(epoch.Add(10*time.Second), b, reportOf("b", 2, 69)))
	status = h.Status(epoch.Add(10 * time.Second))
	require.Zero(t, status.InForce[0].GetEverywhereUnixMs())
	require.Equal(t, epoch.Add(10*time.Second).UnixMilli(), status.InForce[1].GetEverywhereUnixMs())
	h.CloseSession(epoch.Add(11*time.Second), b)
	status = h.Status(epoch.Add(11 * time.Second))
	require.Equal(t, epoch.Add(11*time.Second).UnixMilli(), status.InForce[0].GetEverywhereUnixMs(), "b is disconnected")
}

func TestHubRetainsDisconnectedBroker(t *testing.T) {
	h := distribution.NewHub()
	id := openSession(t, h, epoch, "b", 1)
	h.CloseSession(epoch.Add(time.Second), id)
	broker := h.Status(epoch.Add(3 * time.Second)).Brokers[0]
	require.False(t, broker.GetConnected())
	require.EqualValues(t, 2000, broker.GetSilentMs())
	require.Len(t, h.Status(epoch.Add(time.Second+distribution.DisconnectedRetention)).Brokers, 1)
	require.Empty(t, h.Status(epoch.Add(2*time.Second+distribution.DisconnectedRetention)).Brokers)
}

func TestHubLimitsSessionsAndBrokers(t *testing.T) {
	h := distribution.NewHub()
	for i := range distribution.MaxBrokers + 50 {
		id := openSession(t, h, epoch.Add(time.Duration(i)), fmt.Sprint("b", i), 0)
		h.CloseSession(epoch.Add(time.Duration(i)), id)
	}
	status := h.Status(epoch.Add(time.Second))
	require.Len(t, status.Brokers, distribution.MaxBrokers)
	for _, broker := range status.Brokers {
		require.NotEqual(t, "b0", broker.GetReport().GetName(), "the broker that disconnected first is evicted first")
	}
	for range distribution.MaxSessions {
		_, err := h.OpenSession(epoch)
		require.NoError(t, err)
	}
	_, err := h.OpenSession(epoch)
	require.ErrorIs(t, err, distribution.ErrTooManySessions)
}

func TestHubRejectsCorruptStaleAndConflictingRevisions(t *testing.T) {
	h := distribution.NewHub()
	require.NoError(t, h.SetNewest(epoch, revisionOf(2)))
	require.NoError(t, h.SetNewest(epoch, revisionOf(2)))
	require.ErrorIs(t, h.SetNewest(epoch, revisionOf(1)), distribution.ErrStaleRevision)
	conflicting := revisionOf(2)
	conflicting.Document = []byte("{}")
	require.ErrorIs(t, h.SetNewest(epoch, conflicting), distribution.ErrChecksumMismatch)
	conflicting.Checksum = configpb.Checksum(conflicting.Document)
	require.ErrorIs(t, h.SetNewest(epoch, conflicting), distribution.ErrRevisionConflict)
	require.ErrorIs(t, h.SetNewest(epoch, nil), distribution.ErrNoRevisionNumber)
	require.ErrorIs(t, h.SetNewest(epoch, &configpb.Revision{Number: 3}), distribution.ErrEmptyDocument)
	large := &configpb.Revision{Number: 3, Document: make([]byte, distribution.MaxDocument+1)}
	require.ErrorIs(t, h.SetNewest(epoch, large), distribution.ErrDocumentTooLarge)
	require.EqualValues(t, 2, h.Status(epoch).Newest)
}
