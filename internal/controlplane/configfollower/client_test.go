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

// controlMachine is a control machine on the loopback interface that implements only Follow.
type controlMachine struct {
	configpb.UnimplementedControlServer
	hub     *confighub.Hub
	grpc    *grpc.Server
	address string
}

func (m *controlMachine) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	return m.hub.Follow(stream)
}

// startControlMachine starts a control machine at an address. It runs until the test ends or its gRPC server is stopped.
func startControlMachine(t testing.TB, address string) *controlMachine {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	m := &controlMachine{
		hub:     confighub.New(slog.New(slog.DiscardHandler)),
		grpc:    grpc.NewServer(confighub.ServerOptions()...),
		address: listener.Addr().String(),
	}
	configpb.RegisterControlServer(m.grpc, m)
	serveDone := make(chan struct{})
	go func() {
		defer close(serveDone)
		_ = m.grpc.Serve(listener)
	}()
	t.Cleanup(func() {
		m.grpc.Stop()
		<-serveDone
	})
	return m
}

func newRevision(number uint64, document string) *configpb.Revision {
	return &configpb.Revision{
		Number:          number,
		Checksum:        configpb.Checksum([]byte(document)),
		Document:        []byte(document),
		PublishedUnixMs: time.Now().UnixMilli(),
	}
}

// broker is a client that records the revisions that it applies.
type broker struct {
	*configfollower.Client
	applyLock  sync.Mutex                   // held by a test to block apply
	rejections map[uint64]*configpb.Refusal // by revision number; other revisions are applied

	mu      sync.Mutex // guards applied
	applied []uint64   // revision numbers, in order of application
}

// apply implements Options.Apply.
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

// startBroker runs the broker b1 until the test ends. Tests start it in a subtest, so that its cleanup runs before goleak
// checks for leaked goroutines.
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
	runDone := make(chan struct{})
	go func() {
		defer close(runDone)
		client.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-runDone
	})
	return b
}

func TestClientAppliesAndRejectsRevisionsAndReportsThem(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		m := startControlMachine(t, "127.0.0.1:0")
		require.NoError(t, m.hub.SetNewest(newRevision(1, "one"), time.Now()))
		rejection := &configpb.Refusal{Key: "settings.port", Reason: "needs a restart"}
		b := startBroker(t, map[uint64]*configpb.Refusal{2: rejection}, m.address)
		require.Eventually(t, func() bool { return b.Status().InForce == 1 }, 5*time.Second, 5*time.Millisecond)
		require.NoError(t, m.hub.SetNewest(newRevision(2, "two"), time.Now()))
		require.Eventually(t, func() bool { return b.Status().Rejection.GetNumber() == 2 }, 5*time.Second, 5*time.Millisecond)
		require.Eventually(t, func() bool {
			report := m.hub.Status().Brokers[0].GetReport()
			return report.GetInForce() == 1 && report.GetRefusal().GetKey() == "settings.port"
		}, 5*time.Second, 5*time.Millisecond)
		require.NoError(t, m.hub.SetNewest(newRevision(3, "three"), time.Now()))
		require.Eventually(t, func() bool { return m.hub.Status().InForce[0].GetEverywhereUnixMs() != 0 },
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
		var machines []*controlMachine
		var addresses []string
		for range 2 {
			m := startControlMachine(t, "127.0.0.1:0")
			require.NoError(t, m.hub.SetNewest(newRevision(1, "one"), time.Now()))
			machines, addresses = append(machines, m), append(addresses, m.address)
		}
		b := startBroker(t, nil, addresses...)
		require.Eventually(t, func() bool { return b.Status().InForce == 1 }, 5*time.Second, 5*time.Millisecond)
		for _, m := range machines {
			if m.address == b.Status().Control {
				m.grpc.Stop()
				continue
			}
			require.NoError(t, m.hub.SetNewest(newRevision(2, "two"), time.Now()))
		}
		require.Eventually(t, func() bool { return b.Status().InForce == 2 }, 8*time.Second, 5*time.Millisecond)
		require.Equal(t, []uint64{1, 2}, b.appliedNumbers())
	})
}

func TestClientConnectsOnceControlMachineStarts(t *testing.T) {
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

		m := startControlMachine(t, address)
		require.NoError(t, m.hub.SetNewest(newRevision(7, "seven"), time.Now()))
		require.Eventually(t, func() bool { return b.Status().InForce == 7 }, 8*time.Second, 5*time.Millisecond,
			fmt.Sprint(b.Status()))
	})
}

func TestClientReceivesWhileApplyBlocksAndSkipsToNewest(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		m := startControlMachine(t, "127.0.0.1:0")
		b := startBroker(t, nil, m.address)
		b.applyLock.Lock()
		for number := uint64(1); number <= 5; number++ {
			require.NoError(t, m.hub.SetNewest(newRevision(number, fmt.Sprint(number)), time.Now()))
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

func TestStreamOfRestartedClientReplacesPreviousStream(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("", func(t *testing.T) {
		m := startControlMachine(t, "127.0.0.1:0")
		require.NoError(t, m.hub.SetNewest(newRevision(1, "one"), time.Now()))
		previous := startBroker(t, nil, m.address)
		require.Eventually(t, func() bool { return previous.Status().InForce == 1 }, 5*time.Second, 5*time.Millisecond)
		time.Sleep(2 * time.Millisecond) // instances are distinguished by their start time in milliseconds
		restarted := startBroker(t, nil, m.address)
		require.Eventually(t, func() bool { return restarted.Status().InForce == 1 }, 5*time.Second, 5*time.Millisecond)
		require.Eventually(t, func() bool { return previous.Status().Counts.StreamsEnded > 0 }, 8*time.Second, 5*time.Millisecond)
		require.Len(t, m.hub.Status().Brokers, 1)
	})
}
