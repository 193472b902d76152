package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// Status is what a member is taken for.
type Status uint8

// What members are taken for.
const (
	Alive Status = iota
	Lost         // silent to all that were asked: dead, or cut off
	Left         // has left by itself
)

func (s Status) String() string { return [...]string{"alive", "lost", "left", "unknown"}[min(s, 3)] }

// Instance is one process of a broker.
type Instance struct {
	Name  string
	Start uint64 // in Unix nanoseconds
	Addr  netip.AddrPort
}

// ID is the instance's number.
func (i Instance) ID() uint64 { return plane.ID(i.Name, i.Start) }

func instanceFromEntry(e *planepb.Entry) Instance { return Instance{e.Name, e.Start, plane.Addr(e)} }

// Member is an instance as others see it.
type Member struct {
	Instance
	Status Status
}

// member is an instance with what this view knows of it.
type member struct {
	Instance
	id          uint64
	state       state
	stateSince  time.Duration // of the state
	lastContact time.Duration // when a datagram of it was received, or a helper heard of it; 0: never

	seq       uint64 // the highest accepted
	seqWindow uint64 // bit i: seq - i was accepted

	observed           bool
	adopted            bool          // observed because it did not answer a ping, whoever else observes it
	unackedSince       time.Duration // when a ping was sent that it never answered, the first since it was heard; 0: none
	silentSince        time.Duration // as its observer: when it was last known to live, from this process's own wakefulness on
	indirectPingSentAt time.Duration
	confirmations      map[uint64]time.Duration // helpers that found it silent, and when

	gossipPending bool // its entry has to be gossiped
}

// state is an epoch, which each revival raises, with a status. The later epoch wins, in it the worse status.
type state uint8

const statusBits = 2

func (s state) status() Status     { return Status(s & (1<<statusBits - 1)) }
func (s state) incarnation() uint8 { return uint8(s) >> statusBits }

// withStatus is the state of the same epoch with a status.
func (s state) withStatus(status Status) state { return s>>statusBits<<statusBits | state(status) }

// refuted is the state of the next epoch, alive.
func (s state) refuted() state { return state((s.incarnation()+1)<<statusBits) | state(Alive) }

// supersedes tells that s is later than o. Epochs go round; they are never far apart.
func (s state) supersedes(o state) bool {
	if o.status() == Left || s.status() == Left {
		return s.status() == Left && o.status() != Left
	}
	if d := (s.incarnation() - o.incarnation()) & (1<<(8-statusBits) - 1); d != 0 {
		return d < 1<<(7-statusBits)
	}
	return s.status() > o.status()
}

// acceptSeq accepts a sequence number once. Those that are far behind the latest count as accepted before.
func (m *member) acceptSeq(seq uint64) bool {
	switch {
	case seq > m.seq:
		m.seqWindow = m.seqWindow<<min(seq-m.seq, 64) | 1
		m.seq = seq
		return true
	case m.seq-seq >= 64 || m.seqWindow>>(m.seq-seq)&1 == 1:
		return false
	}
	m.seqWindow |= 1 << (m.seq - seq)
	return true
}
