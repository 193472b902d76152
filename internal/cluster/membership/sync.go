package membership

import (
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// requestSync requests, while member lists differ, the entries that a slice of this member list lacks: anti-entropy with one
// random member, preferably one with a recent contact.
func (v *View) requestSync() {
	if v.now < v.nextSyncAt || v.now-v.divergedAt >= divergenceWindow {
		return
	}
	v.nextSyncAt = v.now + syncInterval/2 + time.Duration(v.rng.Int64N(int64(syncInterval)))
	hasRecentContact := func(m *member) bool { return m.lastContact > 0 && v.now-m.lastContact < aliveWindow }
	peers := v.pickRandom(1, hasRecentContact)
	if len(peers) == 0 {
		peers = v.pickRandom(1, anyMember)
	}
	for _, m := range peers {
		v.send(m.Addr, v.nextSyncRequest(), &v.gossipBudget)
	}
}

// nextSyncRequest returns a sync request for the next slice of the member list, with the hash of each instance in that slice.
func (v *View) nextSyncRequest() *planepb.Datagram {
	v.lastSyncSlice = (v.lastSyncSlice + 1) % syncSlices
	d := &planepb.Datagram{Sync: true, Seq: v.nextSeq(), Slice: v.lastSyncSlice}
	for _, m := range v.memberList {
		if sliceOf(m) == d.Slice && len(d.Have) < maxHashesSize {
			hash := entryHash(m, d.Seq)
			d.Have = append(d.Have, byte(hash), byte(hash>>8))
		}
	}
	return d
}

// sliceOf returns the slice of the member list that an instance belongs to.
func sliceOf(m *member) uint32 { return uint32(m.id % syncSlices) }

// entryHash returns a 16-bit hash of an instance and its state. It is salted with the sequence number of the request, so that
// two instances whose hashes collide in one request differ in the next.
func entryHash(m *member, seq uint64) uint16 { return uint16(plane.Hash(m.id, uint64(m.state), seq)) }

// sendMissingEntries answers a sync request with the entries of the requested slice that the requester lacks or has in another
// state, as many as fit into a datagram. It starts at a random instance, since other members may answer the same request.
func (v *View) sendMissingEntries(requester *member, request *planepb.Datagram) {
	heldHashes := make(map[uint16]bool, len(request.Have)/2)
	for i := 0; i+1 < len(request.Have); i += 2 {
		heldHashes[uint16(request.Have[i])|uint16(request.Have[i+1])<<8] = true
	}
	response := &planepb.Datagram{}
	first := v.rng.IntN(len(v.memberList))
	for i := range v.memberList {
		m := v.memberList[(first+i)%len(v.memberList)]
		if sliceOf(m) != request.Slice || heldHashes[entryHash(m, request.Seq)] || v.isNearlyReaped(m) {
			continue
		}
		if !v.appendEntry(response, m) {
			break
		}
	}
	if len(response.Entries) > 0 {
		v.send(requester.Addr, response, &v.gossipBudget)
	}
}

// appendEntry appends an instance's entry to a datagram if the datagram stays within maxEntriesSize, and reports whether it
// appended the entry.
func (v *View) appendEntry(d *planepb.Datagram, m *member) bool {
	d.Entries = append(d.Entries, v.entry(m))
	if plane.WireSize(d) <= maxEntriesSize {
		return true
	}
	d.Entries = d.Entries[:len(d.Entries)-1]
	return false
}

// isNearlyReaped reports whether a tombstone is within gossipStopLead of the end of its retention.
func (v *View) isNearlyReaped(m *member) bool {
	return !v.isAlive(m) && v.now-m.stateSince > v.retention(m)-gossipStopLead
}

// entry returns the entry that describes an instance to other members. It includes the age of a tombstone, so that all members
// reap it at about the same time.
func (v *View) entry(m *member) *planepb.Entry {
	addr, _ := m.Addr.MarshalBinary() // never fails
	e := &planepb.Entry{Name: m.Name, Start: m.Start, Addr: addr, State: uint32(m.state)}
	if !v.isAlive(m) {
		e.Age = uint32((v.now - m.stateSince).Seconds())
	}
	return e
}
