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
	rounds = flag.Int("rounds", 1, "play the faults of each test so often")
	seed   = flag.Uint64("seed", 1, "of the moments of kills")

	program    string
	buildFlags []string // with the race detector on here, the program has it too
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "controlrig")
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
	patience     = 20 * time.Second       // for what must come
	publishEvery = 150 * time.Millisecond // between two publications
	followers    = 2                      // of a region
)

// start starts a rig whose machines have a leader.
func start(t *testing.T, options controlplanetest.Options) *controlplanetest.Rig {
	t.Parallel()
	options.Program, options.Folder = program, t.TempDir()
	rig, err := controlplanetest.New(options)
	require.NoError(t, err)
	t.Cleanup(func() {
		rig.Close()
		for _, m := range rig.Machines {
			require.NotContains(t, m.Log(), "DATA RACE")
			if t.Failed() {
				t.Logf("%s:\n%s", m.Name, m.Log())
			}
		}
	})
	require.NoError(t, rig.Follow(followers))
	waitForLeader(t, rig)
	return rig
}

func waitForLeader(t *testing.T, rig *controlplanetest.Rig) *controlplanetest.Machine {
	var leader *controlplanetest.Machine
	require.Eventually(t, func() bool {
		leader = rig.Leader(t.Context())
		return leader != nil
	}, patience, 50*time.Millisecond, "no leader")
	return leader
}

// publishing publishes one document after the other until the function that it returns is called.
func publishing(t *testing.T, rig *controlplanetest.Rig, addresses []string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(ctx, patience/2)
			_, _ = rig.Publish(ctx, addresses) // recorded; that it is late or has no answer is for the checkers
			cancel()
			time.Sleep(publishEvery)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// acknowledged counts the publications that were acknowledged so far.
func acknowledged(rig *controlplanetest.Rig) (count int) {
	for _, p := range rig.History().Publications {
		if p.Number != 0 {
			count++
		}
	}
	return count
}

// waitForMore waits until so many more publications are acknowledged.
func waitForMore(t *testing.T, rig *controlplanetest.Rig, more int) {
	want := acknowledged(rig) + more
	require.Eventually(t, func() bool { return acknowledged(rig) >= want }, patience, 10*time.Millisecond,
		"publications are not acknowledged any more")
}

// finish publishes once more, waits until that is everywhere, and checks the whole history.
func finish(t *testing.T, rig *controlplanetest.Rig) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	newest, err := rig.Publish(ctx, rig.Addresses())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		least, _ := rig.Least()
		return least >= newest
	}, patience, 20*time.Millisecond, "the last revision is not in force everywhere")
	for _, m := range rig.Machines {
		require.Eventually(t, func() bool {
			status, err := operatorclient.Status(ctx, m.Address)
			return err == nil && status.GetNewest() >= newest
		}, patience, 20*time.Millisecond, "%s lacks the last revision", m.Name)
	}
	require.NoError(t, rig.Read(ctx, newest))
	history := rig.History()
	require.Empty(t, texts(history.Check(inForceWithin)))
	t.Logf("%d publications, %d acknowledged, newest %d, %d applications at %d followers", len(history.Publications),
		acknowledged(rig), newest, len(history.Applied), len(history.Followers))
}

func TestLeaderIsKilledAndRestarted(t *testing.T) {
	rig := start(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	stop := publishing(t, rig, rig.Addresses())
	for range *rounds {
		waitForMore(t, rig, 3)
		leader := waitForLeader(t, rig)
		leader.Kill()
		waitForMore(t, rig, 3)
		require.NoError(t, leader.Start())

		leader = waitForLeader(t, rig)
		require.Zero(t, leader.End(), "exit status")
		require.NoError(t, leader.Start())
		waitForMore(t, rig, 3)
	}
	stop()
	finish(t, rig)
}

func TestLeaderIsPaused(t *testing.T) {
	rig := start(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	stop := publishing(t, rig, rig.Addresses())
	for range *rounds {
		waitForMore(t, rig, 3)
		leader := waitForLeader(t, rig)
		leader.Pause()
		waitForMore(t, rig, 3)
		leader.Continue()
		waitForMore(t, rig, 3)
	}
	stop()
	finish(t, rig)
}

// A machine, and now and then the leader, is killed at any moment while revisions are written. Its log is whole each
// time, and what was acknowledged is in it.
func TestKillsInMidWrite(t *testing.T) {
	const kills, leaderEvery, upMost = 8, 4, 400 * time.Millisecond
	rig := start(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	var stops []func()
	for range 4 { // publications overlap, so that something is always being written
		stops = append(stops, publishing(t, rig, rig.Addresses()))
	}
	rng := rand.New(rand.NewPCG(*seed, 0xa54ff53a5f1d36f1))
	for i := range kills * *rounds {
		m := rig.Machine("c")
		if i%leaderEvery == leaderEvery-1 {
			m = waitForLeader(t, rig)
		}
		waitForMore(t, rig, 1) // so there is a leader, and writes go on
		time.Sleep(time.Duration(rng.Int64N(int64(upMost))))
		m.Kill()
		require.NoError(t, m.Start())
		require.Eventually(t, func() bool {
			_, err := operatorclient.Status(t.Context(), m.Address)
			return err == nil
		}, patience, 20*time.Millisecond, "%s does not come back", m.Name)
	}
	waitForMore(t, rig, 3)
	for _, stop := range stops {
		stop()
	}
	finish(t, rig)
}

// A region with the leader is cut off from all others. The others go on, and its followers have the newest in time once
// it is mended.
func TestCutRegion(t *testing.T) {
	rig := start(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	for range *rounds {
		leader := waitForLeader(t, rig)
		var outside []string
		for _, m := range rig.Machines {
			if m.Region != leader.Region {
				outside = append(outside, m.Address)
			}
		}
		stop := publishing(t, rig, outside)
		waitForMore(t, rig, 3)
		from := time.Now()
		rig.CutRegion(leader.Region, true)
		waitForMore(t, rig, 10)

		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_, err := rig.Publish(ctx, []string{leader.Address})
		cancel()
		require.Error(t, err, "a machine without a quorum acknowledged a publication")

		rig.CutRegion(leader.Region, false)
		rig.Excuse(leader.Region, from, time.Now())
		waitForMore(t, rig, 3)
		stop()
	}
	finish(t, rig)
}

// A voter that stays away is replaced by the spare: after that one more voter may be lost.
func TestSpareTakesThePlaceOfALostVoter(t *testing.T) {
	const promoteAfter = 5 * time.Second
	rig := start(t, controlplanetest.Options{PromoteAfter: promoteAfter, Seed: *seed})
	stop := publishing(t, rig, rig.Addresses())
	lost := rig.Machine("b")
	lost.Kill()
	waitForVoter(t, rig, "d", "d", true)
	waitForVoter(t, rig, "d", "b", false) // until then a majority of the old voters has to agree as well
	second := rig.Machine("c")
	second.Kill()
	waitForMore(t, rig, 3)
	require.NoError(t, second.Start())
	require.NoError(t, lost.Start())
	waitForMore(t, rig, 3)
	stop()
	finish(t, rig)
}

// waitForVoter waits until a machine counts among the voters, or until it does not.
func waitForVoter(t *testing.T, rig *controlplanetest.Rig, ask, name string, voter bool) {
	require.Eventually(t, func() bool {
		status, err := operatorclient.Status(t.Context(), rig.Machine(ask).Address)
		if err != nil {
			return false
		}
		for _, m := range status.GetMembers() {
			if m.GetName() == name {
				return m.GetVoter() == voter
			}
		}
		return false
	}, patience, 50*time.Millisecond, "%s is voter: not %v", name, voter)
}

// A machine that has lost its disk comes back with a new log as docs/configuration.md tells: once the spare has
// replaced it by the word of each other machine, and the leader was restarted. Before that it is stopped.
func TestLostDiskComesBackAsTheSpare(t *testing.T) {
	rig := start(t, controlplanetest.Options{PromoteAfter: 5 * time.Second, Seed: *seed})
	stop := publishing(t, rig, rig.Addresses())
	waitForMore(t, rig, 3)
	leader := waitForLeader(t, rig)
	lost := rig.Machine("b")
	if leader == lost {
		lost = rig.Machine("c")
	}
	lost.Kill()
	require.NoError(t, os.RemoveAll(lost.Folder))
	require.NoError(t, os.Mkdir(lost.Folder, 0o700))
	for _, m := range rig.Machines {
		if m != lost {
			waitForVoter(t, rig, m.Name, lost.Name, false)
		}
	}
	require.NoError(t, lost.Start("--create"))
	require.Equal(t, 1, waitForEnd(t, lost))
	require.Contains(t, lost.Log(), "lacks entries that this member has acknowledged")

	require.Zero(t, leader.End())
	require.NoError(t, leader.Start())
	waitForMore(t, rig, 3)
	require.NoError(t, lost.Start())
	waitForMore(t, rig, 3)
	stop()
	finish(t, rig)
}
