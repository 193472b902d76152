package distribution_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// maxFuzzEvents bounds the events of one input.
const maxFuzzEvents = 300

// fuzzInput reads a fuzz input piece by piece, and zeros after its end.
type fuzzInput struct{ data []byte }

func (r *fuzzInput) byte() byte {
	if len(r.data) == 0 {
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

func (r *fuzzInput) number() uint64 {
	if b := r.byte(); b < 250 {
		return uint64(b % 8)
	}
	var encoded [8]byte
	for i := range encoded {
		encoded[i] = r.byte()
	}
	return binary.LittleEndian.Uint64(encoded[:])
}

// fuzzedUpdate returns an update that is often valid and often almost valid.
func fuzzedUpdate(r *fuzzInput, sequence uint64) *configpb.Update {
	kind := r.byte()
	if kind == 255 {
		return nil
	}
	update := &configpb.Update{Newest: r.number(), ConfirmedMs: uint32(r.number()), Report: sequence}
	update.ReportMs = uint32(r.byte())
	document := []byte{r.byte() % 3, byte(update.Newest)}
	if kind&1 != 0 {
		document = make([]byte, distribution.MaxDocument+int(r.byte()%3))
	}
	if update.Newest != 0 {
		update.NewestChecksum = configpb.Checksum(document)
	}
	if kind&2 != 0 {
		update.Revision = &configpb.Revision{Number: update.Newest, Document: document, Checksum: update.NewestChecksum}
	}
	if kind&4 != 0 {
		update.NewestChecksum += r.number()
	}
	if kind&8 != 0 && update.Revision != nil {
		update.Revision.Checksum += r.number()
		update.Revision.Number += r.number()
	}
	if kind&16 != 0 {
		update.Report = r.number()
	}
	return update
}

// followerOracle is a plain model of a Follower's revisions: it keeps every acceptable one in a list.
type followerOracle struct {
	accepted []*configpb.Revision
	applied  []uint64
	applying bool
	inForce  uint64
	rejected uint64
}

func (o *followerOracle) receive(update *configpb.Update, sequence uint64, present bool) {
	if !present || update == nil || update.Revision == nil {
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
	for _, old := range o.accepted {
		if old.Number >= revision.Number {
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
	for _, old := range o.applied {
		if old == newest {
			return 0
		}
	}
	o.applied = append(o.applied, newest)
	o.applying = true
	return newest
}

// FuzzFollowerReceive feeds a follower updates, ends of streams and passing time, and compares what it hands out and
// reports with the oracle.
func FuzzFollowerReceive(f *testing.F) {
	f.Add([]byte{0, 2, 1, 0, 0, 0, 5, 0, 2, 2, 0, 0, 0})
	f.Add([]byte{0, 255, 0, 3, 3, 0, 1, 0, 1, 1, 9, 1, 3, 4, 5, 6})
	f.Add([]byte{0, 2, 5, 0, 0, 0, 6, 0, 6, 5, 0, 0, 1, 3, 0, 2, 4, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		follower, stream, now := newFollower(t, 3)
		z := &followerFuzz{
			input:    &fuzzInput{data},
			oracle:   &followerOracle{},
			follower: follower,
			stream:   stream,
			now:      now,
			sequence: 1,
		}
		for events := 0; len(z.input.data) > 0 && events < maxFuzzEvents; events++ {
			z.playEvent()
			z.requireReady(t)
			z.requireStatus(t)
		}
	})
}

// followerFuzz is one run of FuzzFollowerReceive.
type followerFuzz struct {
	input    *fuzzInput
	oracle   *followerOracle
	follower *distribution.Follower
	stream   distribution.StreamID // 0: none
	now      time.Time
	sequence uint64 // of the last report on the stream
	applying uint64 // number of the revision that is being applied; 0: none
}

// playEvent passes the next event of the input to the follower and to the oracle.
func (z *followerFuzz) playEvent() {
	switch z.input.byte() % 8 {
	case 0, 1, 2:
		update := fuzzedUpdate(z.input, z.sequence)
		z.follower.UpdateReceived(z.now, z.stream, update)
		z.oracle.receive(update, z.sequence, z.stream != 0)
	case 3:
		update := fuzzedUpdate(z.input, z.sequence)
		z.follower.UpdateReceived(z.now, z.stream+1, update) // of another stream
	case 4:
		z.now = z.now.Add(time.Duration(z.input.byte()) * 20 * time.Millisecond)
		z.follower.Tick(z.now)
	case 5:
		if z.applying != 0 {
			z.follower.RevisionApplied(z.now, z.applying)
			z.oracle.inForce, z.oracle.applying, z.applying = z.applying, false, 0
		}
	case 6:
		if z.applying != 0 {
			z.follower.RevisionRejected(z.now, z.applying, "key", string(z.input.byte()))
			z.oracle.rejected, z.oracle.applying, z.applying = z.applying, false, 0
		}
	case 7:
		z.follower.StreamEnded(z.now, z.stream)
	}
}

// requireReady compares the work for the driver with the oracle, and takes it up.
func (z *followerFuzz) requireReady(t *testing.T) {
	ready := z.follower.Ready(z.now)
	if ready.Open != nil {
		z.sequence = 0
	}
	if ready.Report != nil {
		z.sequence++
		require.Equal(t, z.sequence, ready.Report.GetSequence())
		require.Equal(t, z.oracle.inForce, ready.Report.GetInForce())
	}
	z.stream = ready.Stream
	want := z.oracle.startNext()
	require.Equal(t, want, ready.Apply.GetNumber())
	if want != 0 {
		z.applying = want
	}
}

// requireStatus compares the follower's status with the oracle, and checks the bounds of its times.
func (z *followerFuzz) requireStatus(t *testing.T) {
	status := z.follower.Status(z.now)
	require.Equal(t, z.oracle.inForce, status.InForce)
	if z.oracle.rejected > z.oracle.inForce {
		require.Equal(t, z.oracle.rejected, status.Rejection.GetNumber())
	} else {
		require.Nil(t, status.Rejection)
	}
	require.GreaterOrEqual(t, status.Staleness, time.Duration(0))
	require.Less(t, z.follower.NextTick().Sub(z.now), 11*time.Second)
}

// FuzzHubReport feeds a hub reports of a few brokers over a few sessions, and compares the propagation of its revisions
// with counts over all brokers.
func FuzzHubReport(f *testing.F) {
	f.Add([]byte{0, 1, 0, 0, 1, 1, 1, 1, 0, 1, 1, 1, 2, 1, 2, 0})
	f.Add([]byte{0, 0, 1, 0, 1, 1, 1, 1, 1, 1, 1, 2, 1, 2, 2, 0, 3, 0, 4, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, h, now := &fuzzInput{data}, distribution.NewHub(), epoch
		newest := uint64(0)
		var sessions []distribution.SessionID
		for events := 0; len(r.data) > 0 && events < maxFuzzEvents; events++ {
			switch r.byte() % 5 {
			case 0:
				if id, err := h.OpenSession(now); err == nil {
					sessions = append(sessions, id)
				}
			case 1:
				if len(sessions) > 0 {
					id := sessions[int(r.byte())%len(sessions)]
					report := fuzzedReport(r)
					before := h.Counts()
					err := h.ReportReceived(now, id, report)
					after := h.Counts()
					dropped := after.Malformed + after.WrongInstance + after.OutOfOrder - before.Malformed - before.WrongInstance - before.OutOfOrder
					if err == nil {
						require.EqualValues(t, 1, after.Accepted-before.Accepted+dropped)
					}
					require.LessOrEqual(t, after.Accepted-before.Accepted+dropped, uint64(1))
				}
			case 2:
				newest += uint64(r.byte()%3) + 1
				require.NoError(t, h.SetNewest(now, revisionOf(newest)))
			case 3:
				if len(sessions) > 0 {
					h.CloseSession(now, sessions[int(r.byte())%len(sessions)])
				}
			case 4:
				now = now.Add(time.Duration(r.byte()) * 100 * time.Millisecond)
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

func fuzzedReport(r *fuzzInput) *configpb.Report {
	report := &configpb.Report{
		Name:          string(rune('a' + r.byte()%3)),
		StartedUnixMs: int64(r.number()),
		InForce:       r.number(),
		Sequence:      r.number(),
	}
	switch r.byte() % 8 {
	case 1:
		report.Refusal = &configpb.Refusal{Number: r.number()}
	case 2:
		report.Zone = string([]byte{r.byte()})
	case 3:
		return nil
	}
	return report
}

// requirePropagation compares each tracked revision's counts with the brokers' reports.
func requirePropagation(t *testing.T, status distribution.Status) {
	for i, x := range status.InForce {
		have, connected := 0, 0
		for _, broker := range status.Brokers {
			if broker.GetConnected() {
				connected++
				if broker.GetReport().GetInForce() >= x.GetNumber() {
					have++
				}
			}
		}
		require.EqualValues(t, have, x.GetBrokers())
		require.LessOrEqual(t, int(x.GetLagging())+have, connected)
		if connected > 0 && have == connected {
			require.NotZero(t, x.GetEverywhereUnixMs(), "revision %d", x.GetNumber())
		}
		if i > 0 {
			require.Less(t, x.GetNumber(), status.InForce[i-1].GetNumber())
		}
	}
}
