package membership

import (
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// pushUpdates gossips changes to random members. Normally gossipFanout members receive the state vector, which has all states
// for a receiver with the same member list. While member lists differ, a vector cannot be interpreted: one member receives
// the changed entries only, and members request the other entries that they lack (requestSync).
func (v *View) pushUpdates() {
	diverged := v.now-v.divergedAt < divergenceWindow
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

// collectPendingUpdates returns the instances whose entries have to be pushed, and clears their pending flags.
func (v *View) collectPendingUpdates() []*member {
	var updates []*member
	for _, m := range v.memberList {
		if m.gossipPending {
			updates = append(updates, m)
			m.gossipPending = false
		}
	}
	return updates
}

// appendEntries appends the entries of instances to a datagram, as many as fit into it.
func (v *View) appendEntries(d *planepb.Datagram, instances []*member) {
	for _, m := range instances {
		if !v.appendEntry(d, m) {
			return
		}
	}
}

// mergeGossip merges the entries and the state vector of a member's datagram, and sends that member the entries and states it
// lacks. A vector refers to the sender's member list and is ignored if the digests show that the member lists differ. A
// sender whose states differ and that has sent no vector receives one.
func (v *View) mergeGossip(m *member, d *planepb.Datagram) {
	for _, e := range d.Entries {
		v.mergeEntry(e)
	}
	if d.Sync {
		v.sendMissingEntries(m, d)
	}
	if d.Roster != v.digest.instances {
		v.divergedAt = v.now
		return
	}
	if d.States == v.digest.states {
		return
	}
	senderIsBehind := len(d.Vector) == 0
	if len(d.Vector) == len(v.memberList) {
		senderIsBehind = v.mergeVector(d.Vector)
	}
	if senderIsBehind {
		v.send(m.Addr, &planepb.Datagram{Vector: v.stateVector()}, &v.gossipBudget)
	}
}

// mergeVector merges a state vector of the same member list. It reports whether self has a later state for any instance.
func (v *View) mergeVector(vector []byte) bool {
	senderIsBehind := false
	for i, b := range vector {
		m := v.memberList[i]
		if m == v.self {
			v.adoptOwnState(state(b))
			continue
		}
		v.applyState(m, state(b))
		senderIsBehind = senderIsBehind || m.state != state(b)
	}
	return senderIsBehind
}

// stateVector returns the states of the member list, one byte per instance.
func (v *View) stateVector() []byte {
	vector := make([]byte, len(v.memberList))
	for i, m := range v.memberList {
		vector[i] = byte(m.state)
	}
	return vector
}

// adoptOwnState adopts a later state that other members have for self, so that the digests agree until a member refutes that
// state. Members still reports self as Alive.
func (v *View) adoptOwnState(s state) {
	if s.supersedes(v.self.state) && s.status() != Left && !v.leaving {
		v.updateDigest(v.self, -1)
		v.self.state = s
		v.self.stateSince = v.now
		v.updateDigest(v.self, 1)
	}
}

// mergeEntry merges an entry. It adds an unknown instance unless maxInstances or MaxMembers has been reached.
func (v *View) mergeEntry(e *planepb.Entry) {
	i := instanceFromEntry(e)
	s := state(e.State)
	m := v.byID[i.ID()]
	switch {
	case m == v.self:
		v.adoptOwnState(s)
	case m != nil:
		v.applyState(m, s)
	case len(v.memberList) >= maxInstances || s.status() == Alive && v.aliveCount >= MaxMembers:
	default:
		m = v.add(i, s)
		m.stateSince -= time.Duration(min(e.Age, maxEntryAge)) * time.Second
	}
}

// maxEntryAge is the upper bound applied to the age in an entry, in seconds: no tombstone is retained for longer.
const maxEntryAge = uint32(tombstoneRetention / time.Second)
