package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// Receive takes a datagram that plane.Parse has read, and returns what to send. It came from an address.
func (v *View) Receive(now time.Duration, addr netip.AddrPort, d *planepb.Datagram) []Send {
	v.advance(now)
	m := v.byID[d.From]
	switch {
	case m == v.self:
		v.DroppedDatagrams++ // one of its own, or of another that claims to be it
		return nil
	case m == nil:
		v.handleUnknownSender(addr, d)
		return v.takeOutbox()
	case !m.acceptSeq(d.Seq):
		v.DroppedDatagrams++
		return nil
	}
	switch m.state.status() {
	case Left:
		return nil
	case Lost:
		// A word of the dead may be late. Only the answer to a number that was sent after the verdict shows that it lives.
		if d.Pong == 0 {
			v.acknowledge(m, d)
			v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
			return v.takeOutbox()
		}
	default:
		m.lastContact, m.silentSince = v.now, v.now
		clear(m.confirmations)
	}
	v.acknowledge(m, d)
	v.handleAck(m, d)
	if d.Leave {
		v.applyState(m, m.state.withStatus(Left))
	}
	if !v.isAlive(m) {
		return v.takeOutbox()
	}
	v.handleIndirect(m, d)
	v.mergeGossip(m, d)
	return v.takeOutbox()
}

// handleUnknownSender takes a datagram of an instance that is not known. The instance has to answer a ping before it is taken
// in, since a late datagram of one that was forgotten must not bring it back. Its own ping is answered, with the same
// question.
func (v *View) handleUnknownSender(addr netip.AddrPort, d *planepb.Datagram) {
	p, ok := v.outstandingPings[d.Pong]
	if !ok || d.Pong == 0 || p.target != 0 && p.target != d.From || d.Self == nil {
		v.DroppedDatagrams++
		met := v.now >= v.nextIntroductionAt || d.Ping != 0
		if met {
			v.nextIntroductionAt = v.now + introductionInterval
			met = v.ping(addr, 0, &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self), Who: true}, 0, 0)
		}
		if !met && d.Ping != 0 {
			v.send(addr, &planepb.Datagram{Pong: d.Ping}, nil) // it lives, whoever asks
		}
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

// Leave returns the farewell of this member. It is told to the neighbours and some others, who spread it.
func (v *View) Leave(now time.Duration) []Send {
	v.advance(now)
	v.leaving = true
	v.updateDigest(v.self, -1)
	v.self.state = v.self.state.withStatus(Left)
	v.updateDigest(v.self, 1)
	told := append(v.pickRandom(gossipFanout, anyMember), v.observers...)
	for _, m := range told {
		v.send(m.Addr, &planepb.Datagram{Leave: true}, nil)
	}
	return v.takeOutbox()
}
