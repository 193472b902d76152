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
	seedCount = flag.Uint64("seeds", 40, "number of simulated seeds")
	firstSeed = flag.Uint64("first-seed", 1, "first simulated seed")
)

// TestSimulationKeepsInvariants simulates many seeds. go test -run TestSimulation -seeds 500 simulates more.
func TestSimulationKeepsInvariants(t *testing.T) {
	var all simulationStats
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		s := simulate(seed, noFault, nil)
		for _, violation := range s.checker.violations {
			t.Errorf("seed %d: %s: %s", seed, violation.invariant, violation.details)
		}
		all.add(s.stats)
		if t.Failed() {
			break
		}
	}
	t.Logf("%d seeds: %+v", *seedCount, all)
	if *seedCount >= 40 && !t.Failed() {
		require.Positive(t, all.snapshots, "no snapshot was sent")
		require.Positive(t, all.promotions, "no spare was promoted")
		require.Greater(t, all.leaders, int(*seedCount), "no leader changed")
		require.Greater(t, all.acknowledged, 10*int(*seedCount))
		require.Greater(t, all.reads, 10*int(*seedCount))
	}
}

// fileDisk is a simulated member's disk in raftlog files.
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

// TestSimulationOnRaftlogFiles simulates a seed with the storage of production.
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
		require.NoError(t, d.Reopen(), "the file is intact")
		require.NoError(t, d.Close())
	}
}

// add adds the statistics of another run.
func (s *simulationStats) add(other simulationStats) {
	s.crashes += other.crashes
	s.pauses += other.pauses
	s.partitions += other.partitions
	s.snapshots += other.snapshots
	s.promotions += other.promotions
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

// TestInvariantsDetectPlantedFaults proves that each invariant detects the fault that violates it.
func TestInvariantsDetectPlantedFaults(t *testing.T) {
	const maxSeeds = 60 // number of seeds within which a fault has to be detected, from the first that detects it
	for _, planted := range []struct {
		name      string
		fault     fault
		invariant invariant
		firstSeed uint64
	}{
		{"acknowledged before commit", faultAckBeforeCommit, durable, 1},
		{"save skipped", faultSaveSkipped, accepting, 1},
		{"vote forgotten", faultVoteForgotten, singleLeader, 3},
		{"commit forgotten", faultCommitForgotten, monotonic, 1},
		{"read without ReadIndex", faultStaleRead, linearizable, 1},
		{"document changed on disk", faultContent, sameContent, 1},
		{"revision skipped", faultRevisionSkipped, noGap, 1},
		{"new request id for a retry", faultNewRequest, idempotent, 15},
		{"heartbeats confirm", faultHeartbeatsConfirm, confirmedFresh, 1},
		{"partition stays", faultNeverHeals, convergent, 1},
	} {
		t.Run(planted.name, func(t *testing.T) {
			for seed := planted.firstSeed; seed < planted.firstSeed+maxSeeds; seed++ {
				if simulate(seed, planted.fault, nil).checker.found(planted.invariant) {
					t.Logf("detected by seed %d", seed)
					return
				}
			}
			t.Errorf("not detected: %s", planted.invariant)
		})
	}
}
