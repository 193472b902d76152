package consensus

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/raftlog"
)

var (
	seedCount = flag.Uint64("seeds", 40, "seeds of the simulation")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the simulation")
)

// TestSimulationKeepsInvariants plays the log from many seeds. go test -run TestSimulation -seeds 500 plays more of them.
func TestSimulationKeepsInvariants(t *testing.T) {
	var all simulationStats
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		s := simulate(seed, noFault, nil)
		for _, violation := range s.checker.violations {
			t.Errorf("seed %d: %s: %s", seed, violation.invariant, violation.what)
		}
		all.add(s.stats)
		if t.Failed() {
			break
		}
	}
	t.Logf("%d seeds: %+v", *seedCount, all)
	if *seedCount >= 40 && !t.Failed() {
		require.Positive(t, all.snapshots, "no snapshot was sent")
		require.Positive(t, all.changes, "no spare was promoted")
		require.Greater(t, all.leaders, int(*seedCount), "no leader changed")
		require.Greater(t, all.acknowledged, 10*int(*seedCount))
		require.Greater(t, all.reads, 10*int(*seedCount))
	}
}

// fileDisk is the real storage.
type fileDisk struct {
	*raftlog.Log
	path    string
	options raftlog.Options
}

func (d *fileDisk) Reopen() (err error) {
	must(d.Close())
	d.Log, err = raftlog.Open(d.path, d.options)
	return err
}

// TestSimulationOnRaftlogFiles plays a seed on the real storage.
func TestSimulationOnRaftlogFiles(t *testing.T) {
	var opened []*fileDisk
	s := simulate(*firstSeed, noFault, func(id uint64) disk {
		d := &fileDisk{
			path:    filepath.Join(t.TempDir(), fmt.Sprint(id)),
			options: raftlog.Options{Identity: raftlog.Identity{Fleet: 1, Node: id}},
		}
		var err error
		d.Log, err = raftlog.Create(d.path, d.options, BootstrapSnapshot(testVoters, testLearners))
		require.NoError(t, err)
		opened = append(opened, d)
		return d
	})
	require.Empty(t, s.checker.violations)
	require.Greater(t, s.stats.acknowledged, 5)
	for _, d := range opened {
		require.NoError(t, d.Reopen(), "what is on the disk is whole")
		require.NoError(t, d.Close())
	}
}

func (s *simulationStats) add(other simulationStats) {
	s.crashes += other.crashes
	s.pauses += other.pauses
	s.cuts += other.cuts
	s.snapshots += other.snapshots
	s.changes += other.changes
	s.acknowledged += other.acknowledged
	s.reads += other.reads
	s.leaders += other.leaders
}

func TestSimulationIsDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		require.Equal(t, simulate(seed, noFault, nil).digest(), simulate(seed, noFault, nil).digest())
	}
	require.NotEqual(t, simulate(1, noFault, nil).digest(), simulate(2, noFault, nil).digest())
}

// TestInvariantsDetectPlantedFaults shows that each checker sees what it is for.
func TestInvariantsDetectPlantedFaults(t *testing.T) {
	const maxSeeds = 60 // seeds until the fault must have shown, from the one that showed it first
	for _, planted := range []struct {
		name   string
		fault  fault
		breach invariant
		first  uint64
	}{
		{"acknowledged before commit", faultAckBeforeCommit, durable, 1},
		{"save skipped", faultSaveSkipped, accepting, 1},
		{"vote forgotten", faultVoteForgotten, singleLeader, 3},
		{"commit forgotten", faultCommitForgotten, monotonic, 1},
		{"read without ReadIndex", faultStaleRead, linearizable, 1},
		{"content changed on a disk", faultContent, sameContent, 1},
		{"revision skipped", faultRevisionSkipped, noGap, 1},
		{"new request id", faultNewRequest, idempotent, 15},
		{"heartbeats confirm", faultHeartbeatsConfirm, confirmedFresh, 1},
		{"a cut stays", faultNeverHeals, convergent, 1},
	} {
		t.Run(planted.name, func(t *testing.T) {
			for seed := planted.first; seed < planted.first+maxSeeds; seed++ {
				if simulate(seed, planted.fault, nil).checker.found(planted.breach) {
					t.Logf("caught by seed %d", seed)
					return
				}
			}
			t.Errorf("not caught: %s", planted.breach)
		})
	}
}
