package distribution_test

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// simStream is a Follow call between a simulated broker and a simulated hub.
type simStream struct {
	sim     *simulation
	broker  *simBroker
	hub     *simHub
	id      distribution.StreamID
	session distribution.SessionID // 0: the hub has not accepted the call yet

	brokerClosed     bool          // the broker has closed its end, or its process has ended
	hubClosed        bool          // the hub has closed its end, or its process has ended
	stalled          bool          // injected by stallStreams: the hub keeps the stream open but sends nothing
	unreachableSince time.Duration // 0: the broker is reachable

	downstream    pipe             // from the hub to the broker
	upstream      pipe             // from the broker to the hub
	nextSendAt    time.Duration    // time of the scheduled call of sendNext; 0: none
	pendingReport *configpb.Report // the latest report, if it has not been sent yet; nil: none
}

// pipe is one direction of a stream. It delivers in order, and waits while the direction is blocked or the receiver is paused.
type pipe struct {
	queue     []func() // each delivers one message
	scheduled bool     // the next delivery is scheduled
}

func newStream(b *simBroker, target distribution.StreamTarget) *simStream {
	hub, err := strconv.Atoi(target.Address)
	if err != nil {
		panic(err)
	}
	return &simStream{sim: b.sim, broker: b, hub: b.sim.hubs[hub], id: target.Stream}
}

// connect opens the stream after three round trips. If there is no answer, the connection is retried every connectRetryDelay;
// a host whose process is not running refuses it.
func (st *simStream) connect() {
	st.sim.after(6*st.sim.latency(st.broker.zone, st.hub.zone), st.attemptConnect)
}

func (st *simStream) attemptConnect() {
	if st.brokerClosed {
		return
	}
	s := st.sim
	noAnswer := st.hub.hostLost || !s.reachable(st.broker, st.hub, toHub) || !s.reachable(st.broker, st.hub, toBroker)
	switch {
	case noAnswer:
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
func (st *simStream) send(p *pipe, dir direction, deliver func()) {
	p.queue = append(p.queue, deliver)
	if !p.scheduled {
		p.scheduled = true
		st.deliverNext(p, dir, st.sim.latency(st.broker.zone, st.hub.zone))
	}
}

// deliverNext delivers the first message of a pipe after a delay, followed by the other messages.
func (st *simStream) deliverNext(p *pipe, dir direction, delay time.Duration) {
	st.sim.after(delay, func() {
		closed := dir == toBroker && st.brokerClosed || dir == toHub && st.hubClosed
		switch {
		case closed:
			p.queue, p.scheduled = nil, false
			return
		case !st.sim.reachable(st.broker, st.hub, dir), dir == toBroker && st.broker.paused:
			st.deliverNext(p, dir, retransmitDelay)
			return
		}
		deliver := p.queue[0]
		p.queue = p.queue[1:]
		deliver()
		if len(p.queue) == 0 {
			p.scheduled = false
			return
		}
		st.deliverNext(p, dir, 50*time.Microsecond)
	})
}

// sendNext sends the hub's next update, if one is due, and schedules the next call of sendNext.
func (st *simStream) sendNext() {
	s := st.sim
	if st.hubClosed || st.session == 0 || !st.hub.up {
		return
	}
	if st.unreachable() {
		st.close()
		return
	}
	if st.stalled || len(st.downstream.queue) >= streamWindow {
		st.scheduleSend(s.now + retransmitDelay)
		return
	}
	update, wakeAt, err := st.hub.hub.NextUpdate(s.time(), st.session)
	if err != nil {
		st.close()
		return
	}
	if update != nil {
		st.sendUpdate(update)
	}
	if s.injected == faultFlapping && !s.hasQuorum(st.hub) && s.chance(0.3) {
		st.close()
		return
	}
	st.scheduleSend(max(wakeAt.Sub(epoch), s.now+time.Millisecond))
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

func (st *simStream) scheduleSend(at time.Duration) {
	if st.nextSendAt > st.sim.now && st.nextSendAt <= at {
		return
	}
	st.nextSendAt = at
	st.sim.after(at-st.sim.now, func() {
		if st.nextSendAt == at {
			st.nextSendAt = 0
			st.sendNext()
		}
	})
}

// sendUpdate sends an update. A fraction noiseRatio of the updates goes through sendNoise instead.
func (st *simStream) sendUpdate(update *configpb.Update) {
	s := st.sim
	if s.injected == faultWithheldRevisions && st.broker.index%10 == 0 {
		update.Revision = nil
	}
	if s.noiseRatio > 0 && s.chance(s.noiseRatio) {
		st.sendNoise(update)
		return
	}
	st.deliverUpdate(update)
}

func (st *simStream) deliverUpdate(update *configpb.Update) {
	b := st.broker
	st.send(&st.downstream, toBroker, func() {
		b.runUnlessPaused(func() {
			b.follower.UpdateReceived(st.sim.time(), st.id, update)
			b.step()
		})
	})
}

// sendNoise sends a corrupt, duplicate or stale update, which the follower has to drop. The valid update may be sent before it,
// after it, both before and after it, or not at all.
func (st *simStream) sendNoise(update *configpb.Update) {
	s := st.sim
	if len(s.log) == 0 {
		st.deliverUpdate(nil)
		return
	}
	noise := proto.CloneOf(update)
	noise.Revision = proto.CloneOf(s.log[s.rng.IntN(len(s.log))])
	noise.Newest, noise.NewestChecksum = noise.Revision.Number, noise.Revision.Checksum
	switch s.rng.IntN(6) {
	case 0: // a stale or duplicate revision
		st.deliverUpdate(update)
	case 1: // a document with an extra byte
		st.deliverUpdate(update)
		noise.Revision.Document = append(noise.Revision.Document, ' ')
	case 2: // a truncated document
		noise.Revision.Document = noise.Revision.Document[:len(noise.Revision.Document)/2]
	case 3: // an oversized document
		noise.Revision.Document = make([]byte, distribution.MaxDocument+1)
		noise.Revision.Checksum = configpb.Checksum(noise.Revision.Document)
		noise.NewestChecksum = noise.Revision.Checksum
		noise.Newest += 1000
		noise.Revision.Number = noise.Newest
	case 4: // a corrupt revision with a number that has not been published yet
		noise.Newest++
		noise.Revision.Number = noise.Newest
		noise.Revision.Checksum++
		noise.NewestChecksum++
	case 5: // a nil update
		noise = nil
	}
	st.deliverUpdate(noise)
	if s.chance(0.5) {
		st.deliverUpdate(update)
	}
}

// queueReport sends a report as soon as the hub has accepted the call. It replaces a report that has not been sent yet.
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
	if st.sim.injected == faultMissingReports && st.broker.index%10 == 0 {
		report.InForce, report.Refusal = 0, nil
	}
	st.send(&st.upstream, toHub, func() { st.deliverReport(report) })
}

func (st *simStream) deliverReport(report *configpb.Report) {
	if st.hubClosed || !st.hub.up {
		return
	}
	if err := st.hub.hub.ReportReceived(st.sim.time(), st.session, report); err != nil {
		st.close()
		return
	}
	st.sendNext()
}

// close closes the hub's end of the stream and notifies the broker.
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
	st.closeHubEnd(true)
}

// closeHubEnd marks the hub's end as closed, and notifies the broker if notify is set.
func (st *simStream) closeHubEnd(notify bool) {
	st.hubClosed = true
	if notify {
		st.notifyBroker()
	}
}

// notifyBroker sends the broker a message that ends the stream.
func (st *simStream) notifyBroker() {
	b := st.broker
	st.send(&st.downstream, toBroker, func() {
		b.runUnlessPaused(func() {
			b.follower.StreamEnded(st.sim.time(), st.id)
			b.step()
		})
	})
}

// closeBrokerEnd marks the broker's end as closed, and notifies the hub if notify is set.
func (st *simStream) closeBrokerEnd(notify bool) {
	st.brokerClosed = true
	if notify && st.session != 0 {
		st.send(&st.upstream, toHub, func() {
			if st.hub.up && !st.hubClosed {
				st.close()
			}
		})
	}
}
