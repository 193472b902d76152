package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// Receive handles a datagram that plane.Parse has accepted, from an address, and returns the datagrams to send.
func (v *View) Receive(now time.Duration, addr netip.AddrPort, d *planepb.Datagram) []Send {
	v.advance(now)
	m := v.byID[d.From]
	switch {
	case m == v.self: // self's own datagram, or one of a peer that claims its ID
		v.DroppedDatagrams++
		return nil
	case m == nil:
		v.handleUnknownSender(addr, d)
		return v.drainOutbox()
	case !m.acceptSeq(d.Seq):
		v.DroppedDatagrams++
		return nil
	}
	v.handleMember(m, d)
	return v.drainOutbox()
}

// handleMember handles a datagram of a member of the roster. From a lost member only an ack counts, since any other datagram
// may have been delayed since before the verdict; the member is pinged for one. A member that has left is ignored.
func (v *View) handleMember(m *member, d *planepb.Datagram) {
	switch m.state.status() {
	case Left:
		return
	case Lost:
		if d.Pong == 0 {
			v.acknowledge(m, d)
			v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
			return
		}
	default:
		v.recordContact(m)
		clear(m.confirmations)
	}
	v.acknowledge(m, d)
	v.handleAck(m, d)
	if d.Leave {
		v.applyState(m, m.state.withStatus(Left))
	}
	if v.isAlive(m) {
		v.handleIndirect(m, d)
		v.mergeGossip(m, d)
	}
}

// handleUnknownSender handles a datagram of an instance that is not in the roster. The instance is added only if the datagram
// introduces it in an ack, since a delayed datagram of a reaped instance must not bring it back. Anything else is dropped,
// but answered by an introduction request.
func (v *View) handleUnknownSender(addr netip.AddrPort, d *planepb.Datagram) {
	p, outstanding := v.outstandingPings[d.Pong]
	introduces := outstanding && d.Pong != 0 && (p.target == 0 || p.target == d.From) && d.Self != nil
	if !introduces {
		v.DroppedDatagrams++
		v.requestIntroduction(addr, d)
		return
	}
	delete(v.outstandingPings, d.Pong)
	if len(v.roster) >= maxRoster || v.aliveCount >= MaxMembers {
		return
	}
	m := v.add(instanceFromEntry(d.Self), 0)
	m.acceptSeq(d.Seq)
	m.lastContact = v.now
	v.acknowledge(m, d)
	v.mergeGossip(m, d)
}

// requestIntroduction pings an unknown sender and requests its introduction, at most once an introductionInterval unless it
// has sent a ping. The same datagram acks that ping; if it cannot be sent, a plain ack is.
func (v *View) requestIntroduction(addr netip.AddrPort, d *planepb.Datagram) {
	isPing := d.Ping != 0
	requested := false
	if isPing || v.now >= v.nextIntroductionAt {
		v.nextIntroductionAt = v.now + introductionInterval
		request := &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self), Who: true}
		requested = v.ping(addr, 0, request, 0, 0)
	}
	if isPing && !requested {
		v.send(addr, &planepb.Datagram{Pong: d.Ping}, nil)
	}
}

// Leave marks self as left and returns the announcements of it, to the observers and some random members, which gossip it.
// A driver may call it again to repeat them.
func (v *View) Leave(now time.Duration) []Send {
	v.advance(now)
	v.leaving = true
	v.updateDigest(v.self, -1)
	v.self.state = v.self.state.withStatus(Left)
	v.updateDigest(v.self, 1)
	recipients := append(v.pickRandom(gossipFanout, anyMember), v.observers...)
	for _, m := range recipients {
		v.send(m.Addr, &planepb.Datagram{Leave: true}, nil)
	}
	return v.drainOutbox()
}
