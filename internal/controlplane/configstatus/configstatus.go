// Package configstatus merges what several control machines tell of the log and of their brokers into one view for
// operators, and writes it as a table. It does no I/O and takes the time as an argument.
package configstatus

import (
	"cmp"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// Answer is what one control machine said, or why it said nothing.
type Answer struct {
	Address string
	Status  *configpb.StatusResponse // nil: it did not answer
	Err     error                    // why not
}

// View is the merged status.
type View struct {
	Leader       string      `json:"leader"` // "": no machine that answered knows one
	Newest       uint64      `json:"newest"`
	ConfirmedMs  int64       `json:"confirmed_ms"` // since a quorum last confirmed newest; -1: never
	Machines     []Machine   `json:"machines"`
	Connected    int         `json:"connected"` // brokers
	Lagging      []Broker    `json:"behind"`    // connected, and newest is not in force there
	Disconnected []Broker    `json:"cut_off"`   // that follow none of the machines that answered
	Rejections   []Rejection `json:"refusals"`
	Revisions    []Revision  `json:"revisions"` // newest first
}

// Machine is one control machine: a member of the log, or an address that was asked and did not answer.
type Machine struct {
	Name        string `json:"name"` // "": of an address that no member has
	Address     string `json:"address"`
	Role        string `json:"role"` // voter or spare
	Answered    bool   `json:"answered"`
	Error       string `json:"error,omitempty"`
	ReachableBy int    `json:"reachable_by"` // of the others that answered
	Newest      uint64 `json:"newest"`       // of its answer
	ConfirmedMs int64  `json:"confirmed_ms"` // of its answer; -1: never
	Brokers     int    `json:"brokers"`      // that follow it
}

// Broker is the last report of one broker.
type Broker struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	InForce  uint64 `json:"in_force"` // 0: the file of its start
	SilentMs uint32 `json:"silent_ms"`
	Control  string `json:"control"` // name of the machine that heard it last
}

// Rejection is a revision that brokers refused, by the key at fault.
type Rejection struct {
	Number  uint64   `json:"number"`
	Key     string   `json:"key"`
	Reason  string   `json:"reason"`
	Brokers []string `json:"brokers"`
}

// Revision tells when a revision was in force at all brokers that could be reached.
type Revision struct {
	Number       uint64    `json:"number"`
	PublishedAt  time.Time `json:"published"`
	EverywhereAt time.Time `json:"everywhere,omitzero"` // zero: not yet
	EverywhereMs int64     `json:"everywhere_ms"`       // after publication; -1: not yet
	Brokers      uint32    `json:"brokers"`             // connected ones that have it
	Lagging      uint32    `json:"lagging"`             // connected ones that have lacked it for too long
}

// Merge merges the answers. Of a broker that several machines know, the latest word counts.
func Merge(answers []Answer) View {
	view := View{ConfirmedMs: -1}
	statuses := answeredStatuses(answers)
	if best := mostRecentlyConfirmed(statuses); best != nil {
		view.Leader = best.GetLeader()
		view.ConfirmedMs = confirmationAge(best)
	}
	for _, s := range statuses {
		view.Newest = max(view.Newest, s.GetNewest())
	}
	view.Machines = mergeMachines(answers)
	view.Revisions = mergeRevisions(statuses)
	for _, b := range mergeBrokers(statuses) {
		view.addBroker(b)
	}
	return view
}

func answeredStatuses(answers []Answer) (statuses []*configpb.StatusResponse) {
	for _, a := range answers {
		if a.Status != nil {
			statuses = append(statuses, a.Status)
		}
	}
	return statuses
}

// mostRecentlyConfirmed is the status that a quorum confirmed last: it knows best who leads.
func mostRecentlyConfirmed(statuses []*configpb.StatusResponse) (best *configpb.StatusResponse) {
	for _, s := range statuses {
		if best == nil || s.GetConfirmedMs() < best.GetConfirmedMs() {
			best = s
		}
	}
	return best
}

func confirmationAge(s *configpb.StatusResponse) int64 {
	if s.GetConfirmedMs() == distribution.NeverConfirmed {
		return -1
	}
	return int64(s.GetConfirmedMs())
}

// reportedBroker is a broker as the machine with the latest word on it knows it.
type reportedBroker struct {
	*configpb.Broker
	machine string
}

// mergeBrokers returns every broker once, in the order of their names.
func mergeBrokers(statuses []*configpb.StatusResponse) []reportedBroker {
	byName := map[string]reportedBroker{}
	for _, s := range statuses {
		for _, b := range s.GetBrokers() {
			name := b.GetReport().GetName()
			if before, ok := byName[name]; !ok || moreRecent(b, before.Broker) {
				byName[name] = reportedBroker{b, s.GetName()}
			}
		}
	}
	list := make([]reportedBroker, 0, len(byName))
	for _, b := range byName {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b reportedBroker) int {
		return cmp.Compare(a.GetReport().GetName(), b.GetReport().GetName())
	})
	return list
}

// moreRecent tells whether a is the later word on a broker than b: of a later start of it, else of a stream that is open,
// else of the one that was heard last.
func moreRecent(a, b *configpb.Broker) bool {
	if a, b := a.GetReport().GetStartedUnixMs(), b.GetReport().GetStartedUnixMs(); a != b {
		return a > b
	}
	if a.GetConnected() != b.GetConnected() {
		return a.GetConnected()
	}
	return a.GetSilentMs() < b.GetSilentMs()
}

// addBroker books one broker.
func (v *View) addBroker(b reportedBroker) {
	report := b.GetReport()
	row := Broker{Name: report.GetName(), Zone: report.GetZone(), InForce: report.GetInForce(), SilentMs: b.GetSilentMs(),
		Control: b.machine}
	switch {
	case !b.GetConnected():
		v.Disconnected = append(v.Disconnected, row)
	case report.GetInForce() < v.Newest:
		v.Connected++
		v.Lagging = append(v.Lagging, row)
	default:
		v.Connected++
	}
	rejection := report.GetRefusal()
	if rejection == nil || rejection.GetNumber() <= report.GetInForce() {
		return
	}
	for i := range v.Rejections {
		r := &v.Rejections[i]
		if r.Number == rejection.GetNumber() && r.Key == rejection.GetKey() && r.Reason == rejection.GetReason() {
			r.Brokers = append(r.Brokers, row.Name)
			return
		}
	}
	v.Rejections = append(v.Rejections, Rejection{Number: rejection.GetNumber(), Key: rejection.GetKey(),
		Reason: rejection.GetReason(), Brokers: []string{row.Name}})
}
