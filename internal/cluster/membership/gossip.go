package membership

import (
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// pushUpdates gossips what has changed to random members: to gossipFanout of them the state vector, which is complete for
// all members with the same roster. While rosters differ a vector is of no use, and one member receives the changed entries
// alone; what else is missing is requested by those that miss it (requestSync).
func (v *View) pushUpdates() {
	diverged := v.now-v.rosterDivergedAt < divergenceWindow
	fanout := gossipFanout
	if diverged {
		fanout = 1
		v.nextPushAt = v.now + pushInterval
	}
	updates := v.collectPendingUpdates()
	for _, m := range v.pickRandom(fanout, anyMember) {
		d := &planepb.Datagram{}
		if diverged {
			v.appendEntries(d, updates)
		} else {
			d.Vector = v.stateVector()
		}
		v.send(m.Addr, d, &v.gossipBudget)
	}
}

// collectPendingUpdates returns the instances whose entries are due with this push.
func (v *View) collectPendingUpdates() []*member {
	var updates []*member
	for _, m := range v.roster {
		if m.gossipPending {
			updates = append(updates, m)
			m.gossipPending = false
		}
	}
	return updates
}

// appendEntries appends the entries of instances to a datagram, as many as fit.
func (v *View) appendEntries(d *planepb.Datagram, instances []*member) {
	for _, m := range instances {
		if !v.appendEntry(d, m) {
			return
		}
	}
}

// mergeGossip merges the entries and the state vector of a member's datagram, and sends that member what it lacks. A vector
// refers to the sender's roster and is ignored if the digests show that the rosters differ. A sender whose states differ, and
// who has sent no vector, is sent one.
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
	if d.States == v.digest.states {
		return
	}
	senderIsBehind := len(d.Vector) == 0
	if len(d.Vector) == len(v.roster) {
		senderIsBehind = v.mergeVector(d.Vector)
	}
	if senderIsBehind {
		v.send(m.Addr, &planepb.Datagram{Vector: v.stateVector()}, &v.gossipBudget)
	}
}

// mergeVector merges a state vector of the same roster. It reports whether self holds a later state of any instance.
func (v *View) mergeVector(vector []byte) bool {
	senderIsBehind := false
	for i, b := range vector {
		m := v.roster[i]
		if m == v.self {
			v.adoptOwnState(state(b))
			continue
		}
		v.applyState(m, state(b))
		senderIsBehind = senderIsBehind || m.state != state(b)
	}
	return senderIsBehind
}

// stateVector returns the states of the roster, a byte an instance.
func (v *View) stateVector() []byte {
	vector := make([]byte, len(v.roster))
	for i, m := range v.roster {
		vector[i] = byte(m.state)
	}
	return vector
}

// adoptOwnState adopts a later state that others hold of self, so that the digests agree, until one of them refutes it.
// Members reports self as Alive all the same.
func (v *View) adoptOwnState(s state) {
	if s.supersedes(v.self.state) && s.status() != Left && !v.leaving {
		v.updateDigest(v.self, -1)
		v.self.state = s
		v.self.stateSince = v.now
		v.updateDigest(v.self, 1)
	}
}

// mergeEntry merges an entry. An unknown instance is added, within the bounds of the roster.
func (v *View) mergeEntry(e *planepb.Entry) {
	i := instanceFromEntry(e)
	s := state(e.State)
	m := v.byID[i.ID()]
	switch {
	case m == v.self:
		v.adoptOwnState(s)
	case m != nil:
		v.applyState(m, s)
	case len(v.roster) >= maxRoster || s.status() == Alive && v.aliveCount >= MaxMembers:
	default:
		m = v.add(i, s)
		m.stateSince -= time.Duration(min(e.Age, maxEntryAge)) * time.Second
	}
}

// maxEntryAge bounds the age that an entry may claim, in seconds: no tombstone is older.
const maxEntryAge = uint32(tombstoneRetention / time.Second)
