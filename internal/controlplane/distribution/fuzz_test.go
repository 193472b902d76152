package distribution_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// maxFuzzEvents is the maximum number of events read from one input.
const maxFuzzEvents = 300

// fuzzInput reads values from a fuzz input, and zeros after its end.
type fuzzInput struct{ data []byte }

func (in *fuzzInput) byte() byte {
	if len(in.data) == 0 {
		return 0
	}
	b := in.data[0]
	in.data = in.data[1:]
	return b
}

// number returns a number below 8 in most cases, otherwise an arbitrary one.
func (in *fuzzInput) number() uint64 {
	if b := in.byte(); b < 250 {
		return uint64(b % 8)
	}
	var encoded [8]byte
	for i := range encoded {
		encoded[i] = in.byte()
	}
	return binary.LittleEndian.Uint64(encoded[:])
}

// fuzzedUpdate returns an update that is valid for some inputs and almost valid for others.
func fuzzedUpdate(in *fuzzInput, sequence uint64) *configpb.Update {
	kind := in.byte()
	if kind == 255 {
		return nil
	}
	update := &configpb.Update{Newest: in.number(), ConfirmedMs: uint32(in.number()), Report: sequence}
	update.ReportMs = uint32(in.byte())
	document := []byte{in.byte() % 3, byte(update.Newest)}
	if kind&1 != 0 {
		document = make([]byte, distribution.MaxDocument+int(in.byte()%3))
	}
	if update.Newest != 0 {
		update.NewestChecksum = configpb.Checksum(document)
	}
	if kind&2 != 0 {
		update.Revision = &configpb.Revision{Number: update.Newest, Document: document, Checksum: update.NewestChecksum}
	}
	if kind&4 != 0 {
		update.NewestChecksum += in.number()
	}
	if kind&8 != 0 && update.Revision != nil {
		update.Revision.Checksum += in.number()
		update.Revision.Number += in.number()
	}
	if kind&16 != 0 {
		update.Report = in.number()
	}
	return update
}

// followerOracle is a simple model of how a Follower handles revisions. It keeps every acceptable revision in a list.
type followerOracle struct {
	accepted       []*configpb.Revision
	startedNumbers []uint64 // numbers of the revisions returned by startNext
	applying       bool
	inForce        uint64
	rejected       uint64 // number of the last rejected revision
}

// receive handles an update on the current stream. sequence is that of the last report sent; hasStream is false if there is no
// current stream.
func (o *followerOracle) receive(update *configpb.Update, sequence uint64, hasStream bool) {
	if !hasStream || update == nil || update.Revision == nil {
		return
	}
	revision := update.Revision
	if update.Report == 0 || update.Report > sequence {
		return
	}
	if revision.Number == 0 || revision.Number != update.Newest || revision.Checksum != update.NewestChecksum {
		return
	}
	if n := len(revision.Document); n == 0 || n > distribution.MaxDocument {
		return
	}
	if configpb.Checksum(revision.Document) != revision.Checksum {
		return
	}
	for _, earlier := range o.accepted {
		if earlier.Number >= revision.Number {
			return
		}
	}
	o.accepted = append(o.accepted, revision)
}

// startNext returns the number of the next revision to apply; 0: none.
func (o *followerOracle) startNext() uint64 {
	if o.applying || len(o.accepted) == 0 {
		return 0
	}
	newest := o.accepted[len(o.accepted)-1].Number
	for _, number := range o.startedNumbers {
		if number == newest {
			return 0
		}
	}
	o.startedNumbers = append(o.startedNumbers, newest)
	o.applying = true
	return newest
}

// FuzzFollowerReceive passes updates, ends of streams and the progress of time to a follower, and compares the revisions
// that the follower returns for applying, its reports and its status with the oracle.
func FuzzFollowerReceive(f *testing.F) {
	f.Add([]byte{0, 2, 1, 0, 0, 0, 5, 0, 2, 2, 0, 0, 0})
	f.Add([]byte{0, 255, 0, 3, 3, 0, 1, 0, 1, 1, 9, 1, 3, 4, 5, 6})
	f.Add([]byte{0, 2, 5, 0, 0, 0, 6, 0, 6, 5, 0, 0, 1, 3, 0, 2, 4, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		follower, stream, now := newFollower(t, 3)
		run := &followerFuzzRun{
			input:    &fuzzInput{data},
			oracle:   &followerOracle{},
			follower: follower,
			stream:   stream,
			now:      now,
			sequence: 1,
		}
		for events := 0; len(run.input.data) > 0 && events < maxFuzzEvents; events++ {
			run.runEvent()
			run.requireReady(t)
			run.requireStatus(t)
		}
	})
}

// followerFuzzRun is one run of FuzzFollowerReceive.
type followerFuzzRun struct {
	input    *fuzzInput
	oracle   *followerOracle
	follower *distribution.Follower
	stream   distribution.StreamID // 0: none
	now      time.Time
	sequence uint64 // sequence number of the last report on the stream
	applying uint64 // number of the revision that is being applied; 0: none
}

// runEvent passes the next event of the input to the follower and to the oracle.
func (r *followerFuzzRun) runEvent() {
	switch r.input.byte() % 8 {
	case 0, 1, 2:
		update := fuzzedUpdate(r.input, r.sequence)
		r.follower.UpdateReceived(r.now, r.stream, update)
		r.oracle.receive(update, r.sequence, r.stream != 0)
	case 3:
		update := fuzzedUpdate(r.input, r.sequence)
		r.follower.UpdateReceived(r.now, r.stream+1, update) // on a stream other than the current one
	case 4:
		r.now = r.now.Add(time.Duration(r.input.byte()) * 20 * time.Millisecond)
		r.follower.Tick(r.now)
	case 5:
		if r.applying != 0 {
			r.follower.RevisionApplied(r.now, r.applying)
			r.oracle.inForce, r.oracle.applying, r.applying = r.applying, false, 0
		}
	case 6:
		if r.applying != 0 {
			r.follower.RevisionRejected(r.now, r.applying, "key", string(r.input.byte()))
			r.oracle.rejected, r.oracle.applying, r.applying = r.applying, false, 0
		}
	case 7:
		r.follower.StreamEnded(r.now, r.stream)
	}
}

// requireReady compares the work that Ready returns with the oracle, and starts to apply the revision that it contains.
func (r *followerFuzzRun) requireReady(t *testing.T) {
	ready := r.follower.Ready(r.now)
	if ready.Open != nil {
		r.sequence = 0
	}
	if ready.Report != nil {
		r.sequence++
		require.Equal(t, r.sequence, ready.Report.GetSequence())
		require.Equal(t, r.oracle.inForce, ready.Report.GetInForce())
	}
	r.stream = ready.Stream
	want := r.oracle.startNext()
	require.Equal(t, want, ready.Apply.GetNumber())
	if want != 0 {
		r.applying = want
	}
}

// requireStatus compares the follower's status with the oracle, and checks the bounds of its staleness and its next tick.
func (r *followerFuzzRun) requireStatus(t *testing.T) {
	status := r.follower.Status(r.now)
	require.Equal(t, r.oracle.inForce, status.InForce)
	if r.oracle.rejected > r.oracle.inForce {
		require.Equal(t, r.oracle.rejected, status.Rejection.GetNumber())
	} else {
		require.Nil(t, status.Rejection)
	}
	require.GreaterOrEqual(t, status.Staleness, time.Duration(0))
	require.Less(t, r.follower.NextTick().Sub(r.now), 11*time.Second)
}

// FuzzHubReport passes reports of a few brokers on a few sessions to a hub. After each event it counts, from the brokers'
// reports in the hub's status, how many connected brokers have each tracked revision in force, and compares the result with
// the counts in Status.InForce.
func FuzzHubReport(f *testing.F) {
	f.Add([]byte{0, 1, 0, 0, 1, 1, 1, 1, 0, 1, 1, 1, 2, 1, 2, 0})
	f.Add([]byte{0, 0, 1, 0, 1, 1, 1, 1, 1, 1, 1, 2, 1, 2, 2, 0, 3, 0, 4, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &fuzzInput{data}
		h := distribution.NewHub()
		now := epoch
		newest := uint64(0)
		var sessions []distribution.SessionID
		for events := 0; len(in.data) > 0 && events < maxFuzzEvents; events++ {
			switch in.byte() % 5 {
			case 0:
				if id, err := h.OpenSession(now); err == nil {
					sessions = append(sessions, id)
				}
			case 1:
				if len(sessions) > 0 {
					id := sessions[int(in.byte())%len(sessions)]
					report := fuzzedReport(in)
					before := h.Counts()
					err := h.ReportReceived(now, id, report)
					after := h.Counts()
					dropped := after.Malformed + after.WrongInstance + after.OutOfOrder -
						before.Malformed - before.WrongInstance - before.OutOfOrder
					if err == nil {
						require.EqualValues(t, 1, after.Accepted-before.Accepted+dropped)
					}
					require.LessOrEqual(t, after.Accepted-before.Accepted+dropped, uint64(1))
				}
			case 2:
				newest += uint64(in.byte()%3) + 1
				require.NoError(t, h.SetNewest(now, revisionOf(newest)))
			case 3:
				if len(sessions) > 0 {
					h.CloseSession(now, sessions[int(in.byte())%len(sessions)])
				}
			case 4:
				now = now.Add(time.Duration(in.byte()) * 100 * time.Millisecond)
				for _, id := range sessions {
					update, _, err := h.NextUpdate(now, id)
					if err == nil && update.GetRevision() != nil {
						require.Equal(t, newest, update.GetRevision().GetNumber())
					}
				}
			}
			requirePropagation(t, h.Status(now))
		}
	})
}

// fuzzedReport returns a report that is valid for some inputs and almost valid for others.
func fuzzedReport(in *fuzzInput) *configpb.Report {
	report := &configpb.Report{
		Name:          string(rune('a' + in.byte()%3)),
		StartedUnixMs: int64(in.number()),
		InForce:       in.number(),
		Sequence:      in.number(),
	}
	switch in.byte() % 8 {
	case 1:
		report.Refusal = &configpb.Refusal{Number: in.number()}
	case 2:
		report.Zone = string([]byte{in.byte()})
	case 3:
		return nil
	}
	return report
}

// requirePropagation compares the broker counts of each tracked revision with the brokers' reports.
func requirePropagation(t *testing.T, status distribution.Status) {
	for i, propagation := range status.InForce {
		inForce, connected := 0, 0
		for _, broker := range status.Brokers {
			if broker.GetConnected() {
				connected++
				if broker.GetReport().GetInForce() >= propagation.GetNumber() {
					inForce++
				}
			}
		}
		require.EqualValues(t, inForce, propagation.GetBrokers())
		require.LessOrEqual(t, int(propagation.GetLagging())+inForce, connected)
		if connected > 0 && inForce == connected {
			require.NotZero(t, propagation.GetEverywhereUnixMs(), "revision %d", propagation.GetNumber())
		}
		if i > 0 {
			require.Less(t, propagation.GetNumber(), status.InForce[i-1].GetNumber())
		}
	}
}
