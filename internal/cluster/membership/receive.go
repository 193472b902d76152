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
		v.receiveUnknown(addr, d)
		return v.flush()
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
			v.answerPing(m, d)
			v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
			return v.flush()
		}
	default:
		m.lastContact, m.silentSince = v.now, v.now
		clear(m.confirmations)
	}
	v.answerPing(m, d)
	v.receivePong(m, d)
	if d.Leave {
		v.set(m, m.state.in(Left))
	}
	if !v.alive(m) {
		return v.flush()
	}
	v.receiveIndirect(m, d)
	v.learn(m, d)
	return v.flush()
}

// receiveUnknown takes a datagram of an instance that is not known. The instance has to answer a ping before it is taken
// in, since a late datagram of one that was forgotten must not bring it back. Its own ping is answered, with the same
// question.
func (v *View) receiveUnknown(addr netip.AddrPort, d *planepb.Datagram) {
	p, ok := v.pings[d.Pong]
	if !ok || d.Pong == 0 || p.to != 0 && p.to != d.From || d.Self == nil {
		v.DroppedDatagrams++
		met := v.now >= v.introduceAt || d.Ping != 0
		if met {
			v.introduceAt = v.now + introduceInterval
			met = v.ping(addr, 0, &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self), Who: true}, 0, 0)
		}
		if !met && d.Ping != 0 {
			v.send(addr, &planepb.Datagram{Pong: d.Ping}, nil) // it lives, whoever asks
		}
		return
	}
	delete(v.pings, d.Pong)
	if len(v.roster) >= maxRoster || v.living >= MaxMembers {
		return
	}
	m := v.add(instance(d.Self), 0)
	m.acceptSeq(d.Seq)
	m.lastContact = v.now
	v.answerPing(m, d)
	v.learn(m, d)
}

// Leave returns the farewell of this member. It is told to the neighbours and some others, who spread it.
func (v *View) Leave(now time.Duration) []Send {
	v.advance(now)
	v.left = true
	v.sum(v.self, -1)
	v.self.state = v.self.state.in(Left)
	v.sum(v.self, 1)
	told := append(v.pick(fanout, anyMember), v.observers...)
	for _, m := range told {
		v.send(m.Addr, &planepb.Datagram{Leave: true}, nil)
	}
	return v.flush()
}
