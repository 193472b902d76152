package controlplanetest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/controlplanetest"
)

const inForceWithin = 8 * time.Second

var epoch = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// validHistory returns a history of four revisions, two followers and two machines without violations. Request 4 was not
// acknowledged. Follower f2 was disconnected from 2 to 20 s.
func validHistory() *controlplanetest.History {
	return &controlplanetest.History{
		Publications: []controlplanetest.Publication{
			{Request: 1, Checksum: 101, StartedAt: at(0), EndedAt: at(0.1), Number: 1},
			{Request: 2, Checksum: 102, StartedAt: at(1), EndedAt: at(1.2), Number: 2},
			{Request: 4, Checksum: 104, StartedAt: at(2), EndedAt: at(4)},
			{Request: 3, Checksum: 103, StartedAt: at(5), EndedAt: at(5.3), Number: 3},
		},
		Applied: []controlplanetest.Applied{
			{Follower: "f1", Number: 1, Checksum: 101, At: at(0.2)},
			{Follower: "f2", Number: 2, Checksum: 102, At: at(1.3)},
			{Follower: "f1", Number: 3, Checksum: 103, At: at(9)},
			{Follower: "f1", Number: 4, Checksum: 104, At: at(14)},
			{Follower: "f2", Number: 4, Checksum: 104, At: at(27)},
		},
		Stored: []controlplanetest.Stored{
			{Machine: "a", Number: 1, Checksum: 101}, {Machine: "a", Number: 2, Checksum: 102},
			{Machine: "a", Number: 3, Checksum: 103}, {Machine: "a", Number: 4, Checksum: 104},
			{Machine: "b", Number: 1, Checksum: 101}, {Machine: "b", Number: 2, Checksum: 102},
			{Machine: "b", Number: 3, Checksum: 103}, {Machine: "b", Number: 4, Checksum: 104},
		},
		Machines:       []string{"a", "b"},
		Followers:      []string{"f1", "f2"},
		Disconnections: []controlplanetest.Disconnection{{Follower: "f2", From: at(2), To: at(20)}},
	}
}

func TestCheckPassesValidHistory(t *testing.T) {
	require.Empty(t, validHistory().Check(inForceWithin))
}

// Each checker finds the fault that is planted for it.
func TestEachCheckerFindsItsFault(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(*controlplanetest.History)
		check func(*controlplanetest.History) []error
		fault string
	}{
		{"a machine with another content", func(h *controlplanetest.History) { h.Stored[5].Checksum = 103 },
			(*controlplanetest.History).CheckUniqueContents, "revision 2 has content 66 at publisher of request 2 and 67 at b"},
		{"a follower with another content", func(h *controlplanetest.History) { h.Applied[1].Checksum = 103 },
			(*controlplanetest.History).CheckUniqueContents, "revision 2 has content 66 at publisher of request 2 and 67 at f2"},
		{"a content that was not published", func(h *controlplanetest.History) { h.Applied[4].Checksum = 200 },
			(*controlplanetest.History).CheckUniqueContents, "f2 has revision 4 with content c8 that was not published"},
		{"a number given twice", func(h *controlplanetest.History) { h.Publications[3].Number = 2 },
			(*controlplanetest.History).CheckUniqueNumbers, "requests 2 and 3 both have number 2"},
		{"a later publication with a lower number", func(h *controlplanetest.History) { h.Publications[0].Number = 9 },
			(*controlplanetest.History).CheckPublicationOrder, "revision 9 was acknowledged before the publication of 2 began"},
		{"a follower that goes back", func(h *controlplanetest.History) { h.Applied[3].Number = 2 },
			(*controlplanetest.History).CheckNoRollback, "f1 put revision 2 in force after 3"},
		{"a revision in force twice", func(h *controlplanetest.History) { h.Applied[3].Number = 3 },
			(*controlplanetest.History).CheckNoRollback, "f1 put revision 3 in force after 3"},
		{"a log with a lost number", func(h *controlplanetest.History) { h.Stored = append(h.Stored[:5], h.Stored[6:]...) },
			(*controlplanetest.History).CheckNoRevisionLost, "b has lost revision 2 of 4"},
		{"a log with a lost end", func(h *controlplanetest.History) { h.Stored = h.Stored[:7] },
			(*controlplanetest.History).CheckNoRevisionLost, "b has lost revision 4 of 4"},
		{"a revision that is late", func(h *controlplanetest.History) { h.Applied[2].At = at(13.31) },
			inForce, "f1 had revision 3 in force 10ms after it was due"},
		{"a revision that is late after a disconnection", func(h *controlplanetest.History) { h.Applied[4].At = at(28.5) },
			inForce, "f2 had revision 3 in force 500ms after it was due"},
		{"a revision that never comes", func(h *controlplanetest.History) { h.Applied = h.Applied[:4] },
			inForce, "f2 never had revision 3 in force"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.plant(h)
			var found []string
			for _, fault := range c.check(h) {
				found = append(found, fault.Error())
			}
			require.Contains(t, found, c.fault)
			require.NotContains(t, messages(c.check(validHistory())), c.fault)
		})
	}
}

func inForce(h *controlplanetest.History) []error { return h.CheckInForce(inForceWithin) }

func messages(faults []error) (list []string) {
	for _, fault := range faults {
		list = append(list, fault.Error())
	}
	return list
}
