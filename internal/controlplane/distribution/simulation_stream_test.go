package distribution_test

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// simStream is one Follow call between a broker and a hub.
type simStream struct {
	sim     *simulation
	broker  *simBroker
	hub     *simHub
	id      distribution.StreamID
	session distribution.SessionID // 0: the hub has not accepted the call yet

	brokerClosed     bool // by the broker, or by the end of its process
	hubClosed        bool // by the hub, or by the end of its process
	stalled          bool // a fault: the hub keeps it open and sends nothing
	unreachableSince time.Duration

	down, up      pipe // down to the broker, up to the hub
	pumpAt        time.Duration
	pendingReport *configpb.Report // the latest report that is not sent yet; nil: none
}

// pipe is one direction of a stream. It delivers in order, and waits while it is blocked or the receiver is paused.
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

// connect opens the stream within three round trips. Without an answer TCP retries every connectRetryDelay; a machine
// without the process refuses the connection.
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

// send queues a message on a pipe.
func (st *simStream) send(p *pipe, way direction, deliver func()) {
	p.queue = append(p.queue, deliver)
	if !p.running {
		p.running = true
		st.deliverNext(p, way, st.sim.latency(st.broker.zone, st.hub.zone))
	}
}

// deliverNext delivers the first message of a pipe after a delay, then the others.
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

// pump sends the hub's next update, and schedules the next call of NextUpdate.
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

// unreachable reports whether the broker has been unreachable for longer than the hub's keepalive timeout.
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

// sendUpdate sends an update, at the noise ratio with a corrupt, duplicate or stale one beside it or in its place.
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

// sendNoise sends an update that the follower has to drop, and at times the valid one.
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
	case 0: // a stale or a duplicate revision
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
	case 4: // a corrupt revision with a number that is not published yet
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

// queueReport sends a report once the call is accepted, replacing one that is not sent yet.
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

// close closes the stream at the hub.
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

// hubEnded records that the hub's end is closed, and notifies the broker if notify is set.
func (st *simStream) hubEnded(notify bool) {
	st.hubClosed = true
	if notify {
		st.notifyBroker()
	}
}

// notifyBroker sends the end of the stream to the broker.
func (st *simStream) notifyBroker() {
	b := st.broker
	st.send(&st.down, toBroker, func() {
		b.whenAwake(func() {
			b.follower.StreamEnded(st.sim.time(), st.id)
			b.step()
		})
	})
}

// brokerEnded records that the broker's end is closed, and notifies the hub if notify is set.
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
