package configfollower_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"mothrouter/internal/controlplane/configfollower"
	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

// controlMachine is a control machine on loopback that serves Follow only.
type controlMachine struct {
	configpb.UnimplementedControlServer
	hub     *confighub.Hub
	grpc    *grpc.Server
	address string
}

func (s *controlMachine) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	return s.hub.Follow(stream)
}

// startControlMachine serves at an address until the test ends or grpc is stopped.
func startControlMachine(t testing.TB, address string) *controlMachine {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	s := &controlMachine{
		hub:     confighub.New(slog.New(slog.DiscardHandler)),
		grpc:    grpc.NewServer(confighub.ServerOptions()...),
		address: listener.Addr().String(),
	}
	configpb.RegisterControlServer(s.grpc, s)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.grpc.Serve(listener)
	}()
	t.Cleanup(func() {
		s.grpc.Stop()
		<-served
	})
	return s
}

func revisionOf(number uint64, document string) *configpb.Revision {
	return &configpb.Revision{
		Number:          number,
		Checksum:        configpb.Checksum([]byte(document)),
		Document:        []byte(document),
		PublishedUnixMs: time.Now().UnixMilli(),
	}
}

// broker is a client that records the revisions which it applies.
type broker struct {
	*configfollower.Client
	applyLock  sync.Mutex                   // a test holds it to block apply
	rejections map[uint64]*configpb.Refusal // by revision; the others are applied

	mu      sync.Mutex // guards applied
	applied []uint64   // numbers, in order
}

// apply is the client's Options.Apply.
func (b *broker) apply(revision *configpb.Revision) *configpb.Refusal {
	b.applyLock.Lock()
	defer b.applyLock.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if rejection := b.rejections[revision.GetNumber()]; rejection != nil {
		return rejection
	}
	b.applied = append(b.applied, revision.GetNumber())
	return nil
}

func (b *broker) appliedNumbers() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]uint64(nil), b.applied...)
}

// startBroker runs the broker b1 until the test ends.
func startBroker(t testing.TB, rejections map[uint64]*configpb.Refusal, addresses ...string) *broker {
	b := &broker{rejections: rejections}
	var machines []distribution.ControlMachine
	for _, address := range addresses {
		machines = append(machines, distribution.ControlMachine{Address: address})
	}
	client, err := configfollower.New(configfollower.Options{
		Name:      "b1",
		StartedAt: time.Now(),
		Zone:      "a",
		Machines:  machines,
		FleetSize: 1,
		Log:       slog.New(slog.DiscardHandler),
		Apply:     b.apply,
	})
	require.NoError(t, err)
	b.Client = client
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return b
}

func TestClientAppliesAndRejectsRevisionsAndReportsThem(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		s := startControlMachine(t, "127.0.0.1:0")
		require.NoError(t, s.hub.SetNewest(revisionOf(1, "one"), time.Now()))
		rejection := &configpb.Refusal{Key: "settings.port", Reason: "needs a restart"}
		b := startBroker(t, map[uint64]*configpb.Refusal{2: rejection}, s.address)
		require.Eventually(t, func() bool { return b.Status().InForce == 1 }, 5*time.Second, 5*time.Millisecond)
		require.NoError(t, s.hub.SetNewest(revisionOf(2, "two"), time.Now()))
		require.Eventually(t, func() bool { return b.Status().Rejection.GetNumber() == 2 }, 5*time.Second, 5*time.Millisecond)
		require.Eventually(t, func() bool {
			report := s.hub.Status().Brokers[0].GetReport()
			return report.GetInForce() == 1 && report.GetRefusal().GetKey() == "settings.port"
		}, 5*time.Second, 5*time.Millisecond)
		require.NoError(t, s.hub.SetNewest(revisionOf(3, "three"), time.Now()))
		require.Eventually(t, func() bool { return s.hub.Status().InForce[0].GetEverywhereUnixMs() != 0 },
			5*time.Second, 5*time.Millisecond)
		require.Equal(t, []uint64{1, 3}, b.appliedNumbers())
		require.Nil(t, b.Status().Rejection)
		staleness, known := b.Status().Staleness, b.Status().StalenessKnown
		require.True(t, known)
		require.Less(t, staleness, 5*time.Second)
	})
}

func TestClientFailsOverToAnotherControlMachine(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		var servers []*controlMachine
		var addresses []string
		for range 2 {
			s := startControlMachine(t, "127.0.0.1:0")
			require.NoError(t, s.hub.SetNewest(revisionOf(1, "one"), time.Now()))
			servers, addresses = append(servers, s), append(addresses, s.address)
		}
		b := startBroker(t, nil, addresses...)
		require.Eventually(t, func() bool { return b.Status().InForce == 1 }, 5*time.Second, 5*time.Millisecond)
		for _, s := range servers {
			if s.address == b.Status().Control {
				s.grpc.Stop()
				continue
			}
			require.NoError(t, s.hub.SetNewest(revisionOf(2, "two"), time.Now()))
		}
		require.Eventually(t, func() bool { return b.Status().InForce == 2 }, 8*time.Second, 5*time.Millisecond)
		require.Equal(t, []uint64{1, 2}, b.appliedNumbers())
	})
}

func TestClientConnectsOnceAControlMachineStarts(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		b := startBroker(t, nil, address)
		require.Eventually(t, func() bool { return b.Status().Counts.StreamsEnded > 1 }, 8*time.Second, 5*time.Millisecond)
		require.False(t, b.Status().StalenessKnown)
		require.Zero(t, b.Status().InForce)

		s := startControlMachine(t, address)
		require.NoError(t, s.hub.SetNewest(revisionOf(7, "seven"), time.Now()))
		require.Eventually(t, func() bool { return b.Status().InForce == 7 }, 8*time.Second, 5*time.Millisecond,
			fmt.Sprint(b.Status()))
	})
}

func TestClientReceivesWhileApplyBlocksAndSkipsToNewest(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		s := startControlMachine(t, "127.0.0.1:0")
		b := startBroker(t, nil, s.address)
		b.applyLock.Lock()
		for number := uint64(1); number <= 5; number++ {
			require.NoError(t, s.hub.SetNewest(revisionOf(number, fmt.Sprint(number)), time.Now()))
			require.Eventually(t, func() bool { return b.Status().Newest == number }, 5*time.Second, 5*time.Millisecond)
		}
		updates := b.Status().Counts.Updates
		require.Eventually(t, func() bool { return b.Status().Counts.Updates > updates }, 5*time.Second, 5*time.Millisecond)
		require.Zero(t, b.Status().InForce)
		b.applyLock.Unlock()
		require.Eventually(t, func() bool { return b.Status().InForce == 5 }, 5*time.Second, 5*time.Millisecond)
		require.Equal(t, []uint64{1, 5}, b.appliedNumbers())
	})
}

func TestRestartedClientSupersedesFormerStream(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		s := startControlMachine(t, "127.0.0.1:0")
		require.NoError(t, s.hub.SetNewest(revisionOf(1, "one"), time.Now()))
		old := startBroker(t, nil, s.address)
		require.Eventually(t, func() bool { return old.Status().InForce == 1 }, 5*time.Second, 5*time.Millisecond)
		time.Sleep(2 * time.Millisecond) // instances differ by the millisecond of their start
		restarted := startBroker(t, nil, s.address)
		require.Eventually(t, func() bool { return restarted.Status().InForce == 1 }, 5*time.Second, 5*time.Millisecond)
		require.Eventually(t, func() bool { return old.Status().Counts.StreamsEnded > 0 }, 8*time.Second, 5*time.Millisecond)
		require.Len(t, s.hub.Status().Brokers, 1)
	})
}
