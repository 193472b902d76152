package plane_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

const fleetFingerprint = 9

func entry(name, addr string) *planepb.Entry {
	b, _ := netip.MustParseAddrPort(addr).MarshalBinary()
	return &planepb.Entry{Name: name, Start: 5, Addr: b, State: 3}
}

func validDatagram() *planepb.Datagram {
	return &planepb.Datagram{Version: plane.Version, Fleet: fleetFingerprint, From: plane.InstanceID("n1", 5), Seq: 1,
		Self: entry("n1", "127.0.0.1:7946"), Entries: []*planepb.Entry{entry("n2", "[::1]:7946")}, Have: []byte{1, 2}}
}

func TestAppendAndParseRoundTrip(t *testing.T) {
	b, err := plane.Append(nil, validDatagram())
	require.NoError(t, err)
	require.Equal(t, len(b)+plane.Overhead, plane.WireSize(validDatagram()))
	d, err := plane.Parse(b, fleetFingerprint)
	require.NoError(t, err)
	require.True(t, proto.Equal(validDatagram(), d))
	require.Equal(t, netip.MustParseAddrPort("[::1]:7946"), plane.EntryAddr(d.Entries[0]))
}

// TestParseRejectsInvalidDatagrams checks the error for each kind of invalid datagram. Dropped datagrams are counted by error.
func TestParseRejectsInvalidDatagrams(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*planepb.Datagram)
		want   error
	}{
		"another version":     {func(d *planepb.Datagram) { d.Version++ }, plane.ErrUnsupportedVersion},
		"another fleet":       {func(d *planepb.Datagram) { d.Fleet++ }, plane.ErrOtherFleet},
		"no sender":           {func(d *planepb.Datagram) { d.From = 0 }, plane.ErrInvalidContent},
		"no sequence number":  {func(d *planepb.Datagram) { d.Seq = 0 }, plane.ErrInvalidContent},
		"sender ID mismatch":  {func(d *planepb.Datagram) { d.From++ }, plane.ErrInvalidContent},
		"incomplete hash":     {func(d *planepb.Datagram) { d.Have = d.Have[:1] }, plane.ErrInvalidContent},
		"no name":             {func(d *planepb.Datagram) { d.Entries[0].Name = "" }, plane.ErrInvalidContent},
		"name of 65 bytes":    {func(d *planepb.Datagram) { d.Entries[0].Name = string(make([]byte, 65)) }, plane.ErrInvalidContent},
		"no address":          {func(d *planepb.Datagram) { d.Entries[0].Addr = nil }, plane.ErrInvalidContent},
		"unspecified address": {func(d *planepb.Datagram) { d.Entries[0] = entry("n2", "0.0.0.0:1") }, plane.ErrInvalidContent},
		"state of two bytes":  {func(d *planepb.Datagram) { d.Entries[0].State = 256 }, plane.ErrInvalidContent},
		"no start time":       {func(d *planepb.Datagram) { d.Entries[0].Start = 0 }, plane.ErrInvalidContent},
	} {
		d := validDatagram()
		c.change(d)
		b, err := proto.Marshal(d)
		require.NoError(t, err)
		_, err = plane.Parse(b, fleetFingerprint)
		require.ErrorIs(t, err, c.want, name)
	}
	b, err := plane.Append(nil, validDatagram())
	require.NoError(t, err)
	_, err = plane.Parse(b[:len(b)-1], fleetFingerprint)
	require.ErrorIs(t, err, plane.ErrMalformed)
	_, err = plane.Parse(make([]byte, plane.MaxDatagramSize+1), fleetFingerprint)
	require.ErrorIs(t, err, plane.ErrOversized)
	large := validDatagram()
	large.Vector = make([]byte, plane.MaxDatagramSize)
	_, err = plane.Append(nil, large)
	require.ErrorIs(t, err, plane.ErrOversized)
}

// FuzzParse checks that each datagram accepted by Parse survives a round trip through Append and Parse.
func FuzzParse(f *testing.F) {
	b, _ := plane.Append(nil, validDatagram())
	f.Add(b)
	f.Add([]byte{})
	f.Add([]byte{0x08, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := plane.Parse(b, fleetFingerprint)
		if err != nil {
			require.Nil(t, d)
			return
		}
		encoded, err := plane.Append(nil, d)
		if err != nil {
			require.ErrorIs(t, err, plane.ErrOversized) // Append can encode the same message in more bytes
			return
		}
		decoded, err := plane.Parse(encoded, fleetFingerprint)
		require.NoError(t, err)
		require.True(t, proto.Equal(d, decoded))
	})
}
