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
	seed   = flag.Uint64("seed", 1, "seed of the random times at which processes are killed, and of the clusters")

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
	waitTimeout        = 20 * time.Second       // maximum wait for an event that must happen
	publishInterval    = 150 * time.Millisecond // pause between two publications of startPublishing
	followersPerRegion = 2
)

// startCluster starts a cluster with followers and waits until it has a leader. At the end of the test it checks that the logs
// of the machines contain no data race.
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

// waitForLeader waits until a machine is the confirmed leader and returns it.
func waitForLeader(t *testing.T, cluster *controlplanetest.Cluster) *controlplanetest.Machine {
	var leader *controlplanetest.Machine
	require.Eventually(t, func() bool {
		leader = cluster.Leader(t.Context())
		return leader != nil
	}, waitTimeout, 50*time.Millisecond, "no control machine is the confirmed leader")
	return leader
}

// startPublishing publishes documents one after another in a goroutine until stop is called.
func startPublishing(t *testing.T, cluster *controlplanetest.Cluster, addresses []string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var publisher sync.WaitGroup
	publisher.Go(func() {
		for ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(ctx, waitTimeout/2)
			_, _ = cluster.Publish(ctx, addresses) // the history records the error and is checked at the end of the test
			cancel()
			time.Sleep(publishInterval)
		}
	})
	return func() {
		cancel()
		publisher.Wait()
	}
}

// acknowledgedCount returns the number of publications that have been acknowledged so far.
func acknowledgedCount(cluster *controlplanetest.Cluster) (count int) {
	for _, p := range cluster.History().Publications {
		if p.Number != 0 {
			count++
		}
	}
	return count
}

// waitForPublications waits until a number of further publications have been acknowledged.
func waitForPublications(t *testing.T, cluster *controlplanetest.Cluster, count int) {
	want := acknowledgedCount(cluster) + count
	require.Eventually(t, func() bool { return acknowledgedCount(cluster) >= want }, waitTimeout, 10*time.Millisecond,
		"want %d acknowledged publications", want)
}

// checkHistory publishes a last revision, waits until it is in force at all followers and stored at all machines, and checks
// the history.
func checkHistory(t *testing.T, cluster *controlplanetest.Cluster) {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	newest, err := cluster.Publish(ctx, cluster.Addresses())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		inForce, _ := cluster.MinInForce()
		return inForce >= newest
	}, waitTimeout, 20*time.Millisecond, "revision %d is not in force at all followers", newest)
	for _, m := range cluster.Machines {
		require.Eventually(t, func() bool {
			status, err := operatorclient.Status(ctx, m.Address)
			return err == nil && status.GetNewest() >= newest
		}, waitTimeout, 20*time.Millisecond, "%s has not stored revision %d", m.Name, newest)
	}
	require.NoError(t, cluster.RecordStored(ctx, newest))
	history := cluster.History()
	require.Empty(t, messages(history.Check(inForceWithin)))
	t.Logf("%d publications, %d acknowledged, newest revision %d, applied %d times at %d followers", len(history.Publications),
		acknowledgedCount(cluster), newest, len(history.Applied), len(history.Followers))
}

// testLeaderFault injects a fault of the leader in each round, while revisions are published before, during and after it, and
// checks the history.
func testLeaderFault(t *testing.T, inject func(*controlplanetest.Cluster, *controlplanetest.Machine)) {
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	stop := startPublishing(t, cluster, cluster.Addresses())
	for range *rounds {
		waitForPublications(t, cluster, 3)
		inject(cluster, waitForLeader(t, cluster))
		waitForPublications(t, cluster, 3)
	}
	stop()
	checkHistory(t, cluster)
}

func TestLeaderRestart(t *testing.T) {
	testLeaderFault(t, func(cluster *controlplanetest.Cluster, leader *controlplanetest.Machine) {
		leader.Kill()
		waitForPublications(t, cluster, 3)
		require.NoError(t, leader.Start())

		leader = waitForLeader(t, cluster)
		require.Zero(t, leader.Terminate(), "exit status")
		require.NoError(t, leader.Start())
	})
}

func TestLeaderPause(t *testing.T) {
	testLeaderFault(t, func(cluster *controlplanetest.Cluster, leader *controlplanetest.Machine) {
		leader.Pause()
		waitForPublications(t, cluster, 3)
		leader.Continue()
	})
}

// A control machine, which every fourth time is the leader, is killed at random times while revisions are written. After each
// kill its raft log must be intact and have all acknowledged revisions.
func TestKillDuringWriteLosesNoRevision(t *testing.T) {
	const (
		kills       = 8 // per round
		leaderEvery = 4 // of this many kills, one kills the leader
		maxUptime   = 400 * time.Millisecond
	)
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	var stops []func()
	for range 4 { // publications overlap, so that a write is always in progress
		stops = append(stops, startPublishing(t, cluster, cluster.Addresses()))
	}
	rng := rand.New(rand.NewPCG(*seed, 0xa54ff53a5f1d36f1))
	for i := range kills * *rounds {
		m := cluster.Machine("c")
		if i%leaderEvery == leaderEvery-1 {
			m = waitForLeader(t, cluster)
		}
		waitForPublications(t, cluster, 1) // so that a leader exists and writes continue
		time.Sleep(time.Duration(rng.Int64N(int64(maxUptime))))
		m.Kill()
		require.NoError(t, m.Start())
		require.Eventually(t, func() bool {
			_, err := operatorclient.Status(t.Context(), m.Address)
			return err == nil
		}, waitTimeout, 20*time.Millisecond, "%s does not serve after its restart", m.Name)
	}
	waitForPublications(t, cluster, 3)
	for _, stop := range stops {
		stop()
	}
	checkHistory(t, cluster)
}

// The leader's region is cut off from all other regions. The other regions must continue to commit revisions, and once the cut
// ends the followers of the leader's region must have the newest revision in force in time.
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
		waitForPublications(t, cluster, 3)
		cutAt := time.Now()
		cluster.SetRegionCut(leader.Region, true)
		waitForPublications(t, cluster, 10)

		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_, err := cluster.Publish(ctx, []string{leader.Address})
		cancel()
		require.Error(t, err, "a machine without a quorum acknowledged a publication")

		cluster.SetRegionCut(leader.Region, false)
		cluster.RecordDisconnection(leader.Region, cutAt, time.Now())
		waitForPublications(t, cluster, 3)
		stop()
	}
	checkHistory(t, cluster)
}

// A lost voter is replaced by the spare. After that, the cluster must tolerate the loss of another voter.
func TestSpareReplacesLostVoter(t *testing.T) {
	const promoteAfter = 5 * time.Second
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: promoteAfter, Seed: *seed})
	stop := startPublishing(t, cluster, cluster.Addresses())
	lost := cluster.Machine("b")
	lost.Kill()
	waitForVoter(t, cluster, "d", "d", true)
	waitForVoter(t, cluster, "d", "b", false) // until then, commits also need a majority of the old voters
	second := cluster.Machine("c")
	second.Kill()
	waitForPublications(t, cluster, 3)
	require.NoError(t, second.Start())
	require.NoError(t, lost.Start())
	waitForPublications(t, cluster, 3)
	stop()
	checkHistory(t, cluster)
}

// waitForVoter waits until one machine, the reporter, reports that another one is a voter or is not.
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
	}, waitTimeout, 50*time.Millisecond, "%s does not report %s with voter=%t", reporter, name, voter)
}

// A control machine that has lost its disk may rejoin with a new log, as docs/configuration.md describes, once all other
// machines report that the spare has replaced it and the leader has been restarted. Before that it must exit.
func TestMachineWithLostDiskRejoinsAsSpare(t *testing.T) {
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: 5 * time.Second, Seed: *seed})
	stop := startPublishing(t, cluster, cluster.Addresses())
	waitForPublications(t, cluster, 3)
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
	require.Equal(t, 1, waitForExit(t, lost))
	require.Contains(t, lost.Log(), "lacks entries that this member has acknowledged")

	require.Zero(t, leader.Terminate())
	require.NoError(t, leader.Start())
	waitForPublications(t, cluster, 3)
	require.NoError(t, lost.Start())
	waitForPublications(t, cluster, 3)
	stop()
	checkHistory(t, cluster)
}
