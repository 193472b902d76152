package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/plane/planepb"
)

type ping struct {
	to    uint64
	at    time.Duration
	until time.Duration
	asker uint64 // who wants to know; 0: nobody
	ask   uint32
}

// ping sends a ping, and remembers for whom. It tells whether it was sent.
func (v *View) ping(to netip.AddrPort, id uint64, d *planepb.Datagram, asker uint64, ask uint32) bool {
	if len(v.pings) >= openPingsMost {
		return false
	}
	v.lastPing = max(v.lastPing+1, 1)
	wait := pingFor
	if asker != 0 {
		wait = askWait
	}
	d.Ping = v.lastPing
	if !v.send(to, d, &v.probeBudget) {
		return false
	}
	v.pings[v.lastPing] = ping{id, v.now, v.now + wait, asker, ask}
	return true
}

// answerPing answers a ping, and introduces this member where that is asked.
func (v *View) answerPing(m *member, d *planepb.Datagram) {
	if d.Ping == 0 && !d.Who {
		return
	}
	if d.Who {
		v.send(m.Addr, &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self)}, &v.probeBudget)
		return
	}
	v.send(m.Addr, &planepb.Datagram{Pong: d.Ping}, nil)
}

// receivePong takes an answer to a ping: a sign of life for this member, or for one that asked for help.
func (v *View) receivePong(m *member, d *planepb.Datagram) {
	p, ok := v.pings[d.Pong]
	if d.Pong == 0 || !ok || p.to != m.id {
		return
	}
	delete(v.pings, d.Pong)
	if m.state.status() == Lost {
		v.set(m, m.state.revived())
	}
	m.heard, m.silentSince = v.now, v.now
	if asker := v.byID[p.asker]; asker != nil {
		v.send(asker.Addr, &planepb.Datagram{About: m.id, Tell: p.ask, Heard: true}, &v.probeBudget)
	}
}
