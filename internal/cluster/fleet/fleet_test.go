package fleet_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mothrouter/internal/cluster/fleet"
	"mothrouter/internal/cluster/membership"
	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
	"mothrouter/internal/harness/logtest"
)

func startAgent(t *testing.T, log io.Writer, name string, seeds ...netip.AddrPort) (agent *fleet.Agent, addr netip.AddrPort, end func()) {
	addr = netip.MustParseAddrPort("127.79.0." + name + ":7946")
	agent, err := fleet.Listen(fleet.Options{Listen: addr, Fleet: "f", Name: name, Seeds: append(seeds, addr),
		Log: slog.New(slog.NewTextHandler(log, nil))})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.Run(ctx)
	}()
	return agent, addr, func() { cancel(); <-done }
}

func TestAgentsJoinAndLeave(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, seed, endA := startAgent(t, io.Discard, "1")
	defer endA()
	b, _, endB := startAgent(t, io.Discard, "2", seed)
	c, _, endC := startAgent(t, io.Discard, "3", seed)
	defer endC()
	for _, agent := range []*fleet.Agent{a, b, c} {
		require.Eventually(t, func() bool { return agent.FleetSize().Alive == 3 }, 10*time.Second, 20*time.Millisecond)
	}
	endB()
	require.Eventually(t, func() bool {
		return a.FleetSize() == membership.FleetSize{Alive: 2, Known: 2, Sharing: 2} && c.FleetSize().Alive == 2
	}, 3*time.Second, 20*time.Millisecond)
}

// TestInvalidDatagramsAreDroppedAndCounted sends a datagram of another fleet, truncated, oversized and empty datagrams, and
// then a burst of 5,000. The drops are logged by reason, and the fleet size does not change.
func TestInvalidDatagramsAreDroppedAndCounted(t *testing.T) {
	log := &logtest.Buffer{}
	agent, addr, end := startAgent(t, log, "9")
	defer end()
	conn, err := net.Dial("udp", addr.String())
	require.NoError(t, err)
	defer conn.Close()
	foreign, err := plane.Append(nil, &planepb.Datagram{Version: plane.Version, Fleet: plane.FleetFingerprint("g"), From: 1, Seq: 1})
	require.NoError(t, err)
	for _, b := range [][]byte{foreign, foreign[:5], make([]byte, 3000), {}} {
		_, err := conn.Write(b)
		require.NoError(t, err)
	}
	for range 5000 {
		conn.Write(foreign)
	}
	require.Eventually(t, func() bool {
		s := log.String()
		return strings.Contains(s, "from another fleet") && strings.Contains(s, "torn") && strings.Contains(s, "oversized")
	}, 15*time.Second, 50*time.Millisecond)
	require.Equal(t, 1, agent.FleetSize().Alive)
}
