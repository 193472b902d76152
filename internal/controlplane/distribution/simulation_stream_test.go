package distribution_test

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// simStream is one Follow call.
type simStream struct {
	sim     *simulation
	broker  *simBroker
	hub     *simHub
	id      distribution.StreamID
	session distribution.SessionID // 0: not accepted yet

	brokerGone bool // the broker has given it up
	hubGone    bool // the hub has ended it, or its process has ended
	silenced   bool // the hub's process holds it open and sends nothing: a fault
	cutSince   time.Duration

	down, up pipe // to the broker, to the hub
	pumpAt   time.Duration
	waiting  *configpb.Report // the driver's latest that is not sent
}

// pipe is one direction of a stream: in order, and held up while the way is cut or the receiver is paused.
type pipe struct {
	queue   []func()
	running bool
}

func newStream(b *simBroker, open distribution.StreamTarget) *simStream {
	hub, err := strconv.Atoi(open.Address)
	if err != nil {
		panic(err)
	}
	return &simStream{sim: b.sim, broker: b, hub: b.sim.hubs[hub], id: open.Stream}
}

// connect takes three round trips. Without an answer TCP tries again every second; a machine without the process
// refuses.
func (st *simStream) connect() {
	st.sim.after(6*st.sim.latency(st.broker.zone, st.hub.zone), st.arrive)
}

func (st *simStream) arrive() {
	if st.brokerGone {
		return
	}
	s := st.sim
	lost := st.hub.lost || !s.open(st.broker, st.hub, toHub) || !s.open(st.broker, st.hub, toBroker)
	switch {
	case lost:
		s.after(connectRetry, st.arrive)
	case !st.hub.up:
		st.hub.calls = append(st.hub.calls, s.now)
		st.endToBroker()
	default:
		st.hub.accept(st)
		st.flushReport()
	}
}

// send puts a message on its way.
func (st *simStream) send(p *pipe, way direction, deliver func()) {
	p.queue = append(p.queue, deliver)
	if !p.running {
		p.running = true
		st.carry(p, way, st.sim.latency(st.broker.zone, st.hub.zone))
	}
}

// carry delivers the first message of a pipe, then the others.
func (st *simStream) carry(p *pipe, way direction, wait time.Duration) {
	st.sim.after(wait, func() {
		gone := way == toBroker && st.brokerGone || way == toHub && st.hubGone
		switch {
		case gone:
			p.queue, p.running = nil, false
			return
		case !st.sim.open(st.broker, st.hub, way), way == toBroker && st.broker.paused:
			st.carry(p, way, retransmit)
			return
		}
		deliver := p.queue[0]
		p.queue = p.queue[1:]
		deliver()
		if len(p.queue) == 0 {
			p.running = false
			return
		}
		st.carry(p, way, 50*time.Microsecond)
	})
}

// pump sends what the hub has for the stream, and plans when to ask again.
func (st *simStream) pump() {
	s := st.sim
	if st.hubGone || st.session == 0 || !st.hub.up {
		return
	}
	if st.unreachable() {
		st.close()
		return
	}
	if st.silenced || len(st.down.queue) >= streamWindow {
		st.plan(s.now + retransmit)
		return
	}
	update, wake, err := st.hub.hub.NextUpdate(s.time(), st.session)
	if err != nil {
		st.close()
		return
	}
	if update != nil {
		st.sendUpdate(update)
	}
	if s.plant == plantFlapping && !s.quorum(st.hub) && s.chance(0.3) {
		st.close()
		return
	}
	st.plan(max(wake.Sub(epoch), s.now+time.Millisecond))
}

// unreachable tells whether the hub's keepalive has found the broker unreachable for too long.
func (st *simStream) unreachable() bool {
	s := st.sim
	if s.open(st.broker, st.hub, toHub) && s.open(st.broker, st.hub, toBroker) && !st.brokerGone && !st.broker.paused {
		st.cutSince = 0
		return false
	}
	if st.cutSince == 0 {
		st.cutSince = s.now
	}
	return s.now-st.cutSince > keepaliveGivesUp
}

func (st *simStream) plan(at time.Duration) {
	if st.pumpAt > st.sim.now && st.pumpAt <= at {
		return
	}
	st.pumpAt = at
	st.sim.after(at-st.sim.now, func() {
		if st.pumpAt == at {
			st.pumpAt = 0
			st.pump()
		}
	})
}

// sendUpdate sends an update, and now and then a spoilt, doubled or old one beside it.
func (st *simStream) sendUpdate(update *configpb.Update) {
	s := st.sim
	if s.plant == plantDeafBroker && st.broker.index%10 == 0 {
		update.Revision = nil
	}
	if s.noise > 0 && s.chance(s.noise) {
		st.sendNoise(update)
		return
	}
	st.deliver(update)
}

func (st *simStream) deliver(update *configpb.Update) {
	b := st.broker
	st.send(&st.down, toBroker, func() {
		b.whenAwake(func() {
			b.follower.UpdateReceived(st.sim.time(), st.id, update)
			b.drive()
		})
	})
}

// sendNoise sends what must not harm.
func (st *simStream) sendNoise(update *configpb.Update) {
	s := st.sim
	if len(s.log) == 0 {
		st.deliver(nil)
		return
	}
	spoilt := proto.CloneOf(update)
	spoilt.Revision = proto.CloneOf(s.log[s.rng.IntN(len(s.log))])
	spoilt.Newest, spoilt.NewestChecksum = spoilt.Revision.Number, spoilt.Revision.Checksum
	switch s.rng.IntN(6) {
	case 0: // an old revision, or a double
		st.deliver(update)
	case 1:
		st.deliver(update)
		spoilt.Revision.Document = append(spoilt.Revision.Document, ' ')
	case 2:
		spoilt.Revision.Document = spoilt.Revision.Document[:len(spoilt.Revision.Document)/2]
	case 3:
		spoilt.Revision.Document = make([]byte, distribution.MaxDocument+1)
		spoilt.Revision.Checksum = configpb.Checksum(spoilt.Revision.Document)
		spoilt.NewestChecksum = spoilt.Revision.Checksum
		spoilt.Newest += 1000
		spoilt.Revision.Number = spoilt.Newest
	case 4: // a revision that claims a number to come, and is torn
		spoilt.Newest++
		spoilt.Revision.Number = spoilt.Newest
		spoilt.Revision.Checksum++
		spoilt.NewestChecksum++
	case 5:
		spoilt = nil
	}
	st.deliver(spoilt)
	if s.chance(0.5) {
		st.deliver(update)
	}
}

// report sends a report once the call is accepted, in place of one that still waits.
func (st *simStream) report(report *configpb.Report) {
	st.waiting = report
	if st.session != 0 {
		st.flushReport()
	}
}

func (st *simStream) flushReport() {
	if st.waiting == nil || st.brokerGone || st.session == 0 {
		return
	}
	report := st.waiting
	st.waiting = nil
	if st.sim.plant == plantUnbooked && st.broker.index%10 == 0 {
		report.InForce, report.Refusal = 0, nil
	}
	st.send(&st.up, toHub, func() { st.takeReport(report) })
}

func (st *simStream) takeReport(report *configpb.Report) {
	if st.hubGone || !st.hub.up {
		return
	}
	if err := st.hub.hub.ReportReceived(st.sim.time(), st.session, report); err != nil {
		st.close()
		return
	}
	st.pump()
}

// close ends the stream by the hub.
func (st *simStream) close() {
	st.hub.hub.CloseSession(st.sim.time(), st.session)
	for i, other := range st.hub.streams {
		if other == st {
			last := len(st.hub.streams) - 1
			st.hub.streams[i] = st.hub.streams[last]
			st.hub.streams = st.hub.streams[:last]
			break
		}
	}
	st.hubEnded(true)
}

// hubEnded notes that the hub's end is gone, and lets the broker hear of it or not.
func (st *simStream) hubEnded(told bool) {
	st.hubGone = true
	if told {
		st.endToBroker()
	}
}

// endToBroker has the broker hear that its stream has ended.
func (st *simStream) endToBroker() {
	b := st.broker
	st.send(&st.down, toBroker, func() {
		b.whenAwake(func() {
			b.follower.StreamEnded(st.sim.time(), st.id)
			b.drive()
		})
	})
}

// brokerEnded notes that the broker's end is gone, and lets the hub hear of it or not.
func (st *simStream) brokerEnded(told bool) {
	st.brokerGone = true
	if told && st.session != 0 {
		st.send(&st.up, toHub, func() {
			if st.hub.up && !st.hubGone {
				st.close()
			}
		})
	}
}
