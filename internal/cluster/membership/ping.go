package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

type outstandingPing struct {
	target        uint64
	sentAt        time.Duration
	expiresAt     time.Duration
	requester     uint64 // a member that wants to know; 0: this one
	requestNumber uint32
}

// ping sends a ping, and remembers for whom. It tells whether it was sent.
func (v *View) ping(to netip.AddrPort, id uint64, d *planepb.Datagram, requester uint64, requestNumber uint32) bool {
	if len(v.outstandingPings) >= maxOutstandingPings {
		return false
	}
	v.lastPingNumber = max(v.lastPingNumber+1, 1)
	wait := pingTimeout
	if requester != 0 {
		wait = indirectPingTimeout
	}
	d.Ping = v.lastPingNumber
	if !v.send(to, d, &v.probeBudget) {
		return false
	}
	v.outstandingPings[v.lastPingNumber] = outstandingPing{id, v.now, v.now + wait, requester, requestNumber}
	return true
}

// acknowledge answers a ping, and introduces this member where that is asked.
func (v *View) acknowledge(m *member, d *planepb.Datagram) {
	if d.Ping == 0 && !d.Who {
		return
	}
	if d.Who {
		v.send(m.Addr, &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self)}, &v.probeBudget)
		return
	}
	v.send(m.Addr, &planepb.Datagram{Pong: d.Ping}, nil)
}

// handleAck takes an answer to a ping, sent by this member for itself or for one that asked for an indirect ping.
func (v *View) handleAck(m *member, d *planepb.Datagram) {
	p, ok := v.outstandingPings[d.Pong]
	if d.Pong == 0 || !ok || p.target != m.id {
		return
	}
	delete(v.outstandingPings, d.Pong)
	if m.state.status() == Lost {
		v.applyState(m, m.state.refuted())
	}
	m.lastContact, m.silentSince = v.now, v.now
	if asker := v.byID[p.requester]; asker != nil {
		v.send(asker.Addr, &planepb.Datagram{About: m.id, Tell: p.requestNumber, Heard: true}, &v.probeBudget)
	}
}
