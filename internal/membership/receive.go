package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/plane"
	"mothrouter/internal/plane/planepb"
)

// Receive takes a datagram that plane.Parse has read, and returns what to send. It came from an address.
func (v *View) Receive(now time.Duration, addr netip.AddrPort, d *planepb.Datagram) []Send {
	v.advance(now)
	m := v.byID[d.From]
	switch {
	case m == v.self:
		v.Drops++ // one of its own, or of another that claims to be it
		return nil
	case m == nil:
		v.stranger(addr, d)
		return v.take()
	case !m.fresh(d.Seq):
		v.Drops++
		return nil
	}
	switch m.state.status() {
	case Left:
		return nil
	case Lost:
		// A word of the dead may be late. Only the answer to a number that was sent after the verdict shows that it lives.
		if d.Pong == 0 {
			v.pong(m, d)
			v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
			return v.take()
		}
	default:
		m.heard, m.silent = v.now, v.now
		clear(m.tells)
	}
	v.pong(m, d)
	v.ponged(m, d)
	if d.Leave {
		v.set(m, m.state.in(Left))
	}
	if !v.alive(m) {
		return v.take()
	}
	v.help(m, d)
	v.learn(m, d)
	return v.take()
}

// fresh takes a number once. Those that are far behind the latest count as taken.
func (m *member) fresh(seq uint64) bool {
	switch {
	case seq > m.seq:
		m.seen = m.seen<<min(seq-m.seq, 64) | 1
		m.seq = seq
		return true
	case m.seq-seq >= 64 || m.seen>>(m.seq-seq)&1 == 1:
		return false
	}
	m.seen |= 1 << (m.seq - seq)
	return true
}

// stranger meets an instance that is not known: it has to answer a ping before it is taken in, since a late word of
// one that was forgotten must not bring it back. What it pinged is answered, with the same question.
func (v *View) stranger(addr netip.AddrPort, d *planepb.Datagram) {
	p, ok := v.pings[d.Pong]
	if !ok || d.Pong == 0 || p.to != 0 && p.to != d.From || d.Self == nil {
		v.Drops++
		met := v.now >= v.meetAt || d.Ping != 0
		if met {
			v.meetAt = v.now + meetEvery
			met = v.ping(addr, 0, &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self), Who: true}, 0, 0)
		}
		if !met && d.Ping != 0 {
			v.send(addr, &planepb.Datagram{Pong: d.Ping}, nil) // it lives, whoever asks
		}
		return
	}
	delete(v.pings, d.Pong)
	if len(v.roster) >= rosterMost || v.living >= Most {
		return
	}
	m := v.add(instance(d.Self), 0)
	m.fresh(d.Seq)
	m.heard = v.now
	v.pong(m, d)
	v.learn(m, d)
}

func instance(e *planepb.Entry) Instance { return Instance{e.Name, e.Start, plane.Addr(e)} }

// pong answers a ping, and introduces this member where that is asked.
func (v *View) pong(m *member, d *planepb.Datagram) {
	if d.Ping == 0 && !d.Who {
		return
	}
	if d.Who {
		v.send(m.Addr, &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self)}, &v.urgent)
		return
	}
	v.send(m.Addr, &planepb.Datagram{Pong: d.Ping}, nil)
}

// ponged takes an answer to a ping: a sign of life for this member, or for one that asked for help.
func (v *View) ponged(m *member, d *planepb.Datagram) {
	p, ok := v.pings[d.Pong]
	if d.Pong == 0 || !ok || p.to != m.id {
		return
	}
	delete(v.pings, d.Pong)
	if m.state.status() == Lost {
		v.set(m, m.state.revived())
	}
	m.heard, m.silent = v.now, v.now
	if asker := v.byID[p.asker]; asker != nil {
		v.send(asker.Addr, &planepb.Datagram{About: m.id, Tell: p.ask, Heard: true}, &v.urgent)
	}
}

// help pings a member for another, and takes what helpers tell.
func (v *View) help(m *member, d *planepb.Datagram) {
	about := v.byID[d.About]
	switch {
	case about == nil:
	case d.Ask != 0 && about == v.self:
		v.send(m.Addr, &planepb.Datagram{}, &v.urgent)
	case d.Ask != 0 && v.now-about.heard < recent && about.heard > 0:
		v.send(m.Addr, &planepb.Datagram{About: about.id, Tell: d.Ask, Heard: true}, &v.urgent)
	case d.Ask != 0:
		v.ping(about.Addr, about.id, &planepb.Datagram{}, m.id, d.Ask)
	case d.Tell != 0 && d.Heard:
		about.silent, about.heard = v.now, v.now
		clear(about.tells)
	case d.Tell != 0 && about.observed && v.now-about.silent >= askAfter && len(about.tells) < rosterMost:
		about.tells[m.id] = v.now
	}
}

// learn takes news of instances and states, and tells the sender where it is behind.
func (v *View) learn(m *member, d *planepb.Datagram) {
	for _, e := range d.Entries {
		v.hear(e)
	}
	if d.Sync {
		v.page(m, d)
	}
	if d.Roster != v.sums.roster {
		v.differs = v.now
		return
	}
	switch {
	case d.States == v.sums.states:
	case len(d.Vector) == len(v.roster):
		ahead := false
		for i, b := range d.Vector {
			o := v.roster[i]
			if o == v.self {
				v.claim(state(b))
				continue
			}
			v.set(o, state(b))
			ahead = ahead || o.state != state(b)
		}
		if ahead {
			v.send(m.Addr, &planepb.Datagram{Vector: v.vector()}, &v.bulk)
		}
	case len(d.Vector) == 0:
		v.send(m.Addr, &planepb.Datagram{Vector: v.vector()}, &v.bulk)
	}
}

// claim answers a verdict on this member itself: it lives, and says so, unless it ends.
func (v *View) claim(s state) {
	if s.beats(v.self.state) && s.status() != Left && !v.leaving {
		v.sum(v.self, -1)
		v.self.state, v.self.since = s, v.now // what others hold of it, until one has had its answer to a ping
		v.sum(v.self, 1)
	}
}

// hear takes an instance at second hand.
func (v *View) hear(e *planepb.Entry) {
	i, s := instance(e), state(e.State)
	m := v.byID[i.ID()]
	switch {
	case m == v.self:
		v.claim(s)
	case m != nil:
		v.set(m, s)
	case len(v.roster) >= rosterMost || s.status() == Alive && v.living >= Most:
	default:
		m = v.add(i, s)
		m.since -= time.Duration(min(e.Age, uint32(forgetTime/time.Second))) * time.Second
	}
}

// page sends instances that another lacks or holds in another state, as many as fit. Which of many it sends is drawn: others send it more.
func (v *View) page(m *member, d *planepb.Datagram) {
	has := make(map[uint16]bool, len(d.Have)/2)
	for i := 0; i+1 < len(d.Have); i += 2 {
		has[uint16(d.Have[i])|uint16(d.Have[i+1])<<8] = true
	}
	page := &planepb.Datagram{}
	from := v.rng.IntN(len(v.roster))
	for i := range v.roster {
		o := v.roster[(from+i)%len(v.roster)]
		if o.id%slicesN != uint64(d.Slice) || has[short(o, d.Seq)] || !v.alive(o) && v.now-o.since > v.lasts(o)-forgetLead {
			continue
		}
		if page.Entries = append(page.Entries, v.entry(o)); plane.Size(page) > pageMost {
			page.Entries = page.Entries[:len(page.Entries)-1]
			break
		}
	}
	if len(page.Entries) > 0 {
		v.send(m.Addr, page, &v.bulk)
	}
}

// Leave returns the farewell of this member. It is told to the neighbours and some others, who spread it.
func (v *View) Leave(now time.Duration) []Send {
	v.advance(now)
	v.leaving = true
	v.sum(v.self, -1)
	v.self.state = v.self.state.in(Left)
	v.sum(v.self, 1)
	told := append(v.some(spread, anyone), v.observers...)
	for _, m := range told {
		v.send(m.Addr, &planepb.Datagram{Leave: true}, nil)
	}
	return v.take()
}

// ---- what others use ----

// Count is how a broker's fleet stands. Brokers are names: the two processes of a replacement are one.
type Count struct {
	Alive   int // brokers that live, this one included
	Known   int // brokers that live or are lost, but have not left
	Sharing int // brokers to divide a common share by
	Fenced  bool
}

// Count tells how the fleet stands. Who is cut off looks like one who is dead, so the lost keep their part of what is
// shared: only a side that sees more than half of all may divide it by those that it sees, and only once those that it
// lost must know that they are the minority. A broker that has been in a minority for that long is fenced: it uses no
// part at all. A fleet that truly lost most of its brokers is fenced as well, until they are back or forgotten.
func (v *View) Count() Count { return v.count() }

func (v *View) count() (c Count) {
	names := map[string]Status{}
	latest := map[string]time.Duration{}
	for _, m := range v.roster {
		s := m.state.status()
		if m == v.self {
			s = Alive
		}
		if s == Left {
			continue
		}
		if old, ok := names[m.Name]; !ok || s < old {
			names[m.Name] = s
		}
		latest[m.Name] = max(latest[m.Name], m.since)
	}
	recent := 0
	for name, s := range names {
		if s == Alive {
			c.Alive++
		} else if v.now-latest[name] < 2*fencedTime {
			recent++
		}
	}
	c.Known = len(names)
	if 2*c.Alive > c.Known && !v.deaf() {
		v.minor = -1
		c.Sharing = c.Alive + recent
		return c
	}
	if v.minor < 0 {
		v.minor = v.now
	}
	c.Sharing, c.Fenced = c.Known, v.now-v.minor >= fencedTime
	return c
}

// deaf tells that nobody whom this member observes is heard: more likely it is cut off than all of them are dead.
func (v *View) deaf() bool {
	for _, m := range v.targets {
		if !m.doubted && v.now-m.silent < lostAfter {
			return false
		}
	}
	return len(v.targets) > 0
}

// Members are all instances known, but for those that were forgotten, in the order of their numbers.
func (v *View) Members() []Member {
	var all []Member
	for _, m := range v.roster {
		s := m.state.status()
		if m == v.self && !v.leaving {
			s = Alive
		}
		all = append(all, Member{m.Instance, s})
	}
	return all
}

// Fingerprint is equal where two brokers see the same instances in the same states.
func (v *View) Fingerprint() uint64 { return uint64(v.sums.roster)<<32 | uint64(v.sums.states) }
