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
	dir, err := os.MkdirTemp("", "rig")
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

func config(name, listen, control string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"control":%q,"discovery":"127.0.0.1:1","seed":"7","limits":{"memory_mb":64,"sockets":256},
		"known":{"version":1,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:2","cell":0,"state":"active"}]},
		"settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,"objectiveS":1,"semantics":"free"}],
		"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":50}}}`, name, listen, control)
}

const size = 6

// fleet starts one and waits until all know all.
func fleet(t *testing.T, seed uint64) *processtest.Fleet {
	t.Parallel()
	f, err := processtest.New(processtest.Options{Program: program, Folder: t.TempDir(), Brokers: size, Seed: seed, Config: config})
	require.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			for _, b := range f.Brokers {
				t.Logf("%s:\n%s", b.Name, b.Log())
			}
		}
	})
	see(t, f, 20*time.Second, func(*processtest.Broker) int { return size })
	f.Forget()
	return f
}

// see waits until each broker of whom want is above 0 sees so many alive.
func see(t *testing.T, f *processtest.Fleet, within time.Duration, want func(*processtest.Broker) int) time.Duration {
	t.Helper()
	began := time.Now()
	require.Eventually(t, func() bool {
		for _, b := range f.Brokers {
			if n := want(b); n > 0 && b.View().Alive != n {
				return false
			}
		}
		return true
	}, within, 20*time.Millisecond)
	return time.Since(began)
}

// nobody checks that none but those named were taken for lost.
func nobody(t *testing.T, f *processtest.Fleet, except ...string) {
	t.Helper()
	for _, b := range f.Brokers {
		for _, name := range b.Removed() {
			require.Contains(t, except, name, "%s took it for lost", b.Name)
		}
	}
}

func TestAKilledBrokerIsKnownAndItsRestartToo(t *testing.T) {
	f := fleet(t, 1)
	f.Brokers[4].Kill()
	others := func(b *processtest.Broker) int {
		if b.Index == 4 {
			return 0
		}
		return size - 1
	}
	took := see(t, f, 8*time.Second, others)
	t.Logf("known to all after %v", took)
	require.Less(t, took, 6*time.Second) // 5 s, and what a busy machine adds
	require.NoError(t, f.Brokers[4].Start())
	see(t, f, 10*time.Second, func(*processtest.Broker) int { return size })
	nobody(t, f, "n4")
	f.Brokers[5].End() // one that says so is gone at once
	took = see(t, f, 8*time.Second, func(b *processtest.Broker) int { return map[bool]int{true: 0, false: size - 1}[b.Index == 5] })
	require.Less(t, took, 2*time.Second)
}

func TestBadPathsAndPausesRemoveNobody(t *testing.T) {
	f := fleet(t, 2)
	f.Everywhere(processtest.Faults{Lose: 0.2, Double: 0.2, Delay: 60 * time.Millisecond})
	sent := f.Brokers[0].Sent()
	began := time.Now()
	for i := range 3 {
		b := f.Brokers[i+1]
		b.Pause()
		time.Sleep(3 * time.Second)
		b.Continue()
		time.Sleep(time.Second)
	}
	nobody(t, f)
	require.Less(t, float64(f.Brokers[0].Sent()-sent)/time.Since(began).Seconds(), 4000.)
}

func TestALongPauseRemovesOneAndWakingBringsItBack(t *testing.T) {
	f := fleet(t, 3)
	f.Brokers[2].Pause()
	see(t, f, 8*time.Second, func(b *processtest.Broker) int { return map[bool]int{true: 0, false: size - 1}[b.Index == 2] })
	time.Sleep(2 * time.Second)
	f.Brokers[2].Continue()
	took := see(t, f, 6*time.Second, func(*processtest.Broker) int { return size })
	require.Less(t, took, 4*time.Second)
	nobody(t, f, "n2")
	require.Empty(t, f.Brokers[2].Removed(), "one that wakes removes nobody")
}

func TestACutPairRemovesNobodyAndACutSideIsFenced(t *testing.T) {
	f := fleet(t, 4)
	f.Between(0, 1, processtest.Faults{Cut: true})
	f.Between(3, 2, processtest.Faults{Cut: true})
	f.Between(2, 3, processtest.Faults{Cut: true})
	time.Sleep(6 * time.Second)
	nobody(t, f)
	few := func(i int) bool { return i < 2 } // two of six are cut off from the others
	f.Everywhere(processtest.Faults{})
	for i := range size {
		for j := range size {
			if few(i) != few(j) {
				f.Between(i, j, processtest.Faults{Cut: true})
			}
		}
	}
	see(t, f, 12*time.Second, func(b *processtest.Broker) int { return map[bool]int{true: 2, false: size - 2}[few(b.Index)] })
	for _, b := range f.Brokers {
		require.Equal(t, size, b.View().Sharing, "the lost keep their part")
	}
	require.Eventually(t, func() bool { return f.Brokers[0].View().Fenced && f.Brokers[1].View().Fenced }, 30*time.Second, 50*time.Millisecond)
	require.False(t, f.Brokers[3].View().Fenced)
	f.Everywhere(processtest.Faults{})
	took := see(t, f, 8*time.Second, func(*processtest.Broker) int { return size })
	require.Less(t, took, 6*time.Second)
	require.Eventually(t, func() bool { return !f.Brokers[0].View().Fenced }, 2*time.Second, 20*time.Millisecond)
}

// Most are killed at once and come back under their names: one broker each, whatever is still known of the dead.
func TestSoManyRestartsAtOnce(t *testing.T) {
	f := fleet(t, 5)
	for _, b := range f.Brokers[1:5] {
		b.Kill()
	}
	for _, b := range f.Brokers[1:5] {
		require.NoError(t, b.Start())
	}
	see(t, f, 15*time.Second, func(*processtest.Broker) int { return size })
}
