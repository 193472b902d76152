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

	brokerClosed     bool // the broker has given it up
	hubClosed        bool // the hub has ended it, or its process has ended
	stalled          bool // the hub's process holds it open and sends nothing: a fault
	unreachableSince time.Duration

	down, up      pipe // to the broker, to the hub
	pumpAt        time.Duration
	pendingReport *configpb.Report // the driver's latest that is not sent
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
	st.sim.after(6*st.sim.latency(st.broker.zone, st.hub.zone), st.attemptConnect)
}

func (st *simStream) attemptConnect() {
	if st.brokerClosed {
		return
	}
	s := st.sim
	lost := st.hub.machineLost || !s.reachable(st.broker, st.hub, toHub) || !s.reachable(st.broker, st.hub, toBroker)
	switch {
	case lost:
		s.after(connectRetryDelay, st.attemptConnect)
	case !st.hub.up:
		st.hub.connectedAt = append(st.hub.connectedAt, s.now)
		st.notifyBroker()
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
		st.deliverNext(p, way, st.sim.latency(st.broker.zone, st.hub.zone))
	}
}

// deliverNext delivers the first message of a pipe, then the others.
func (st *simStream) deliverNext(p *pipe, way direction, wait time.Duration) {
	st.sim.after(wait, func() {
		closed := way == toBroker && st.brokerClosed || way == toHub && st.hubClosed
		switch {
		case closed:
			p.queue, p.running = nil, false
			return
		case !st.sim.reachable(st.broker, st.hub, way), way == toBroker && st.broker.paused:
			st.deliverNext(p, way, retransmitDelay)
			return
		}
		deliver := p.queue[0]
		p.queue = p.queue[1:]
		deliver()
		if len(p.queue) == 0 {
			p.running = false
			return
		}
		st.deliverNext(p, way, 50*time.Microsecond)
	})
}

// pump sends what the hub has for the stream, and plans when to ask again.
func (st *simStream) pump() {
	s := st.sim
	if st.hubClosed || st.session == 0 || !st.hub.up {
		return
	}
	if st.unreachable() {
		st.close()
		return
	}
	if st.stalled || len(st.down.queue) >= streamWindow {
		st.schedulePump(s.now + retransmitDelay)
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
	if s.plant == plantFlapping && !s.hasQuorum(st.hub) && s.chance(0.3) {
		st.close()
		return
	}
	st.schedulePump(max(wake.Sub(epoch), s.now+time.Millisecond))
}

// unreachable tells whether the hub's keepalive has found the broker unreachable for too long.
func (st *simStream) unreachable() bool {
	s := st.sim
	if s.reachable(st.broker, st.hub, toHub) && s.reachable(st.broker, st.hub, toBroker) && !st.brokerClosed && !st.broker.paused {
		st.unreachableSince = 0
		return false
	}
	if st.unreachableSince == 0 {
		st.unreachableSince = s.now
	}
	return s.now-st.unreachableSince > keepaliveTimeout
}

func (st *simStream) schedulePump(at time.Duration) {
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
	if s.plant == plantWithheldRevisions && st.broker.index%10 == 0 {
		update.Revision = nil
	}
	if s.noiseRatio > 0 && s.chance(s.noiseRatio) {
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
			b.step()
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
	noise := proto.CloneOf(update)
	noise.Revision = proto.CloneOf(s.log[s.rng.IntN(len(s.log))])
	noise.Newest, noise.NewestChecksum = noise.Revision.Number, noise.Revision.Checksum
	switch s.rng.IntN(6) {
	case 0: // an old revision, or a double
		st.deliver(update)
	case 1:
		st.deliver(update)
		noise.Revision.Document = append(noise.Revision.Document, ' ')
	case 2:
		noise.Revision.Document = noise.Revision.Document[:len(noise.Revision.Document)/2]
	case 3:
		noise.Revision.Document = make([]byte, distribution.MaxDocument+1)
		noise.Revision.Checksum = configpb.Checksum(noise.Revision.Document)
		noise.NewestChecksum = noise.Revision.Checksum
		noise.Newest += 1000
		noise.Revision.Number = noise.Newest
	case 4: // a revision that claims a number to come, and is torn
		noise.Newest++
		noise.Revision.Number = noise.Newest
		noise.Revision.Checksum++
		noise.NewestChecksum++
	case 5:
		noise = nil
	}
	st.deliver(noise)
	if s.chance(0.5) {
		st.deliver(update)
	}
}

// queueReport sends a report once the call is accepted, in place of one that still waits.
func (st *simStream) queueReport(report *configpb.Report) {
	st.pendingReport = report
	if st.session != 0 {
		st.flushReport()
	}
}

func (st *simStream) flushReport() {
	if st.pendingReport == nil || st.brokerClosed || st.session == 0 {
		return
	}
	report := st.pendingReport
	st.pendingReport = nil
	if st.sim.plant == plantMissingReports && st.broker.index%10 == 0 {
		report.InForce, report.Refusal = 0, nil
	}
	st.send(&st.up, toHub, func() { st.reportArrived(report) })
}

func (st *simStream) reportArrived(report *configpb.Report) {
	if st.hubClosed || !st.hub.up {
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
func (st *simStream) hubEnded(notify bool) {
	st.hubClosed = true
	if notify {
		st.notifyBroker()
	}
}

// notifyBroker has the broker hear that its stream has ended.
func (st *simStream) notifyBroker() {
	b := st.broker
	st.send(&st.down, toBroker, func() {
		b.whenAwake(func() {
			b.follower.StreamEnded(st.sim.time(), st.id)
			b.step()
		})
	})
}

// brokerEnded notes that the broker's end is gone, and lets the hub hear of it or not.
func (st *simStream) brokerEnded(notify bool) {
	st.brokerClosed = true
	if notify && st.session != 0 {
		st.send(&st.up, toHub, func() {
			if st.hub.up && !st.hubClosed {
				st.close()
			}
		})
	}
}
