package controlplanetest_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/operatorclient"
	"mothrouter/internal/harness/controlplanetest"
)

var (
	rounds = flag.Int("rounds", 1, "`number` of rounds of faults in each test")
	seed   = flag.Uint64("seed", 1, "of the times of kills")

	program    string
	buildFlags []string // "-race" when the tests run with the race detector
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "controlplanetest")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "mothrouter")
	build := append(append([]string{"build"}, buildFlags...), "-o", program, "mothrouter/cmd/mothrouter")
	if out, err := exec.Command("go", build...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const (
	waitTimeout        = 20 * time.Second       // for what must happen
	publishInterval    = 150 * time.Millisecond // between two publications
	followersPerRegion = 2
)

// startCluster starts a cluster with followers and waits until it has a leader.
func startCluster(t *testing.T, options controlplanetest.Options) *controlplanetest.Cluster {
	t.Parallel()
	options.Program, options.Folder = program, t.TempDir()
	cluster, err := controlplanetest.New(options)
	require.NoError(t, err)
	t.Cleanup(func() {
		cluster.Close()
		for _, m := range cluster.Machines {
			require.NotContains(t, m.Log(), "DATA RACE")
			if t.Failed() {
				t.Logf("%s:\n%s", m.Name, m.Log())
			}
		}
	})
	require.NoError(t, cluster.StartFollowers(followersPerRegion))
	waitForLeader(t, cluster)
	return cluster
}

func waitForLeader(t *testing.T, cluster *controlplanetest.Cluster) *controlplanetest.Machine {
	var leader *controlplanetest.Machine
	require.Eventually(t, func() bool {
		leader = cluster.Leader(t.Context())
		return leader != nil
	}, waitTimeout, 50*time.Millisecond, "no leader")
	return leader
}

// startPublishing publishes one document after the other until stop is called.
func startPublishing(t *testing.T, cluster *controlplanetest.Cluster, addresses []string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(ctx, waitTimeout/2)
			_, _ = cluster.Publish(ctx, addresses) // recorded in the history, which is checked in the end
			cancel()
			time.Sleep(publishInterval)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// acknowledgedCount returns how many publications were acknowledged so far.
func acknowledgedCount(cluster *controlplanetest.Cluster) (count int) {
	for _, p := range cluster.History().Publications {
		if p.Number != 0 {
			count++
		}
	}
	return count
}

// waitForMore waits until a number of further publications is acknowledged.
func waitForMore(t *testing.T, cluster *controlplanetest.Cluster, more int) {
	want := acknowledgedCount(cluster) + more
	require.Eventually(t, func() bool { return acknowledgedCount(cluster) >= want }, waitTimeout, 10*time.Millisecond,
		"publications are not acknowledged any more")
}

// checkHistory publishes once more, waits until that revision is in force and stored everywhere, and checks the history.
func checkHistory(t *testing.T, cluster *controlplanetest.Cluster) {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	newest, err := cluster.Publish(ctx, cluster.Addresses())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		inForce, _ := cluster.MinInForce()
		return inForce >= newest
	}, waitTimeout, 20*time.Millisecond, "the last revision is not in force everywhere")
	for _, m := range cluster.Machines {
		require.Eventually(t, func() bool {
			status, err := operatorclient.Status(ctx, m.Address)
			return err == nil && status.GetNewest() >= newest
		}, waitTimeout, 20*time.Millisecond, "%s lacks the last revision", m.Name)
	}
	require.NoError(t, cluster.RecordStored(ctx, newest))
	history := cluster.History()
	require.Empty(t, messages(history.Check(inForceWithin)))
	t.Logf("%d publications, %d acknowledged, newest %d, %d applications at %d followers", len(history.Publications),
		acknowledgedCount(cluster), newest, len(history.Applied), len(history.Followers))
}

// playLeaderFaults plays a fault of the leader in each round, while revisions are published before, during and after it,
// and checks the history.
func playLeaderFaults(t *testing.T, fault func(*controlplanetest.Cluster, *controlplanetest.Machine)) {
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	stop := startPublishing(t, cluster, cluster.Addresses())
	for range *rounds {
		waitForMore(t, cluster, 3)
		fault(cluster, waitForLeader(t, cluster))
		waitForMore(t, cluster, 3)
	}
	stop()
	checkHistory(t, cluster)
}

func TestLeaderRestart(t *testing.T) {
	playLeaderFaults(t, func(cluster *controlplanetest.Cluster, leader *controlplanetest.Machine) {
		leader.Kill()
		waitForMore(t, cluster, 3)
		require.NoError(t, leader.Start())

		leader = waitForLeader(t, cluster)
		require.Zero(t, leader.Terminate(), "exit status")
		require.NoError(t, leader.Start())
	})
}

func TestLeaderPause(t *testing.T) {
	playLeaderFaults(t, func(cluster *controlplanetest.Cluster, leader *controlplanetest.Machine) {
		leader.Pause()
		waitForMore(t, cluster, 3)
		leader.Continue()
	})
}

// A machine, at times the leader, is killed at random times while revisions are written. Its log is intact each time and
// has all revisions that were acknowledged.
func TestKillDuringWriteLosesNoRevision(t *testing.T) {
	const kills, leaderEvery, maxUptime = 8, 4, 400 * time.Millisecond
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	var stops []func()
	for range 4 { // publications overlap, so that something is always being written
		stops = append(stops, startPublishing(t, cluster, cluster.Addresses()))
	}
	rng := rand.New(rand.NewPCG(*seed, 0xa54ff53a5f1d36f1))
	for i := range kills * *rounds {
		m := cluster.Machine("c")
		if i%leaderEvery == leaderEvery-1 {
			m = waitForLeader(t, cluster)
		}
		waitForMore(t, cluster, 1) // so there is a leader, and writes go on
		time.Sleep(time.Duration(rng.Int64N(int64(maxUptime))))
		m.Kill()
		require.NoError(t, m.Start())
		require.Eventually(t, func() bool {
			_, err := operatorclient.Status(t.Context(), m.Address)
			return err == nil
		}, waitTimeout, 20*time.Millisecond, "%s does not come back", m.Name)
	}
	waitForMore(t, cluster, 3)
	for _, stop := range stops {
		stop()
	}
	checkHistory(t, cluster)
}

// The leader's region is cut off from all others. The others go on, and its followers have the newest revision in force
// in time once the cut ends.
func TestRegionPartition(t *testing.T) {
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	for range *rounds {
		leader := waitForLeader(t, cluster)
		var outside []string
		for _, m := range cluster.Machines {
			if m.Region != leader.Region {
				outside = append(outside, m.Address)
			}
		}
		stop := startPublishing(t, cluster, outside)
		waitForMore(t, cluster, 3)
		from := time.Now()
		cluster.SetRegionCut(leader.Region, true)
		waitForMore(t, cluster, 10)

		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_, err := cluster.Publish(ctx, []string{leader.Address})
		cancel()
		require.Error(t, err, "a machine without a quorum acknowledged a publication")

		cluster.SetRegionCut(leader.Region, false)
		cluster.RecordDisconnection(leader.Region, from, time.Now())
		waitForMore(t, cluster, 3)
		stop()
	}
	checkHistory(t, cluster)
}

// A lost voter is replaced by the spare; after that one more voter may be lost.
func TestSpareReplacesLostVoter(t *testing.T) {
	const promoteAfter = 5 * time.Second
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: promoteAfter, Seed: *seed})
	stop := startPublishing(t, cluster, cluster.Addresses())
	lost := cluster.Machine("b")
	lost.Kill()
	waitForVoter(t, cluster, "d", "d", true)
	waitForVoter(t, cluster, "d", "b", false) // until then a majority of the old voters has to agree as well
	second := cluster.Machine("c")
	second.Kill()
	waitForMore(t, cluster, 3)
	require.NoError(t, second.Start())
	require.NoError(t, lost.Start())
	waitForMore(t, cluster, 3)
	stop()
	checkHistory(t, cluster)
}

// waitForVoter waits until a machine reports that another one is a voter, or that it is not.
func waitForVoter(t *testing.T, cluster *controlplanetest.Cluster, reporter, name string, voter bool) {
	require.Eventually(t, func() bool {
		status, err := operatorclient.Status(t.Context(), cluster.Machine(reporter).Address)
		if err != nil {
			return false
		}
		for _, m := range status.GetMembers() {
			if m.GetName() == name {
				return m.GetVoter() == voter
			}
		}
		return false
	}, waitTimeout, 50*time.Millisecond, "%s is voter: not %v", name, voter)
}

// A machine that has lost its disk may rejoin with a new log, as docs/configuration.md describes, once all other
// machines report that the spare has replaced it and the leader was restarted. Before that it exits.
func TestMachineWithLostDiskRejoinsAsSpare(t *testing.T) {
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: 5 * time.Second, Seed: *seed})
	stop := startPublishing(t, cluster, cluster.Addresses())
	waitForMore(t, cluster, 3)
	leader := waitForLeader(t, cluster)
	lost := cluster.Machine("b")
	if leader == lost {
		lost = cluster.Machine("c")
	}
	lost.Kill()
	require.NoError(t, os.RemoveAll(lost.Folder))
	require.NoError(t, os.Mkdir(lost.Folder, 0o700))
	for _, m := range cluster.Machines {
		if m != lost {
			waitForVoter(t, cluster, m.Name, lost.Name, false)
		}
	}
	require.NoError(t, lost.Start("--create"))
	require.Equal(t, 1, waitForEnd(t, lost))
	require.Contains(t, lost.Log(), "lacks entries that this member has acknowledged")

	require.Zero(t, leader.Terminate())
	require.NoError(t, leader.Start())
	waitForMore(t, cluster, 3)
	require.NoError(t, lost.Start())
	waitForMore(t, cluster, 3)
	stop()
	checkHistory(t, cluster)
}
