package processtest_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/processtest"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "mothrouter")
	if out, err := exec.Command("go", "build", "-o", program, "mothrouter/cmd/mothrouter").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// config returns a broker's configuration file with a single record server, which does not exist.
func config(name, listen, control string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"control":%q,"discovery":"127.0.0.1:1","seed":"7","limits":{"memory_mb":64,"sockets":256},
		"known":{"version":1,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:2","cell":0,"state":"active"}]},
		"settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,"objectiveS":1,"semantics":"free"}],
		"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":50}}}`, name, listen, control)
}

const fleetSize = 6

// startFleet starts a fleet and waits until each broker sees all brokers alive.
func startFleet(t *testing.T, seed uint64) *processtest.Fleet {
	t.Parallel()
	f, err := processtest.New(processtest.Options{Program: program, Folder: t.TempDir(), Brokers: fleetSize, Seed: seed, Config: config})
	require.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			for _, b := range f.Brokers {
				t.Logf("%s:\n%s", b.Name, b.Log())
			}
		}
	})
	waitForAlive(t, f, 20*time.Second, expectAllAlive)
	f.ResetLostMembers()
	return f
}

// expectAllAlive returns the number of live brokers that a broker has to see if all are alive.
func expectAllAlive(*processtest.Broker) int { return fleetSize }

// expectAllAliveExcept returns an argument for waitForAlive with which all brokers but one have to see a fleet without that
// one. The excluded broker itself may see any number.
func expectAllAliveExcept(index int) func(*processtest.Broker) int {
	return func(b *processtest.Broker) int {
		if b.Index == index {
			return 0
		}
		return fleetSize - 1
	}
}

// waitForAlive waits until each broker sees the number of live brokers that want returns for it, and returns how long that
// took. A broker for which want returns 0 may see any number.
func waitForAlive(t *testing.T, f *processtest.Fleet, within time.Duration, want func(*processtest.Broker) int) time.Duration {
	t.Helper()
	startedAt := time.Now()
	require.Eventually(t, func() bool {
		for _, b := range f.Brokers {
			if n := want(b); n > 0 && b.View().Alive != n {
				return false
			}
		}
		return true
	}, within, 20*time.Millisecond, "a broker does not see the expected number of live brokers")
	return time.Since(startedAt)
}

// requireNoneLost checks that brokers have marked no broker as lost except the named ones.
func requireNoneLost(t *testing.T, f *processtest.Fleet, except ...string) {
	t.Helper()
	for _, b := range f.Brokers {
		for _, name := range b.LostMembers() {
			require.Contains(t, except, name, "%s has marked a live broker as lost", b.Name)
		}
	}
}

func TestKilledBrokerIsRemovedAndRejoins(t *testing.T) {
	f := startFleet(t, 1)
	f.Brokers[4].Kill()
	took := waitForAlive(t, f, 8*time.Second, expectAllAliveExcept(4))
	t.Logf("all brokers have removed the killed one after %v", took)
	require.Less(t, took, 6*time.Second) // the limit is 5 s; 1 s more for a busy machine
	require.NoError(t, f.Brokers[4].Start())
	waitForAlive(t, f, 10*time.Second, expectAllAlive)
	requireNoneLost(t, f, "n4")
	f.Brokers[5].Terminate() // on SIGTERM a broker announces that it leaves
	took = waitForAlive(t, f, 8*time.Second, expectAllAliveExcept(5))
	require.Less(t, took, 2*time.Second)
}

func TestFaultyNetworkAndShortPausesRemoveNoBroker(t *testing.T) {
	f := startFleet(t, 2)
	f.SetAllFaults(processtest.Faults{LossRatio: 0.2, DuplicateRatio: 0.2, MaxDelay: 60 * time.Millisecond})
	sentBefore := f.Brokers[0].SentBytes()
	startedAt := time.Now()
	for i := range 3 {
		b := f.Brokers[i+1]
		b.Pause()
		time.Sleep(3 * time.Second)
		b.Continue()
		time.Sleep(time.Second)
	}
	requireNoneLost(t, f)
	require.Less(t, float64(f.Brokers[0].SentBytes()-sentBefore)/time.Since(startedAt).Seconds(), 4000., "bytes per second")
}

func TestLongPauseRemovesBrokerUntilItContinues(t *testing.T) {
	f := startFleet(t, 3)
	f.Brokers[2].Pause()
	waitForAlive(t, f, 8*time.Second, expectAllAliveExcept(2))
	time.Sleep(2 * time.Second)
	f.Brokers[2].Continue()
	took := waitForAlive(t, f, 6*time.Second, expectAllAlive)
	require.Less(t, took, 4*time.Second)
	requireNoneLost(t, f, "n2")
	require.Empty(t, f.Brokers[2].LostMembers(), "a broker that continues after a pause must not mark others as lost")
}

func TestPartitionFencesMinorityAndCutPairRemovesNoBroker(t *testing.T) {
	const minority = 2 // number of brokers that are cut off from the others
	f := startFleet(t, 4)
	cut := processtest.Faults{Cut: true}
	f.SetFaults(0, 1, cut)
	f.SetFaults(3, 2, cut)
	f.SetFaults(2, 3, cut)
	time.Sleep(6 * time.Second)
	requireNoneLost(t, f)
	f.SetAllFaults(processtest.Faults{})
	for i := range minority {
		for j := minority; j < fleetSize; j++ {
			f.SetFaults(i, j, cut)
			f.SetFaults(j, i, cut)
		}
	}
	waitForAlive(t, f, 12*time.Second, func(b *processtest.Broker) int {
		if b.Index < minority {
			return minority
		}
		return fleetSize - minority
	})
	for _, b := range f.Brokers {
		require.Equal(t, fleetSize, b.View().Sharing, "lost brokers must keep their share of the budgets")
	}
	require.Eventually(t, func() bool { return f.Brokers[0].View().Fenced && f.Brokers[1].View().Fenced }, 30*time.Second, 50*time.Millisecond)
	require.False(t, f.Brokers[3].View().Fenced)
	f.SetAllFaults(processtest.Faults{})
	took := waitForAlive(t, f, 8*time.Second, expectAllAlive)
	require.Less(t, took, 6*time.Second)
	require.Eventually(t, func() bool { return !f.Brokers[0].View().Fenced }, 2*time.Second, 20*time.Millisecond)
}

// Four of six brokers are killed at once and restarted under the same names. Each must count as one broker, even while the
// others still have entries of the killed processes.
func TestSimultaneousRestartOfMajority(t *testing.T) {
	f := startFleet(t, 5)
	for _, b := range f.Brokers[1:5] {
		b.Kill()
	}
	for _, b := range f.Brokers[1:5] {
		require.NoError(t, b.Start())
	}
	waitForAlive(t, f, 15*time.Second, expectAllAlive)
}
