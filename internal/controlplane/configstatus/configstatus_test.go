package configstatus_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/configstatus"
	"mothrouter/internal/controlplane/distribution"
)

const (
	publishedMs   = 1_700_000_000_000
	propagationMs = 1_500
)

func broker(name string, inForce uint64, connected bool, silentMs uint32) *configpb.Broker {
	return &configpb.Broker{
		Report:    &configpb.Report{Name: name, Zone: "z1", StartedUnixMs: 1, InForce: inForce},
		Connected: connected, SilentMs: silentMs,
	}
}

func members() []*configpb.Member {
	return []*configpb.Member{
		{Name: "a", Address: "127.0.0.1:1", Voter: true, Reachable: true},
		{Name: "b", Address: "127.0.0.2:1", Voter: true, Reachable: true},
		{Name: "c", Address: "127.0.0.3:1", Voter: true},
		{Name: "d", Address: "127.0.0.4:1", Reachable: true},
	}
}

// answers returns answers of a and b, and failed requests to c and to an unknown address; d was not asked.
func answers() []configstatus.Answer {
	rejecting := broker("n3", 6, true, 300)
	rejecting.Report.Refusal = &configpb.Refusal{Number: 7, Key: "settings.classes", Reason: "needs a restart"}
	return []configstatus.Answer{
		{Address: "127.0.0.1:1", Status: &configpb.StatusResponse{
			Name: "a", Leader: "a", Newest: 7, ConfirmedMs: 40, Members: members(),
			Brokers: []*configpb.Broker{broker("n1", 7, true, 100), broker("n2", 6, false, 9_000)},
			InForce: []*configpb.InForce{
				{Number: 7, PublishedUnixMs: publishedMs, EverywhereUnixMs: publishedMs + propagationMs, Brokers: 1},
				{Number: 6, PublishedUnixMs: publishedMs - 100, EverywhereUnixMs: publishedMs - 50, Brokers: 1},
			},
		}},
		{Address: "127.0.0.2:1", Status: &configpb.StatusResponse{
			Name: "b", Leader: "", Newest: 6, ConfirmedMs: distribution.NeverConfirmed, Members: members(),
			Brokers: []*configpb.Broker{broker("n2", 6, true, 50), rejecting, broker("n4", 5, false, 70_000)},
			InForce: []*configpb.InForce{
				{Number: 6, PublishedUnixMs: publishedMs - 100, EverywhereUnixMs: publishedMs - 20, Brokers: 2},
			},
		}},
		{Address: "127.0.0.3:1", Err: errors.New("connection refused")},
		{Address: "127.0.0.9:1", Err: errors.New("timeout")},
	}
}

func TestMergeUsesMostRecentReportOfEachBroker(t *testing.T) {
	v := configstatus.Merge(answers())
	require.Equal(t, "a", v.Leader)
	require.Equal(t, uint64(7), v.Newest)
	require.Equal(t, int64(40), v.ConfirmedMs)
	require.Equal(t, 3, v.Connected)
	require.Equal(t, []configstatus.Broker{
		{Name: "n2", Zone: "z1", InForce: 6, SilentMs: 50, Control: "b"},
		{Name: "n3", Zone: "z1", InForce: 6, SilentMs: 300, Control: "b"},
	}, v.Lagging)
	require.Equal(t, []configstatus.Broker{{Name: "n4", Zone: "z1", InForce: 5, SilentMs: 70_000, Control: "b"}}, v.Disconnected)
	require.Equal(t, []configstatus.Rejection{
		{Number: 7, Key: "settings.classes", Reason: "needs a restart", Brokers: []string{"n3"}},
	}, v.Rejections)
}

func TestMergeInForceEverywhereRequiresAllMachinesWithBrokers(t *testing.T) {
	v := configstatus.Merge(answers())
	require.Len(t, v.Revisions, 2)
	require.Equal(t, uint64(7), v.Revisions[0].Number)
	require.Equal(t, int64(-1), v.Revisions[0].EverywhereMs, "b has brokers but not revision 7")
	require.Equal(t, int64(80), v.Revisions[1].EverywhereMs, "the later time of both control machines")
	require.Equal(t, uint32(3), v.Revisions[1].Brokers)

	withoutBrokers := answers()
	withoutBrokers[1].Status.Brokers = nil
	v = configstatus.Merge(withoutBrokers)
	require.Equal(t, int64(propagationMs), v.Revisions[0].EverywhereMs)
}

func TestMergeListsMachinesThatDidNotAnswer(t *testing.T) {
	v := configstatus.Merge(answers())
	require.Equal(t, []configstatus.Machine{
		{Name: "a", Address: "127.0.0.1:1", Role: "voter", Answered: true, ReachableBy: 1, Newest: 7, ConfirmedMs: 40,
			Brokers: 1},
		{Name: "b", Address: "127.0.0.2:1", Role: "voter", Answered: true, ReachableBy: 1, Newest: 6, ConfirmedMs: -1,
			Brokers: 2},
		{Name: "c", Address: "127.0.0.3:1", Role: "voter", Error: "connection refused", ConfirmedMs: -1},
		{Name: "d", Address: "127.0.0.4:1", Role: "spare", ReachableBy: 2, ConfirmedMs: -1},
		{Address: "127.0.0.9:1", Error: "timeout", ConfirmedMs: -1},
	}, v.Machines)
}

func TestMergeWithoutAnswers(t *testing.T) {
	v := configstatus.Merge([]configstatus.Answer{{Address: "127.0.0.1:1", Err: errors.New("timeout")}})
	require.Empty(t, v.Leader)
	require.Equal(t, int64(-1), v.ConfirmedMs)
	require.Len(t, v.Machines, 1)
}

func TestWriteRendersTable(t *testing.T) {
	var table strings.Builder
	now := time.UnixMilli(publishedMs).Add(time.Minute)
	require.NoError(t, configstatus.Merge(answers()).Write(&table, now, 10))
	require.Equal(t, `newest revision 7, leader a, confirmed by a quorum 0.0 s ago

MACHINE  ADDRESS      ROLE   NEWEST  CONFIRMED  BROKERS  REACHED BY  STATE
a        127.0.0.1:1  voter  7       0.0 s ago  1        1           answers
b        127.0.0.2:1  voter  6       never      2        1           1 behind
c        127.0.0.3:1  voter  -       -          -        0           no answer: connection refused
d        127.0.0.4:1  spare  -       -          -        2           no answer: not asked
?        127.0.0.9:1  ?      -       -          -        0           no answer: timeout

REVISION  PUBLISHED  IN FORCE EVERYWHERE  HAVE IT  LAGGING
7         1m0s ago   not yet              1        0
6         1m0s ago   after 0.1 s          3        0

brokers: 3 connected, 2 behind, 1 cut off
behind: n2 (6 in force), n3 (6 in force)
cut off: n4 (5 in force)
revision 7 refused by 1 brokers, settings.classes: needs a restart (n3)
`, table.String())
}
