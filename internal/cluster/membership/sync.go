package membership

import (
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// requestSync asks another for what this roster lacks, while there are others than it.
func (v *View) requestSync() {
	if v.now < v.nextSyncAt || v.now-v.rosterDivergedAt >= divergenceWindow {
		return
	}
	v.nextSyncAt = v.now + syncInterval/2 + time.Duration(v.rng.Int64N(int64(syncInterval)))
	known := v.pickRandom(1, func(m *member) bool { return v.now-m.lastContact < aliveWindow && m.lastContact > 0 })
	if len(known) == 0 {
		known = v.pickRandom(1, anyMember)
	}
	for _, m := range known {
		v.send(m.Addr, v.fillSyncRequest(&planepb.Datagram{}), &v.gossipBudget)
	}
}

// fillSyncRequest asks for what is not so in a slice of this roster; the next time it is the next slice.
func (v *View) fillSyncRequest(d *planepb.Datagram) *planepb.Datagram {
	v.lastSyncSlice = (v.lastSyncSlice + 1) % rosterSlices
	d.Sync, d.Seq, d.Slice = true, v.nextSeq(), v.lastSyncSlice
	for _, m := range v.roster {
		if h := entryHash(m, d.Seq); m.id%rosterSlices == uint64(v.lastSyncSlice) && len(d.Have) < maxEntriesSize-100 {
			d.Have = append(d.Have, byte(h), byte(h>>8))
		}
	}
	return d
}

// entryHash is a hash of an instance and its state in two bytes. It is another one in each datagram, so that two of the
// same are told apart by the next.
func entryHash(m *member, seq uint64) uint16 { return uint16(plane.Hash(m.id, uint64(m.state), seq)) }

// sendMissingEntries sends instances that another lacks or holds in another state, as many as fit. Which of many it sends is
// drawn: others send it more.
func (v *View) sendMissingEntries(m *member, d *planepb.Datagram) {
	has := make(map[uint16]bool, len(d.Have)/2)
	for i := 0; i+1 < len(d.Have); i += 2 {
		has[uint16(d.Have[i])|uint16(d.Have[i+1])<<8] = true
	}
	page := &planepb.Datagram{}
	from := v.rng.IntN(len(v.roster))
	for i := range v.roster {
		o := v.roster[(from+i)%len(v.roster)]
		if o.id%rosterSlices != uint64(d.Slice) || has[entryHash(o, d.Seq)] || v.isNearlyReaped(o) {
			continue
		}
		if page.Entries = append(page.Entries, v.entry(o)); plane.WireSize(page) > maxEntriesSize {
			page.Entries = page.Entries[:len(page.Entries)-1]
			break
		}
	}
	if len(page.Entries) > 0 {
		v.send(m.Addr, page, &v.gossipBudget)
	}
}

// isNearlyReaped tells that an instance is about to be forgotten and is no longer told of, so that it does not come
// back from one that forgets it later.
func (v *View) isNearlyReaped(m *member) bool {
	return !v.isAlive(m) && v.now-m.stateSince > v.retention(m)-gossipStopLead
}

// entry is an instance as it is told to others.
func (v *View) entry(m *member) *planepb.Entry {
	addr, _ := m.Addr.MarshalBinary() // fails for no address
	e := &planepb.Entry{Name: m.Name, Start: m.Start, Addr: addr, State: uint32(m.state)}
	if !v.isAlive(m) {
		e.Age = uint32((v.now - m.stateSince).Seconds())
	}
	return e
}
