package controlplanetest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/controlplanetest"
)

// inForceWithin is the maximum time from the acknowledgement of a revision until it is in force at all followers.
const inForceWithin = 8 * time.Second

var epoch = time.Unix(1_700_000_000, 0)

// timeAt returns the time that is a number of seconds after epoch.
func timeAt(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// validHistory returns a history without violations, with four revisions, two followers and two control machines. Request 4 was
// not acknowledged. Follower f2 was disconnected from 2 to 20 s.
func validHistory() *controlplanetest.History {
	return &controlplanetest.History{
		Publications: []controlplanetest.Publication{
			{Request: 1, Checksum: 101, StartedAt: timeAt(0), EndedAt: timeAt(0.1), Number: 1},
			{Request: 2, Checksum: 102, StartedAt: timeAt(1), EndedAt: timeAt(1.2), Number: 2},
			{Request: 4, Checksum: 104, StartedAt: timeAt(2), EndedAt: timeAt(4)},
			{Request: 3, Checksum: 103, StartedAt: timeAt(5), EndedAt: timeAt(5.3), Number: 3},
		},
		Applied: []controlplanetest.AppliedRevision{
			{Follower: "f1", Number: 1, Checksum: 101, AppliedAt: timeAt(0.2)},
			{Follower: "f2", Number: 2, Checksum: 102, AppliedAt: timeAt(1.3)},
			{Follower: "f1", Number: 3, Checksum: 103, AppliedAt: timeAt(9)},
			{Follower: "f1", Number: 4, Checksum: 104, AppliedAt: timeAt(14)},
			{Follower: "f2", Number: 4, Checksum: 104, AppliedAt: timeAt(27)},
		},
		Stored: []controlplanetest.StoredRevision{
			{Machine: "a", Number: 1, Checksum: 101}, {Machine: "a", Number: 2, Checksum: 102},
			{Machine: "a", Number: 3, Checksum: 103}, {Machine: "a", Number: 4, Checksum: 104},
			{Machine: "b", Number: 1, Checksum: 101}, {Machine: "b", Number: 2, Checksum: 102},
			{Machine: "b", Number: 3, Checksum: 103}, {Machine: "b", Number: 4, Checksum: 104},
		},
		Machines:       []string{"a", "b"},
		Followers:      []string{"f1", "f2"},
		Disconnections: []controlplanetest.Disconnection{{Follower: "f2", From: timeAt(2), To: timeAt(20)}},
	}
}

func TestCheckAcceptsValidHistory(t *testing.T) {
	require.Empty(t, validHistory().Check(inForceWithin))
}

// Each check of the history reports a violation that is injected into a valid history.
func TestChecksReportInjectedViolations(t *testing.T) {
	for _, c := range []struct {
		name      string
		inject    func(*controlplanetest.History)
		check     func(*controlplanetest.History) []error
		violation string
	}{
		{"a machine has another document", func(h *controlplanetest.History) { h.Stored[5].Checksum = 103 },
			(*controlplanetest.History).CheckConsistentContents, "revision 2 has checksum 66 at publisher of request 2 and 67 at b"},
		{"a follower has another document", func(h *controlplanetest.History) { h.Applied[1].Checksum = 103 },
			(*controlplanetest.History).CheckConsistentContents, "revision 2 has checksum 66 at publisher of request 2 and 67 at f2"},
		{"a document was not published", func(h *controlplanetest.History) { h.Applied[4].Checksum = 200 },
			(*controlplanetest.History).CheckConsistentContents, "f2 has revision 4 with checksum c8, which was not published"},
		{"two requests have the same number", func(h *controlplanetest.History) { h.Publications[3].Number = 2 },
			(*controlplanetest.History).CheckUniqueNumbers, "requests 2 and 3 were both acknowledged as revision 2"},
		{"a later publication has a lower number", func(h *controlplanetest.History) { h.Publications[0].Number = 9 },
			(*controlplanetest.History).CheckPublicationOrder,
			"revision 9 was acknowledged before the publication of revision 2 started"},
		{"a follower applies an older revision", func(h *controlplanetest.History) { h.Applied[3].Number = 2 },
			(*controlplanetest.History).CheckNoRollback, "f1 put revision 2 in force after revision 3"},
		{"a follower applies a revision twice", func(h *controlplanetest.History) { h.Applied[3].Number = 3 },
			(*controlplanetest.History).CheckNoRollback, "f1 put revision 3 in force after revision 3"},
		{"a machine lacks a revision", func(h *controlplanetest.History) { h.Stored = append(h.Stored[:5], h.Stored[6:]...) },
			(*controlplanetest.History).CheckNoRevisionLost, "b has not stored revision 2, the newest is 4"},
		{"a machine lacks the newest revision", func(h *controlplanetest.History) { h.Stored = h.Stored[:7] },
			(*controlplanetest.History).CheckNoRevisionLost, "b has not stored revision 4, the newest is 4"},
		{"a revision is late at a follower", func(h *controlplanetest.History) { h.Applied[2].AppliedAt = timeAt(13.31) },
			checkInForce, "f1 put revision 3 in force 10ms after the deadline"},
		{"a revision is late after a disconnection", func(h *controlplanetest.History) { h.Applied[4].AppliedAt = timeAt(28.5) },
			checkInForce, "f2 put revision 3 in force 500ms after the deadline"},
		{"a revision is never in force at a follower", func(h *controlplanetest.History) { h.Applied = h.Applied[:4] },
			checkInForce, "f2 never put revision 3 or a later one in force"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.inject(h)
			var found []string
			for _, violation := range c.check(h) {
				found = append(found, violation.Error())
			}
			require.Contains(t, found, c.violation)
			require.NotContains(t, messages(c.check(validHistory())), c.violation)
		})
	}
}

// checkInForce is CheckInForce with the limit of all tests.
func checkInForce(h *controlplanetest.History) []error { return h.CheckInForce(inForceWithin) }

// messages returns the texts of violations.
func messages(violations []error) (list []string) {
	for _, violation := range violations {
		list = append(list, violation.Error())
	}
	return list
}
