package configstatus

import (
	"cmp"
	"slices"

	"mothrouter/internal/controlplane/configpb"
)

// mergeMachines returns the members in all answers, sorted by name, followed by the addresses that did not answer and belong
// to no member. If the answers differ about a member, the one with the lowest confirmation age is used.
func mergeMachines(answers []Answer) []Machine {
	statuses := answeredStatuses(answers)
	slices.SortStableFunc(statuses, func(a, b *configpb.StatusResponse) int {
		return cmp.Compare(a.GetConfirmedMs(), b.GetConfirmedMs())
	})
	var list []Machine
	find := func(match func(Machine) bool) *Machine {
		if i := slices.IndexFunc(list, match); i >= 0 {
			return &list[i]
		}
		return nil
	}
	for _, s := range statuses {
		for _, m := range s.GetMembers() {
			row := find(func(listed Machine) bool { return listed.Name == m.GetName() })
			if row == nil {
				list = append(list, Machine{Name: m.GetName(), Address: m.GetAddress(), Role: role(m), ConfirmedMs: -1})
				row = &list[len(list)-1]
			}
			if m.GetReachable() && m.GetName() != s.GetName() {
				row.ReachableBy++
			}
		}
	}
	slices.SortFunc(list, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	for _, a := range answers {
		row := find(func(listed Machine) bool {
			if a.Status != nil {
				return listed.Name == a.Status.GetName()
			}
			return listed.Address == a.Address
		})
		if row == nil {
			list = append(list, Machine{Name: a.Status.GetName(), Address: a.Address, ConfirmedMs: -1})
			row = &list[len(list)-1]
		}
		row.addAnswer(a)
	}
	return list
}

// role returns a member's role in the replicated log.
func role(m *configpb.Member) string {
	if m.GetVoter() {
		return "voter"
	}
	return "spare"
}

// addAnswer sets the fields that come from the control machine's own answer.
func (m *Machine) addAnswer(a Answer) {
	if a.Status == nil {
		if !m.Answered && a.Err != nil {
			m.Error = a.Err.Error()
		}
		return
	}
	m.Answered, m.Error = true, ""
	m.Newest, m.ConfirmedMs = a.Status.GetNewest(), confirmationAge(a.Status)
	m.Brokers = countConnected(a.Status)
}

// countConnected returns the number of brokers connected to a control machine.
func countConnected(s *configpb.StatusResponse) (count int) {
	for _, b := range s.GetBrokers() {
		if b.GetConnected() {
			count++
		}
	}
	return count
}
