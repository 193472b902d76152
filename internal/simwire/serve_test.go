package simwire_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"

	"mothrouter/internal/decision"
	"mothrouter/internal/simwire"
)

// profile is a valid profileData. It has keys that the decision module does not use.
const profile = `{"classes":[{"deadlineS":2,"objectiveS":1,"semantics":"free","worth":1}],` +
	`"caps":{"sendCap":3},"familyInfo":{"cells":1,"reach":1},"peersTotal":1,"novelty":{"x":[1]}}`

// recordingDecider is a Decider that records its events and returns fixed actions.
type recordingDecider struct {
	events  *[]string
	actions []decision.Action
}

func (d recordingDecider) Handle(now float64, events []decision.Event) []decision.Action {
	for _, event := range events {
		*d.events = append(*d.events, fmt.Sprintf("%g %+v", now, event))
	}
	return d.actions
}

// serve runs Serve on in. The Deciders record their events and answer each batch with actions.
func serve(in string, actions ...decision.Action) (events []string, reply string, err error) {
	var out bytes.Buffer
	err = simwire.Serve(strings.NewReader(in), &out, func(decision.Settings, uint64) decision.Decider {
		return recordingDecider{&events, actions}
	})
	return events, out.String(), err
}

// tick returns a batch with the given lines.
func tick(lines ...string) string {
	return "tick nowS=8.41225 frame=12\n" + strings.Join(lines, "\n") + "\neob\n"
}

// openInstance3 is a line that starts instance 3.
const openInstance3 = "open_instance mixer=3 rngSeed=9 profileData=" + profile

func TestServeReadsEachEvent(t *testing.T) {
	const none = "{InFlight:-1 QueueLength:-1 Utilization:-1 Latency:-1 Rate:-1 ErrorRate:-1}"
	for _, test := range []struct{ line, want string }{
		{"new_request mixer=3 msgId=5 entity=9 qos=1 slice=-1 query=2 clientDeadlineS=8.65 isRetry=1 costS=0.01" +
			" clientGroup=4 update=1 measure=6",
			"{ID:5 Number:2 Class:1 Tenant:4 Key:9 Parts:6 Deadline:8.65 Retry:true Work:0.01 Write:true ReceivedAt:0}"},
		{"new_request measure=0.125 query=2 slice=7 msgId=6 mixer=3 future=x",
			"{ID:6 QueryNumber:2 Shard:7 Weight:0.125 Key:0 Work:0}"},
		{"begun mixer=3 msgId=6 searcher=a:1 spentS=0.1 shot=1", "{ID:6 Attempt:1 Server:a:1}"},
		{"finished mixer=3 msgId=6 shot=0 searcher=a:1 rc=success spentS=0.0185 closed=1",
			"{ID:6 Attempt:0 Server:a:1 Status:0 Latency:0.0185 PartConcluded:true LoadReport:" + none + "}"},
		{"finished mixer=3 msgId=6 shot=2 searcher=a:1 rc=void stats=q:3,busy:0.5,rif:4,lat_ms:90,rate:7,fail_rate:1,x:2",
			"{ID:6 Attempt:2 Server:a:1 Status:7 Latency:0 PartConcluded:false LoadReport:" +
				"{InFlight:4 QueueLength:3 Utilization:0.5 Latency:0.09 Rate:7 ErrorRate:1}}"},
		{"hangup mixer=3 msgId=5", "{ID:5}"},
		{"probe_result mixer=3 searcher=a:1 rc=unreachable spentS=0.2",
			"{Server:a:1 Status:4 Latency:0.2 LoadReport:" + none + "}"},
		{"reminder mixer=3 nonce=77", "{Token:77}"},
		{"neighbour_says mixer=3 srcPeer=1 raw=aGk=", "{From:1 Data:[104 105]}"},
		{"update mixer=3 mode=broken version=4 rosterId=9", "{Mode:3 Version:4 Servers:[]}"},
	} {
		events, reply, err := serve(tick(openInstance3, test.line))
		if err != nil || len(events) != 1 || events[0] != "8.41225 "+test.want {
			t.Errorf("%s\n got %v, %v\nwant %s", test.line, events, err, test.want)
		}
		if reply != "ok frame=12\n" {
			t.Errorf("%s: got reply %q, want %q", test.line, reply, "ok frame=12\n")
		}
	}
}

func TestServeRedefinesEndpointListsWithinABatch(t *testing.T) {
	endpointList := func(server, state string) string {
		return "census rosterId=0 nodesList=1\nsearcher searcher=" + server + " cell=2 status=" + state +
			" capacityHint=1.5 lastStartS=6.1"
	}
	events, _, err := serve(tick(openInstance3, endpointList("a:1", "IN"), "update mixer=3 mode=stale_copy version=1 rosterId=0",
		endpointList("b:1", "LAME"), "update mixer=3 mode=patch version=2 rosterId=0",
		endpointList("b:1", "OUT"), "update mixer=3 mode=whole version=3 rosterId=0"))
	want := []string{
		"8.41225 {Mode:2 Version:1 Servers:[{ID:a:1 Zone:0 Kind:0 ReplicaSet:2 State:0 Capacity:1.5 StartedAt:6.1}]}",
		"8.41225 {Mode:0 Version:2 Servers:[{ID:b:1 Zone:0 Kind:0 ReplicaSet:2 State:1 Capacity:1.5 StartedAt:6.1}]}",
		"8.41225 {Mode:1 Version:3 Servers:[{ID:b:1 Zone:0 Kind:0 ReplicaSet:2 State:2 Capacity:1.5 StartedAt:6.1}]}",
	}
	if err != nil || !reflect.DeepEqual(events, want) {
		t.Errorf("got %v, %v\nwant %v", events, err, want)
	}
}

func TestServeWritesEachAction(t *testing.T) {
	for _, test := range []struct {
		action decision.Action
		want   string
	}{
		{decision.Send{ID: 6, Server: "a:1", Timeout: 0.08}, "dispatch mixer=3 msgId=6 searcher=a:1 withinS=0.080000"},
		{decision.Send{ID: 6, Server: "a:1"}, "dispatch mixer=3 msgId=6 searcher=a:1"},
		{decision.Respond{ID: 5, Complete: true}, "assemble mixer=3 msgId=5 complete=1"},
		{decision.Respond{ID: 5}, "assemble mixer=3 msgId=5 complete=0"},
		{decision.Reject{ID: 5, RetryAfter: 0.5}, "decline mixer=3 msgId=5 notBeforeForS=0.500000"},
		{decision.Reject{ID: 5}, "decline mixer=3 msgId=5"},
		{decision.Fail{ID: 5}, "fail mixer=3 msgId=5"},
		{decision.Cancel{ID: 6, Attempt: 2}, "retract mixer=3 msgId=6 shot=2"},
		{decision.SetTimer{Token: 77, At: 8.91225}, "after mixer=3 nonce=77 alarmTimeS=8.912250"},
		{decision.CheckHealth{Server: "a:1"}, "sample mixer=3 searcher=a:1"},
		{decision.WatchEndpoints{On: true}, "observe mixer=3 complete=1"},
		{decision.FetchEndpoints{}, "lookup mixer=3"},
		{decision.Log{Line: "two\nlines"}, "record mixer=3 line=two lines"},
	} {
		_, reply, err := serve(tick(openInstance3, "reminder mixer=3 nonce=1"), test.action)
		if want := test.want + "\nok frame=12\n"; err != nil || reply != want {
			t.Errorf("%#v: got %q, %v, want %q", test.action, reply, err, want)
		}
	}
}

func TestServeErrorsNameLineMessageAndField(t *testing.T) {
	for _, test := range []struct{ in, want string }{
		{"hello\n", "line 1: hello: expected a tick line"},
		{"tick frame=1\neob\n", "line 1: tick: field nowS: missing"},
		{"tick nowS=x frame=1\neob\n", `line 1: tick: field nowS: cannot read "x"`},
		{"tick nowS=1 frame=1\n", "line 1: the input ends inside a batch"},
		{tick("open_instance mixer=3 rngSeed=9 profileData={"), "line 2: open_instance: field profileData: "},
		{tick(openInstance3, "finished mixer=3 msgId=6 shot=0 searcher=a:1 rc=odd"), `line 3: finished: field rc: cannot read "odd"`},
		{tick(openInstance3, "finished mixer=3 msgId=6 shot=0 searcher=a:1 rc=void stats=q"), "field stats: cannot read"},
		{tick(openInstance3, "reminder mixer=3"), "line 3: reminder: field nonce: missing"},
		{tick(openInstance3, "reminder mixer=3 nonce"), "line 3: reminder: expected name=value pairs"},
		{tick(openInstance3, "hangup mixer=3 msgId=1e9"), "line 3: hangup: field msgId"},
		{tick(openInstance3, "update mixer=3 mode=patch version=1 rosterId=4"), "field rosterId: census 4 is not defined"},
		{tick("census rosterId=16 nodesList=0"), "field rosterId: 16 is out of range 0 to 15"},
		{tick("census rosterId=1 nodesList=1", "hangup mixer=3 msgId=5"), "expected a searcher line"},
		{tick("census rosterId=1 nodesList=1", "searcher searcher=a:1 status=UP"), `field status: cannot read "UP"`},
		{tick("reminder mixer=3 nonce=1"), "for mixer 3, which is not running"},
	} {
		_, _, err := serve(test.in)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: got %v, want %q", test.in, err, test.want)
		}
	}
}

func TestServeDropsEventsOfAClosedInstance(t *testing.T) {
	events, _, err := serve(tick(openInstance3, "reminder mixer=3 nonce=1", "detach mixer=3", openInstance3, "reminder mixer=3 nonce=2") +
		tick("detach mixer=3"))
	if err != nil || len(events) != 1 || events[0] != "8.41225 {Token:2}" {
		t.Errorf("got %v, %v; want only the event after the restart", events, err)
	}
}

func TestServeReportsAPanicAsBailOut(t *testing.T) {
	var out bytes.Buffer
	err := simwire.Serve(strings.NewReader(tick(openInstance3, "reminder mixer=3 nonce=1")), &out,
		func(decision.Settings, uint64) decision.Decider { return recordingDecider{} })
	if err != nil || !strings.HasPrefix(out.String(), "bail_out mixer=3 line=panic: ") {
		t.Errorf("got %q, %v", out.String(), err)
	}
}

func TestServeSkipsUnknownEventsAndReadsLongBatches(t *testing.T) {
	lines := []string{openInstance3, "weather mixer=3 sky=blue"}
	for i := range 50000 {
		lines = append(lines, fmt.Sprint("reminder mixer=3 nonce=", i))
	}
	events, reply, err := serve(tick(lines...))
	if err != nil || len(events) != 50000 || reply != "ok frame=12\n" {
		t.Errorf("got %d events, reply %q, %v; want 50000 events", len(events), reply, err)
	}
}

func FuzzDecoderNeverPanics(f *testing.F) {
	f.Add(tick(openInstance3, "reminder mixer=3 nonce=1"))
	f.Add("tick nowS=1 frame=1\ncensus rosterId=0 nodesList=9\n")
	f.Fuzz(func(t *testing.T, in string) {
		d := simwire.NewDecoder(strings.NewReader(in))
		for {
			if _, err := d.Next(); err != nil {
				if !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "line ") {
					t.Errorf("error %q names no line", err)
				}
				return
			}
		}
	})
}
