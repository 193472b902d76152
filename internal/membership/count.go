package membership

import "time"

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
	if 2*c.Alive > c.Known && !v.isolated() {
		v.minoritySince = -1
		c.Sharing = c.Alive + recent
		return c
	}
	if v.minoritySince < 0 {
		v.minoritySince = v.now
	}
	c.Sharing, c.Fenced = c.Known, v.now-v.minoritySince >= fencedTime
	return c
}
