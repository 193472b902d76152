package membership

import (
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// pushUpdates tells some others of what is new. A vector says it all to those with the same roster, and only to them.
func (v *View) pushUpdates() {
	differs, told := v.now-v.rosterDivergedAt < divergenceWindow, gossipFanout
	if differs {
		// While rosters differ, what another lacks is better sent when it asks: then it is only that.
		told, v.nextPushAt = 1, v.now+pushInterval
	}
	var news []*member
	for _, m := range v.roster {
		if m.gossipPending {
			news = append(news, m)
			m.gossipPending = false
		}
	}
	for _, m := range v.pickRandom(told, anyMember) {
		d := &planepb.Datagram{Vector: v.stateVector()}
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

// mergeGossip takes news of instances and states, and tells the sender where it is behind.
func (v *View) mergeGossip(m *member, d *planepb.Datagram) {
	for _, e := range d.Entries {
		v.mergeEntry(e)
	}
	if d.Sync {
		v.sendMissingEntries(m, d)
	}
	if d.Roster != v.digest.roster {
		v.rosterDivergedAt = v.now
		return
	}
	switch {
	case d.States == v.digest.states:
	case len(d.Vector) == len(v.roster):
		ahead := false
		for i, b := range d.Vector {
			o := v.roster[i]
			if o == v.self {
				v.adoptOwnState(state(b))
				continue
			}
			v.applyState(o, state(b))
			ahead = ahead || o.state != state(b)
		}
		if ahead {
			v.send(m.Addr, &planepb.Datagram{Vector: v.stateVector()}, &v.gossipBudget)
		}
	case len(d.Vector) == 0:
		v.send(m.Addr, &planepb.Datagram{Vector: v.stateVector()}, &v.gossipBudget)
	}
}

// stateVector is the state of each instance of the roster.
func (v *View) stateVector() []byte {
	b := make([]byte, len(v.roster))
	for i, m := range v.roster {
		b[i] = byte(m.state)
	}
	return b
}

// adoptOwnState answers a verdict on this member itself: it lives, and says so, unless it ends.
func (v *View) adoptOwnState(s state) {
	if s.supersedes(v.self.state) && s.status() != Left && !v.leaving {
		v.updateDigest(v.self, -1)
		v.self.state, v.self.stateSince = s, v.now // what others hold of it, until one has had its answer to a ping
		v.updateDigest(v.self, 1)
	}
}

// mergeEntry takes an instance at second hand.
func (v *View) mergeEntry(e *planepb.Entry) {
	i, s := instanceFromEntry(e), state(e.State)
	m := v.byID[i.ID()]
	switch {
	case m == v.self:
		v.adoptOwnState(s)
	case m != nil:
		v.applyState(m, s)
	case len(v.roster) >= maxRoster || s.status() == Alive && v.aliveCount >= MaxMembers:
	default:
		m = v.add(i, s)
		m.stateSince -= time.Duration(min(e.Age, uint32(tombstoneRetention/time.Second))) * time.Second
	}
}
