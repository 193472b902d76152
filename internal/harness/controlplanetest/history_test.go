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

// sound is a history of three revisions, two followers and two machines in which all is well. Request 4 was not
// acknowledged. Follower f2 was cut off from 2 to 20 s.
func sound() *controlplanetest.History {
	return &controlplanetest.History{
		Publications: []controlplanetest.Publication{
			{Request: 1, Checksum: 101, Began: at(0), Ended: at(0.1), Number: 1},
			{Request: 2, Checksum: 102, Began: at(1), Ended: at(1.2), Number: 2},
			{Request: 4, Checksum: 104, Began: at(2), Ended: at(4)},
			{Request: 3, Checksum: 103, Began: at(5), Ended: at(5.3), Number: 3},
		},
		Applied: []controlplanetest.Applied{
			{Follower: "f1", Number: 1, Checksum: 101, At: at(0.2)},
			{Follower: "f2", Number: 2, Checksum: 102, At: at(1.3)},
			{Follower: "f1", Number: 3, Checksum: 103, At: at(9)},
			{Follower: "f1", Number: 4, Checksum: 104, At: at(14)},
			{Follower: "f2", Number: 4, Checksum: 104, At: at(27)},
		},
		Held: []controlplanetest.Held{
			{Machine: "a", Number: 1, Checksum: 101}, {Machine: "a", Number: 2, Checksum: 102},
			{Machine: "a", Number: 3, Checksum: 103}, {Machine: "a", Number: 4, Checksum: 104},
			{Machine: "b", Number: 1, Checksum: 101}, {Machine: "b", Number: 2, Checksum: 102},
			{Machine: "b", Number: 3, Checksum: 103}, {Machine: "b", Number: 4, Checksum: 104},
		},
		Machines:  []string{"a", "b"},
		Followers: []string{"f1", "f2"},
		Excuses:   []controlplanetest.Excuse{{Follower: "f2", From: at(2), To: at(20)}},
	}
}

func TestCheckersFindNothingInASoundHistory(t *testing.T) {
	require.Empty(t, sound().Check(inForceWithin))
}

// Each checker finds the fault that is planted for it.
func TestCheckersFindPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(*controlplanetest.History)
		check func(*controlplanetest.History) []error
		fault string
	}{
		{"a machine with another content", func(h *controlplanetest.History) { h.Held[5].Checksum = 103 },
			(*controlplanetest.History).CheckOneContent, "revision 2 has content 66 at publisher of request 2 and 67 at b"},
		{"a follower with another content", func(h *controlplanetest.History) { h.Applied[1].Checksum = 103 },
			(*controlplanetest.History).CheckOneContent, "revision 2 has content 66 at publisher of request 2 and 67 at f2"},
		{"a content that nobody published", func(h *controlplanetest.History) { h.Applied[4].Checksum = 200 },
			(*controlplanetest.History).CheckOneContent, "f2 has revision 4 with content c8 that nobody published"},
		{"a number given twice", func(h *controlplanetest.History) { h.Publications[3].Number = 2 },
			(*controlplanetest.History).CheckOneNumber, "requests 2 and 3 both have number 2"},
		{"a later publication with a lower number", func(h *controlplanetest.History) { h.Publications[0].Number = 9 },
			(*controlplanetest.History).CheckOrder, "revision 9 was acknowledged before the publication of 2 began"},
		{"a follower that goes back", func(h *controlplanetest.History) { h.Applied[3].Number = 2 },
			(*controlplanetest.History).CheckNeverBack, "f1 put revision 2 in force after 3"},
		{"a revision in force twice", func(h *controlplanetest.History) { h.Applied[3].Number = 3 },
			(*controlplanetest.History).CheckNeverBack, "f1 put revision 3 in force after 3"},
		{"a log with a lost number", func(h *controlplanetest.History) { h.Held = append(h.Held[:5], h.Held[6:]...) },
			(*controlplanetest.History).CheckNothingLost, "b has lost revision 2 of 4"},
		{"a log with a lost end", func(h *controlplanetest.History) { h.Held = h.Held[:7] },
			(*controlplanetest.History).CheckNothingLost, "b has lost revision 4 of 4"},
		{"a revision that is late", func(h *controlplanetest.History) { h.Applied[2].At = at(13.31) },
			inForce, "f1 had revision 3 in force 10ms after it was due"},
		{"a revision that is late after an excuse", func(h *controlplanetest.History) { h.Applied[4].At = at(28.5) },
			inForce, "f2 had revision 3 in force 500ms after it was due"},
		{"a revision that never comes", func(h *controlplanetest.History) { h.Applied = h.Applied[:4] },
			inForce, "f2 never had revision 3 in force"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := sound()
			c.plant(h)
			var found []string
			for _, fault := range c.check(h) {
				found = append(found, fault.Error())
			}
			require.Contains(t, found, c.fault)
			require.NotContains(t, texts(c.check(sound())), c.fault)
		})
	}
}

func inForce(h *controlplanetest.History) []error { return h.CheckInForce(inForceWithin) }

func texts(faults []error) (list []string) {
	for _, fault := range faults {
		list = append(list, fault.Error())
	}
	return list
}
