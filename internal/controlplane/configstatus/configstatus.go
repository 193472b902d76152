// Package configstatus merges the status of several control machines into one view of the replicated log and of the
// brokers, and renders it as a table for operators. It does no I/O and takes the time as an argument.
//
// The JSON keys and the table use the terms that operators know instead of those of the code: behind for lagging, cut off for
// disconnected, refused for rejected.
package configstatus

import (
	"cmp"
	"slices"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// Answer is the outcome of a status request to one control machine.
type Answer struct {
	Address string                   // host:port
	Status  *configpb.StatusResponse // nil: the request failed
	Err     error                    // why the request failed
}

// View is the merged status of all control machines that answered.
type View struct {
	Leader       string      `json:"leader"`       // name; "": unknown to the control machines that answered
	Newest       uint64      `json:"newest"`       // highest revision number at any control machine; 0: none
	ConfirmedMs  int64       `json:"confirmed_ms"` // lowest confirmation age, in milliseconds; -1: never confirmed
	Machines     []Machine   `json:"machines"`
	Connected    int         `json:"connected"` // number of connected brokers
	Lagging      []Broker    `json:"behind"`    // connected, without Newest in force
	Disconnected []Broker    `json:"cut_off"`   // not connected to any control machine that answered
	Rejections   []Rejection `json:"refusals"`
	Revisions    []Revision  `json:"revisions"` // newest first
}

// Machine is one control machine: a member of the replicated log, or an address that did not answer.
type Machine struct {
	Name        string `json:"name"` // "": the address belongs to no member
	Address     string `json:"address"`
	Role        string `json:"role"` // "voter", "spare"; "": unknown
	Answered    bool   `json:"answered"`
	Error       string `json:"error,omitempty"`
	ReachableBy int    `json:"reachable_by"` // number of other control machines that answered and reach it
	Newest      uint64 `json:"newest"`       // revision number in its answer; 0: none, or no answer
	ConfirmedMs int64  `json:"confirmed_ms"` // confirmation age in its answer, in milliseconds; -1: never, or no answer
	Brokers     int    `json:"brokers"`      // number of brokers connected to it
}

// Broker is the most recent status report of one broker.
type Broker struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	InForce  uint64 `json:"in_force"`  // revision number; 0: the startup configuration file
	SilentMs uint32 `json:"silent_ms"` // milliseconds since the report, or since the end of the session if disconnected
	Control  string `json:"control"`   // name of the control machine that received the report
}

// Rejection lists the brokers that rejected a revision for the same key and reason.
type Rejection struct {
	Number  uint64   `json:"number"` // of the revision
	Key     string   `json:"key"`    // in the document
	Reason  string   `json:"reason"`
	Brokers []string `json:"brokers"` // names
}

// Revision is the propagation of one revision to the connected brokers.
type Revision struct {
	Number       uint64    `json:"number"`
	PublishedAt  time.Time `json:"published"`
	EverywhereAt time.Time `json:"everywhere,omitzero"` // when all connected brokers had it in force; zero: not yet
	EverywhereMs int64     `json:"everywhere_ms"`       // milliseconds from publication to EverywhereAt; -1: not yet
	Brokers      uint32    `json:"brokers"`             // number of connected brokers that have it in force
	Lagging      uint32    `json:"lagging"`             // connected brokers without it after distribution.PropagationDeadline
}

// Merge merges the answers. If several control machines have a report of the same broker, the most recent one is used.
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

// answeredStatuses returns the statuses of the control machines that answered.
func answeredStatuses(answers []Answer) (statuses []*configpb.StatusResponse) {
	for _, a := range answers {
		if a.Status != nil {
			statuses = append(statuses, a.Status)
		}
	}
	return statuses
}

// mostRecentlyConfirmed returns the status with the lowest confirmation age, whose leader is most likely the current one. It
// returns nil if there is no status.
func mostRecentlyConfirmed(statuses []*configpb.StatusResponse) (best *configpb.StatusResponse) {
	for _, s := range statuses {
		if best == nil || s.GetConfirmedMs() < best.GetConfirmedMs() {
			best = s
		}
	}
	return best
}

// confirmationAge returns the milliseconds since a quorum last confirmed a control machine's newest revision; -1: never.
func confirmationAge(s *configpb.StatusResponse) int64 {
	if s.GetConfirmedMs() == distribution.NeverConfirmed {
		return -1
	}
	return int64(s.GetConfirmedMs())
}

// reportedBroker is a broker as reported by a control machine.
type reportedBroker struct {
	*configpb.Broker
	controlMachine string // name
}

// mergeBrokers returns the most recent report of each broker, sorted by name.
func mergeBrokers(statuses []*configpb.StatusResponse) []reportedBroker {
	byName := map[string]reportedBroker{}
	for _, s := range statuses {
		for _, b := range s.GetBrokers() {
			name := b.GetReport().GetName()
			if previous, ok := byName[name]; !ok || moreRecent(b, previous.Broker) {
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

// moreRecent reports whether a is more recent than b, for one broker. The later start of the broker's process decides, then
// the open session, then the shorter time since the report.
func moreRecent(a, b *configpb.Broker) bool {
	if a, b := a.GetReport().GetStartedUnixMs(), b.GetReport().GetStartedUnixMs(); a != b {
		return a > b
	}
	if a.GetConnected() != b.GetConnected() {
		return a.GetConnected()
	}
	return a.GetSilentMs() < b.GetSilentMs()
}

// addBroker adds one broker to the view's number of connected brokers and to its lists.
func (v *View) addBroker(b reportedBroker) {
	report := b.GetReport()
	row := Broker{
		Name:     report.GetName(),
		Zone:     report.GetZone(),
		InForce:  report.GetInForce(),
		SilentMs: b.GetSilentMs(),
		Control:  b.controlMachine,
	}
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
	if rejection != nil && rejection.GetNumber() > report.GetInForce() {
		v.addRejection(rejection, row.Name)
	}
}

// addRejection adds a broker to the rejection with the same revision, key and reason, or a new one.
func (v *View) addRejection(rejection *configpb.Refusal, broker string) {
	for i := range v.Rejections {
		r := &v.Rejections[i]
		if r.Number == rejection.GetNumber() && r.Key == rejection.GetKey() && r.Reason == rejection.GetReason() {
			r.Brokers = append(r.Brokers, broker)
			return
		}
	}
	v.Rejections = append(v.Rejections, Rejection{
		Number:  rejection.GetNumber(),
		Key:     rejection.GetKey(),
		Reason:  rejection.GetReason(),
		Brokers: []string{broker},
	})
}
