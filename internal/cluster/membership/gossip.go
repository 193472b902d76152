package membership

import (
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// push tells some others of what is new. A vector says it all to those with the same roster, and only to them.
func (v *View) push() {
	differs, told := v.now-v.differedAt < divergenceWindow, fanout
	if differs {
		// While rosters differ, what another lacks is better sent when it asks: then it is only that.
		told, v.pushAt = 1, v.now+pushInterval
	}
	var news []*member
	for _, m := range v.roster {
		if m.gossipPending {
			news = append(news, m)
			m.gossipPending = false
		}
	}
	for _, m := range v.pick(told, anyMember) {
		d := &planepb.Datagram{Vector: v.vector()}
		if differs {
			d.Vector = nil
			for i := range news {
				if d.Entries = append(d.Entries, v.entry(news[i])); plane.WireSize(d) > maxEntriesSize {
					d.Entries = d.Entries[:len(d.Entries)-1]
					break
				}
			}
		}
		v.send(m.Addr, d, &v.gossipBudget)
	}
}

// learn takes news of instances and states, and tells the sender where it is behind.
func (v *View) learn(m *member, d *planepb.Datagram) {
	for _, e := range d.Entries {
		v.learnEntry(e)
	}
	if d.Sync {
		v.sendMissing(m, d)
	}
	if d.Roster != v.sums.roster {
		v.differedAt = v.now
		return
	}
	switch {
	case d.States == v.sums.states:
	case len(d.Vector) == len(v.roster):
		ahead := false
		for i, b := range d.Vector {
			o := v.roster[i]
			if o == v.self {
				v.acceptOwnState(state(b))
				continue
			}
			v.set(o, state(b))
			ahead = ahead || o.state != state(b)
		}
		if ahead {
			v.send(m.Addr, &planepb.Datagram{Vector: v.vector()}, &v.gossipBudget)
		}
	case len(d.Vector) == 0:
		v.send(m.Addr, &planepb.Datagram{Vector: v.vector()}, &v.gossipBudget)
	}
}

// vector is the state of each instance of the roster.
func (v *View) vector() []byte {
	b := make([]byte, len(v.roster))
	for i, m := range v.roster {
		b[i] = byte(m.state)
	}
	return b
}

// acceptOwnState answers a verdict on this member itself: it lives, and says so, unless it ends.
func (v *View) acceptOwnState(s state) {
	if s.supersedes(v.self.state) && s.status() != Left && !v.left {
		v.sum(v.self, -1)
		v.self.state, v.self.since = s, v.now // what others hold of it, until one has had its answer to a ping
		v.sum(v.self, 1)
	}
}

// learnEntry takes an instance at second hand.
func (v *View) learnEntry(e *planepb.Entry) {
	i, s := instance(e), state(e.State)
	m := v.byID[i.ID()]
	switch {
	case m == v.self:
		v.acceptOwnState(s)
	case m != nil:
		v.set(m, s)
	case len(v.roster) >= maxRoster || s.status() == Alive && v.living >= MaxMembers:
	default:
		m = v.add(i, s)
		m.since -= time.Duration(min(e.Age, uint32(lostRetention/time.Second))) * time.Second
	}
}
