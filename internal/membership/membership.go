// Package membership keeps one broker's view of which brokers of its fleet live. It does no I/O and keeps no clock: a
// driver hands in the time and the datagrams that came, and sends those that it returns. docs/fleet.md weighs the
// options and tells how the parts work together.
//
// Members are instances: a broker's name with the start of its process. Each beats to a few observers, its successors
// on several rings of all members. An observer that has heard nothing of a member for some time has others ping it, and
// only with their word that it is silent for them too, and not merely for the observer, takes it for lost. States
// travel as one vector of the whole fleet, a byte a member, and the later one always wins.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mothrouter/internal/plane"
	"mothrouter/internal/plane/planepb"
)

const (
	// Most is how many members there may be. Instances of the past take room until they are forgotten.
	Most       = 500
	rosterMost = 2 * Most

	rings     = 6                      // of observers; each member has as many, and observes as many
	beatEvery = 250 * time.Millisecond // to each observer
	// lostAfter is how long a member must have been silent: longer than the longest pause that it may make (4 s) and a
	// beat, and short enough that all know of a death within 5 s.
	lostAfter = 4450 * time.Millisecond
	// Of silence, others are asked, and again. That is twice before the verdict: where most members die at once, each
	// that is left observes several of the dead, and all that is asked has to fit into what may be sent.
	askAfter   = 2200 * time.Millisecond
	askEvery   = 1500 * time.Millisecond
	askWait    = 300 * time.Millisecond  // that a helper waits for an answer
	helpers    = 2                       // asked at once
	agreeing   = 2                       // helpers that have to find it silent too
	freshTell  = 2500 * time.Millisecond // for which a helper's word counts
	lateTick   = 500 * time.Millisecond  // between two looks at the clock: this process was stopped, or its clock jumped
	findEvery  = 500 * time.Millisecond  // one lost member is pinged: a cut may have healed
	pushEvery  = 500 * time.Millisecond  // news are pushed, while rosters differ
	meetEvery  = 200 * time.Millisecond  // one stranger is asked who it is
	joinEvery  = 250 * time.Millisecond  // a newcomer asks for the roster
	seedEvery  = 5 * time.Second         // a seed that is no member is asked: two fleets may have begun apart
	syncEvery  = 300 * time.Millisecond  // while rosters differ, another's is asked for what is missing of a slice
	slicesN    = 8                       // so that asking costs less than what is answered
	differFor  = time.Second             // rosters that differed so lately may still
	verifyFor  = 2 * time.Second         // a ping's number is good
	recent     = time.Second             // a member heard of within it lives for sure
	helpful    = 3 * time.Second         // and within it can be asked for help
	doubts     = 3                       // members observed at once because they did not answer a ping
	troubled   = 3                       // members pinged beside the one, where as many of those observed are silent
	spread     = 5                       // members that hear of news at once
	forgetTime = 10 * time.Minute        // after which an instance that is lost is forgotten
	leftTime   = 10 * time.Second        // the same where it has left, or another of its name lives
	forgetLead = 3 * time.Second         // before that, it is no longer told of
	fencedTime = 20 * time.Second        // in a minority, after which a broker uses no part of a common share
	pageMost   = 1100                    // bytes of a datagram of instances, with IP and UDP

	// What is sent beside beats and pongs, in bytes a second on the wire: to find out who lives, and to tell of it.
	// With the beats, that is under 4 KB/s over any 10 s.
	urgentBytes, urgentBurst = 800, 2000
	bulkBytes, bulkBurst     = 1700, 2000

	pingsMost = 256 // numbers that wait for a pong
)

// Status is what a member is taken for.
type Status uint8

const (
	Alive Status = iota
	Lost         // silent to all who were asked: dead, or cut off
	Left         // has said so
)

func (s Status) String() string { return [...]string{"alive", "lost", "left", "unknown"}[min(s, 3)] }

// state is an epoch, which each revival raises, with a status. The later epoch wins, in it the worse status.
type state uint8

const statusBits = 2

func (s state) status() Status { return Status(s & (1<<statusBits - 1)) }
func (s state) epoch() uint8   { return uint8(s) >> statusBits }

func (s state) in(status Status) state { return s>>statusBits<<statusBits | state(status) }
func (s state) revived() state         { return state((s.epoch()+1)<<statusBits) | state(Alive) }

// beats tells that s is later than o. Epochs go round; they are never far apart.
func (s state) beats(o state) bool {
	if o.status() == Left || s.status() == Left {
		return s.status() == Left && o.status() != Left
	}
	if d := (s.epoch() - o.epoch()) & (1<<(8-statusBits) - 1); d != 0 {
		return d < 1<<(7-statusBits)
	}
	return s.status() > o.status()
}

// Instance is one process of a broker.
type Instance struct {
	Name  string
	Start uint64 // in Unix nanoseconds
	Addr  netip.AddrPort
}

// ID is the instance's number.
func (i Instance) ID() uint64 { return plane.ID(i.Name, i.Start) }

// Member is an instance as others see it.
type Member struct {
	Instance
	Status Status
}

type member struct {
	Instance
	id    uint64
	state state
	since time.Duration // of the state
	heard time.Duration // when a datagram of it came, or another heard of it; 0: never

	seq  uint64 // the highest taken
	seen uint64 // bit i: seq - i was taken

	observed bool
	doubted  bool          // observed because it did not answer a ping, whoever else observes it
	mute     time.Duration // when a ping was sent that it never answered, the first since it was heard; 0: none
	silent   time.Duration // as its observer: when it was last known to live, from this process's own wakefulness on
	asked    time.Duration
	tells    map[uint64]time.Duration // helpers that found it silent, and when

	news bool // its entry has to be told to others
}

// Send is a datagram to be sent.
type Send struct {
	Addr netip.AddrPort
	Data *planepb.Datagram
}

// Options are what a broker tells of itself.
type Options struct {
	Self  Instance
	Fleet uint64
	Seeds []netip.AddrPort // to join by
	Seed  uint64           // for random numbers
	// Changed is told of each change of a member's status, and of new members; nil: nobody is.
	Changed func(Member)
}

// View is one broker's membership. Make it with New. It is not safe for concurrent use.
type View struct {
	opt  Options
	self *member
	rng  *rand.Rand
	now  time.Duration
	out  []Send
	seq  uint64

	byID   map[uint64]*member
	roster []*member // in the order of their numbers, self included
	ring   [rings][]*member
	sums   sums // hashes of the roster that do not depend on any order
	living int  // instances that live
	stale  bool // who observes whom has to be found anew

	observers []*member // of self
	targets   []*member // whom self observes

	pings    map[uint32]ping
	lastPing uint32
	beatAt   time.Duration
	joinAt   time.Duration
	syncAt   time.Duration
	pushAt   time.Duration
	findAt   time.Duration
	meetAt   time.Duration
	minor    time.Duration // since when fewer than half are seen; -1: they are not
	slice    uint32        // asked for last
	differs  time.Duration // when a roster other than this one was last heard of
	urgent   bucket
	bulk     bucket
	ticked   time.Duration // the latest Tick
	began    bool
	hot      bool // the vector has news
	leaving  bool
	Drops    int // datagrams that were replayed, old or of nobody known
}

type sums struct{ roster, states uint32 }

type ping struct {
	to    uint64
	at    time.Duration
	until time.Duration
	asker uint64 // who wants to know; 0: nobody
	ask   uint32
}

// bucket bounds what is sent a second.
type bucket struct {
	rate, burst, left float64
	at                time.Duration
}

func (b *bucket) take(now time.Duration, n int) bool {
	b.left = min(b.left+(now-b.at).Seconds()*b.rate, b.burst)
	b.at = now
	if b.left < float64(n) {
		return false
	}
	b.left -= float64(n)
	return true
}

// New returns the view of a broker that knows nobody yet.
func New(opt Options) *View {
	v := &View{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0x510e527fade682d1)), byID: map[uint64]*member{},
		pings: map[uint32]ping{}, minor: -1, differs: -differFor,
		urgent: bucket{rate: urgentBytes, burst: urgentBurst, left: urgentBurst},
		bulk:   bucket{rate: bulkBytes, burst: bulkBurst, left: bulkBurst}}
	v.self = v.add(opt.Self, 0)
	return v
}

// ---- the roster ----

func (v *View) add(i Instance, s state) *member {
	m := &member{Instance: i, id: i.ID(), state: s, since: v.now, tells: map[uint64]time.Duration{}, news: true}
	v.byID[m.id] = m
	at, _ := slices.BinarySearchFunc(v.roster, m.id, func(o *member, id uint64) int { return cmp.Compare(o.id, id) })
	v.roster = slices.Insert(v.roster, at, m)
	for r := range v.ring {
		at, _ := slices.BinarySearchFunc(v.ring[r], m, byRing(r))
		v.ring[r] = slices.Insert(v.ring[r], at, m)
	}
	v.sum(m, 1)
	v.changed(m)
	return m
}

func byRing(r int) func(a, b *member) int {
	return func(a, b *member) int {
		return cmp.Or(cmp.Compare(plane.Mix(a.id, uint64(r)), plane.Mix(b.id, uint64(r))), cmp.Compare(a.id, b.id))
	}
}

func (v *View) drop(m *member) {
	v.sum(m, -1)
	delete(v.byID, m.id)
	is := func(o *member) bool { return o == m }
	v.roster = slices.DeleteFunc(v.roster, is)
	for r := range v.ring {
		v.ring[r] = slices.DeleteFunc(v.ring[r], is)
	}
	v.stale = true
}

// set takes a state that is later than what is known.
func (v *View) set(m *member, s state) {
	if !s.beats(m.state) {
		return
	}
	was := m.state.status()
	v.sum(m, -1)
	m.state, m.since = s, v.now
	v.sum(m, 1)
	clear(m.tells)
	m.news, v.hot = true, true
	if s.status() != was {
		v.changed(m)
	}
}

func (v *View) changed(m *member) {
	v.stale, v.hot = true, true
	if v.opt.Changed != nil && v.self != nil && m != v.self {
		v.opt.Changed(Member{m.Instance, m.state.status()})
	}
}

// sum takes a member into the sums, or out of them: the same step does both.
func (v *View) sum(m *member, living int) {
	n := uint32(plane.Mix(m.id))
	v.sums.roster ^= n
	v.sums.states ^= uint32(plane.Mix(m.id, uint64(m.state)))
	if v.alive(m) {
		v.living += living
	}
}

func (v *View) alive(m *member) bool { return m.state.status() == Alive }

// arrange finds the observers of this member, and those that it observes: on each ring the next and the one before.
func (v *View) arrange() {
	v.stale = false
	v.observers, v.targets = v.observers[:0], v.targets[:0]
	for _, ring := range v.ring {
		at, n := slices.Index(ring, v.self), len(ring)
		for side, to := range []*[]*member{&v.observers, &v.targets} {
			step := []int{1, n - 1}[side]
			for i := (at + step) % n; i != at; i = (i + step) % n {
				if m := ring[i]; v.alive(m) {
					if !slices.Contains(*to, m) {
						*to = append(*to, m)
					}
					break
				}
			}
		}
	}
	for _, m := range v.roster {
		if m.doubted = m.doubted && v.alive(m); m.doubted && !slices.Contains(v.targets, m) {
			v.targets = append(v.targets, m)
		}
		was := m.observed
		if m.observed = slices.Contains(v.targets, m); m.observed && !was && !m.doubted {
			if m.silent, m.asked = v.now, 0; m.mute > m.heard { // from now on, unless it owed an answer before
				m.silent = m.mute
			}
			clear(m.tells)
		}
	}
}

// ---- sending ----

// send sends a message, unless its bucket is empty. A beat or a pong (nil) always goes: there are few.
func (v *View) send(to netip.AddrPort, d *planepb.Datagram, b *bucket) bool {
	d.Version, d.Fleet, d.From = plane.Version, v.opt.Fleet, v.self.id
	d.Roster, d.States = v.sums.roster, v.sums.states
	if d.Seq == 0 {
		d.Seq = v.next()
	}
	if b != nil && !b.take(v.now, plane.Size(d)) {
		return false
	}
	v.out = append(v.out, Send{to, d})
	return true
}

func (v *View) next() uint64 {
	v.seq++
	return v.seq
}

// ping sends a ping, and remembers for whom. It tells whether it was sent.
func (v *View) ping(to netip.AddrPort, id uint64, d *planepb.Datagram, asker uint64, ask uint32) bool {
	if len(v.pings) >= pingsMost {
		return false
	}
	v.lastPing = max(v.lastPing+1, 1)
	wait := verifyFor
	if asker != 0 {
		wait = askWait
	}
	d.Ping = v.lastPing
	if !v.send(to, d, &v.urgent) {
		return false
	}
	v.pings[v.lastPing] = ping{id, v.now, v.now + wait, asker, ask}
	return true
}

func (v *View) entry(m *member) *planepb.Entry {
	addr, _ := m.Addr.MarshalBinary() // fails for no address
	e := &planepb.Entry{Name: m.Name, Start: m.Start, Addr: addr, State: uint32(m.state)}
	if !v.alive(m) {
		e.Age = uint32((v.now - m.since).Seconds())
	}
	return e
}

// vector is the state of each instance of the roster.
func (v *View) vector() []byte {
	b := make([]byte, len(v.roster))
	for i, m := range v.roster {
		b[i] = byte(m.state)
	}
	return b
}

// some returns random members that live, at the most n, of which a condition holds.
func (v *View) some(n int, ok func(*member) bool) (picked []*member) {
	for _, i := range v.rng.Perm(len(v.roster)) {
		if len(picked) == n {
			break
		}
		if m := v.roster[i]; m != v.self && v.alive(m) && ok(m) {
			picked = append(picked, m)
		}
	}
	return picked
}

func anyone(*member) bool { return true }

// ---- time ----

// Wake is when Tick has to be called again.
const Wake = 50 * time.Millisecond

// Tick looks at the time and returns what to send. It has to be called each 50 ms; what lies between two calls tells
// this process whether it was stopped itself.
func (v *View) Tick(now time.Duration) []Send {
	away := now - v.ticked
	v.advance(now)
	if v.ticked = now; !v.began {
		v.began = true
	} else if away > lateTick || away < 0 {
		// It cannot tell who was silent meanwhile. Others may have taken it for dead: it speaks up at once.
		for _, m := range v.targets {
			m.silent, m.asked = v.now, 0
			clear(m.tells)
		}
		clear(v.pings) // what came back meanwhile was not seen either
		v.beatAt = 0
	}
	if v.stale {
		v.arrange()
	}
	if v.hot && v.now >= v.pushAt {
		v.hot = false
		v.push()
	}
	if v.now >= v.beatAt {
		v.beatAt = v.now + beatEvery
		for _, m := range v.observers {
			v.send(m.Addr, &planepb.Datagram{}, nil)
		}
	}
	v.watch()
	v.join()
	v.sync()
	v.find()
	return v.take()
}

func (v *View) advance(now time.Duration) { v.now = max(v.now, now) }

func (v *View) take() []Send {
	out := v.out
	v.out = nil
	return out
}

// push tells some others of what is new. A vector says it all to those with the same roster, and only to them.
func (v *View) push() {
	differs, told := v.now-v.differs < differFor, spread
	if differs {
		// While rosters differ, what another lacks is better sent when it asks: then it is only that.
		told, v.pushAt = 1, v.now+pushEvery
	}
	var news []*member
	for _, m := range v.roster {
		if m.news {
			news = append(news, m)
			m.news = false
		}
	}
	for _, m := range v.some(told, anyone) {
		d := &planepb.Datagram{Vector: v.vector()}
		if differs {
			d.Vector = nil
			for i := range news {
				if d.Entries = append(d.Entries, v.entry(news[i])); plane.Size(d) > pageMost {
					d.Entries = d.Entries[:len(d.Entries)-1]
					break
				}
			}
		}
		v.send(m.Addr, d, &v.bulk)
	}
}

// sync asks another for what this roster lacks, while there are others than it.
func (v *View) sync() {
	if v.now < v.syncAt || v.now-v.differs >= differFor {
		return
	}
	v.syncAt = v.now + syncEvery/2 + time.Duration(v.rng.Int64N(int64(syncEvery)))
	known := v.some(1, func(m *member) bool { return v.now-m.heard < recent && m.heard > 0 })
	if len(known) == 0 {
		known = v.some(1, anyone)
	}
	for _, m := range known {
		v.send(m.Addr, v.have(&planepb.Datagram{}), &v.bulk)
	}
}

// have asks for what is not so in a slice of this roster; the next time it is the next slice.
func (v *View) have(d *planepb.Datagram) *planepb.Datagram {
	v.slice = (v.slice + 1) % slicesN
	d.Sync, d.Seq, d.Slice = true, v.next(), v.slice
	for _, m := range v.roster {
		if h := short(m, d.Seq); m.id%slicesN == uint64(v.slice) && len(d.Have) < pageMost-100 {
			d.Have = append(d.Have, byte(h), byte(h>>8))
		}
	}
	return d
}

// short is a hash of an instance and its state in two bytes. It is another one in each datagram, so that two of the same
// are told apart by the next.
func short(m *member, seq uint64) uint16 { return uint16(plane.Mix(m.id, uint64(m.state), seq)) }

// watch looks after those whom this member observes.
func (v *View) watch() {
	for _, n := range slices.Sorted(maps.Keys(v.pings)) {
		p := v.pings[n]
		if v.now < p.until {
			continue
		}
		delete(v.pings, n)
		if m := v.byID[p.to]; m != nil && m.heard < p.at && m.mute <= m.heard {
			m.mute = p.at
		}
		if m := v.byID[p.to]; m != nil && p.asker == 0 && !m.observed && m.heard < p.at && v.alive(m) &&
			len(v.targets) < rings+doubts {
			// Where many die at once, all that observed one may be among them.
			m.doubted, m.silent, v.stale = true, p.at, true
			clear(m.tells)
		}
		if asker := v.byID[p.asker]; asker != nil {
			v.send(asker.Addr, &planepb.Datagram{About: p.to, Tell: p.ask}, &v.urgent)
		}
	}
	if v.stale {
		v.arrange()
	}
	for _, m := range v.targets {
		age := v.now - m.silent
		if age < askAfter {
			v.stale = v.stale || m.doubted
			m.doubted = false
			continue
		}
		agree := 0
		for _, at := range m.tells {
			if v.now-at < freshTell {
				agree++
			}
		}
		if age >= lostAfter && agree >= v.needed(m) {
			v.set(m, m.state.in(Lost))
			continue
		}
		if m.asked != 0 && v.now-m.asked < askEvery {
			continue
		}
		m.asked = v.now
		v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
		for _, h := range v.helpers(m) {
			v.lastPing = max(v.lastPing+1, 1)
			v.send(h.Addr, &planepb.Datagram{About: m.id, Ask: v.lastPing}, &v.urgent)
		}
	}
	if v.stale {
		v.arrange()
	}
}

// needed is how many helpers have to find a member silent too: as many of two as there are to ask. One who hears nobody
// has none to ask and gives no verdict, but where there are only two members.
func (v *View) needed(about *member) int {
	if v.living <= 2 {
		return 0
	}
	heard := len(v.some(agreeing, func(h *member) bool { return h != about && v.now-h.heard < helpful && h.heard > 0 }))
	return max(heard, 1)
}

// helpers are whom to ask about a member: others that live for sure. About one that does not beat to this member, those
// to whom it does as well: they may hear it though it hears nothing, and answers no ping.
func (v *View) helpers(about *member) (picked []*member) {
	lives := func(h *member) bool { return h != about && v.now-h.heard < helpful && h.heard > 0 }
	for _, r := range v.rng.Perm(rings) {
		if !about.doubted {
			break
		}
		at, _ := slices.BinarySearchFunc(v.ring[r], about, byRing(r))
		for i := 1; i < len(v.ring[r]) && len(picked) < helpers; i++ {
			if h := v.ring[r][(at+i)%len(v.ring[r])]; v.alive(h) {
				if h != v.self && h != about && !slices.Contains(picked, h) {
					picked = append(picked, h)
				}
				break
			}
		}
	}
	return append(picked, v.some(helpers, func(h *member) bool { return lives(h) && !slices.Contains(picked, h) })...)
}

// join asks the seeds for the roster, and later, now and then, one that is not among the living: two fleets may have
// begun apart.
func (v *View) join() {
	if v.now < v.joinAt {
		return
	}
	if v.joinAt = v.now + seedEvery; v.living < 2 {
		v.joinAt = v.now + joinEvery
	}
	if n := len(v.opt.Seeds); n > 0 {
		seed := v.opt.Seeds[v.rng.IntN(n)]
		if !slices.ContainsFunc(v.roster, func(m *member) bool { return m.Addr == seed && v.alive(m) }) {
			v.ping(seed, 0, &planepb.Datagram{Self: v.entry(v.self), Who: true}, 0, 0)
		}
	}
}

// find pings one of the lost, since a cut may have healed, and one of whom nothing was heard lately: whoever observes it
// may be gone with it.
func (v *View) find() {
	if v.now < v.findAt {
		return
	}
	v.findAt = v.now + findEvery
	v.forget()
	v.count()
	var lost, unheard []*member
	for _, m := range v.roster {
		switch {
		case m == v.self:
		case m.state.status() == Lost:
			lost = append(lost, m)
		case v.alive(m) && !m.observed && v.now-m.heard >= recent:
			unheard = append(unheard, m)
		}
	}
	silent := 0
	for _, m := range v.targets {
		if v.now-m.silent >= recent {
			silent++
		}
	}
	for i, of := range [][]*member{lost, unheard} {
		for range 1 + i*min(silent, troubled) { // the more are silent, the more may have nobody who observes them
			if len(of) > 0 {
				m := of[v.rng.IntN(len(of))]
				v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
			}
		}
	}
}

// forget drops instances of the past.
func (v *View) forget() {
	for _, m := range slices.Clone(v.roster) {
		if m != v.self && v.now-m.since > v.lasts(m) {
			v.drop(m)
		}
	}
}

// lasts is for how long an instance is kept in its state.
func (v *View) lasts(m *member) time.Duration {
	switch m.state.status() {
	case Alive:
		return 1<<63 - 1
	case Lost:
		if !slices.ContainsFunc(v.roster, func(o *member) bool { return o.Name == m.Name && v.alive(o) }) {
			return forgetTime
		}
	}
	return leftTime
}
