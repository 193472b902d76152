package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// Status is the status of a member in a view.
type Status uint8

// Statuses, in ascending precedence: within an incarnation the greater status wins.
const (
	Alive Status = iota
	Lost         // declared failed by an observer: dead, or partitioned from the observer
	Left         // has announced its own shutdown
)

// String returns the status as it appears in the log.
func (s Status) String() string { return [...]string{"alive", "lost", "left", "unknown"}[min(s, 3)] }

// Instance is one process of a broker.
type Instance struct {
	Name  string // name of the broker, the same for all of its processes
	Start uint64 // start time of the process, in Unix nanoseconds
	Addr  netip.AddrPort
}

// ID returns the instance's identifier, a hash of its name and start time.
func (i Instance) ID() uint64 { return plane.InstanceID(i.Name, i.Start) }

// instanceFromEntry returns the instance that an entry describes.
func instanceFromEntry(e *planepb.Entry) Instance {
	return Instance{e.Name, e.Start, plane.EntryAddr(e)}
}

// Member is an instance with its status in a view.
type Member struct {
	Instance
	Status Status
}

// member is an instance with the data that a view has about it.
type member struct {
	Instance
	id          uint64
	state       state
	stateSince  time.Duration // when state was set
	lastContact time.Duration // when a datagram from it, or an indirect ack about it, last arrived; 0: never

	seq       uint64 // highest sequence number accepted
	seqWindow uint64 // anti-replay window: bit i is set if seq - i was accepted

	observed           bool
	adopted            bool          // observed because it did not ack a ping, although no ring assigns it to this view
	unackedSince       time.Duration // send time of the first ping since its last contact that expired unacked; 0: none
	silentSince        time.Duration // start of the suspicion timer: its last contact or the last restart of the timer
	indirectPingSentAt time.Duration // when the latest indirect ping requests were sent; 0: none during this suspicion

	// confirmations holds, by relay ID, when a relay's negative ack arrived during the current suspicion.
	confirmations map[uint64]time.Duration

	gossipPending bool // its entry must be sent with the next push
}

// state has an incarnation in the upper bits and a status in the lower bits. The later incarnation wins, and within an
// incarnation the greater status.
type state uint8

const (
	statusBits      = 2
	incarnationBits = 8 - statusBits
)

func (s state) status() Status     { return Status(s & (1<<statusBits - 1)) }
func (s state) incarnation() uint8 { return uint8(s) >> statusBits }

// withStatus returns the state of the same incarnation with another status.
func (s state) withStatus(status Status) state { return s>>statusBits<<statusBits | state(status) }

// refuted returns the state that refutes s: the next incarnation, alive.
func (s state) refuted() state { return state((s.incarnation()+1)<<statusBits) | state(Alive) }

// supersedes reports whether s is later than another state. Left is final. Incarnations wrap around and are compared as serial
// numbers (RFC 1982), since states in circulation are never half of the range apart.
func (s state) supersedes(other state) bool {
	if other.status() == Left || s.status() == Left {
		return s.status() == Left && other.status() != Left
	}
	if ahead := (s.incarnation() - other.incarnation()) & (1<<incarnationBits - 1); ahead != 0 {
		return ahead < 1<<(incarnationBits-1)
	}
	return s.status() > other.status()
}

// seqWindowSize is how far a datagram's sequence number may be behind the highest one accepted: the number of bits of
// seqWindow.
const seqWindowSize = 64

// acceptSeq reports whether a sequence number is new, and marks it as accepted. A number before the window is treated as
// replayed.
func (m *member) acceptSeq(seq uint64) bool {
	if seq > m.seq {
		m.seqWindow = m.seqWindow<<min(seq-m.seq, seqWindowSize) | 1
		m.seq = seq
		return true
	}
	behind := m.seq - seq
	if behind >= seqWindowSize || m.seqWindow>>behind&1 == 1 {
		return false
	}
	m.seqWindow |= 1 << behind
	return true
}
