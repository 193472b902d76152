package membership_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/cluster/membership"
	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// FuzzReceive passes arbitrary datagrams that plane.Parse would accept to a view, and checks that it does not panic, that the
// member list and the traffic stay bounded, and that the view never reports self as lost.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
	f.Add(make([]byte, 400))
	f.Fuzz(func(t *testing.T, script []byte) {
		addr := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, i}), 1) }
		v := membership.New(membership.Options{Self: membership.Instance{Name: "self", Start: 1, Addr: addr(1)},
			Fleet: fleetFingerprint, Seed: 1, Seeds: []netip.AddrPort{addr(2)}})
		now, bytes, seq := time.Duration(0), 0, uint64(0)
		countBytes := func(out []membership.Send) {
			for _, s := range out {
				require.LessOrEqual(t, plane.WireSize(s.Data), plane.MaxDatagramSize+plane.Overhead)
				bytes += plane.WireSize(s.Data)
			}
		}
		received := 0
		for ; len(script) >= 8; script = script[8:] {
			op := script[:8]
			now += time.Duration(op[0]) * time.Millisecond
			if op[1]&1 == 0 {
				countBytes(v.Tick(now))
			}
			peer := membership.Instance{Name: string('a' + op[2]%5), Start: 1 + uint64(op[2]>>7), Addr: addr(3)}
			b, _ := peer.Addr.MarshalBinary()
			e := &planepb.Entry{Name: peer.Name, Start: peer.Start, Addr: b, State: uint32(op[3]), Age: uint32(op[4])}
			seq += uint64(op[5] % 3)
			d := &planepb.Datagram{From: peer.ID(), Seq: seq + 1, Ping: uint32(op[6] & 3), Pong: uint32(op[6] >> 2 & 15),
				Roster: uint32(op[4]), States: binary.LittleEndian.Uint32(op[4:8]), Who: op[7]&1 != 0, Leave: op[7]&130 == 130,
				About: peer.ID(), Ask: uint32(op[7] & 2), Tell: uint32(op[7] & 4), Heard: op[7]&8 != 0, Sync: op[7]&16 != 0}
			if op[1]&2 != 0 {
				d.Self = e
			}
			if op[1]&4 != 0 {
				d.Entries = []*planepb.Entry{e}
			}
			if op[1]&8 != 0 {
				d.Vector, d.Roster = op[2:min(2+len(v.Members()), 8)], uint32(v.Fingerprint()>>32)
			}
			countBytes(v.Receive(now, peer.Addr, d))
			received++
		}
		members := v.Members()
		require.LessOrEqual(t, len(members), 11)
		for _, m := range members {
			if m.Name == "self" {
				require.Equal(t, membership.Alive, m.Status)
			}
		}
		size := v.FleetSize()
		require.LessOrEqual(t, size.Alive, size.Known)
		require.GreaterOrEqual(t, size.Sharing, size.Alive)
		// The last term allows for an ack of each datagram received.
		require.Less(t, float64(bytes), 4000*now.Seconds()+10_000+100*float64(received))
	})
}
