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

// TestSimulationKeepsInvariants checks the invariants in simulations of many seeds. The flag -seeds sets their number:
// go test -run TestSimulation -seeds 500.
func TestSimulationKeepsInvariants(t *testing.T) {
	var total simulationStats
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		s := simulate(seed, noFault, nil)
		for _, violation := range s.checker.violations {
			t.Errorf("seed %d: %s: %s", seed, violation.invariant, violation.details)
		}
		total.add(s.stats)
		if t.Failed() {
			break
		}
	}
	t.Logf("%d seeds: %+v", *seedCount, total)
	if *seedCount >= 40 && !t.Failed() {
		require.Positive(t, total.snapshots, "no snapshot was restored")
		require.Positive(t, total.promotions, "no spare was promoted")
		require.Greater(t, total.leaders, int(*seedCount), "no leader changed")
		require.Greater(t, total.acknowledged, 10*int(*seedCount))
		require.Greater(t, total.reads, 10*int(*seedCount))
	}
}

// fileDisk is a simulated member's disk that stores its content in a raftlog file.
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

// TestSimulationOnRaftlogFiles runs a simulation with the storage used in production.
func TestSimulationOnRaftlogFiles(t *testing.T) {
	var disks []*fileDisk
	s := simulate(*firstSeed, noFault, func(id uint64) disk {
		d := &fileDisk{
			path:    filepath.Join(t.TempDir(), fmt.Sprint(id)),
			options: raftlog.Options{Identity: raftlog.Identity{Fleet: 1, Node: id}},
		}
		var err error
		d.Log, err = raftlog.Create(d.path, d.options, BootstrapSnapshot(testVoters, testLearners))
		require.NoError(t, err)
		disks = append(disks, d)
		return d
	})
	require.Empty(t, s.checker.violations)
	require.Greater(t, s.stats.acknowledged, 5)
	for _, d := range disks {
		require.NoError(t, d.Reopen(), "the file can be reopened after the run")
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

// TestInvariantsDetectInjectedFaults checks that each invariant detects a fault that violates it.
func TestInvariantsDetectInjectedFaults(t *testing.T) {
	const maxSeeds = 60 // number of seeds, from firstSeed on, within which a fault has to be detected
	for _, test := range []struct {
		name      string
		fault     fault
		invariant invariant
		firstSeed uint64 // first seed that detects the fault
	}{
		{"acknowledged before commit", faultAckBeforeCommit, durable, 1},
		{"saves lost", faultLostSaves, noMemberFailure, 1},
		{"vote lost", faultLostVote, singleLeader, 3},
		{"commit index lost", faultLostCommitIndex, monotonic, 1},
		{"read without ReadIndex", faultStaleRead, linearizable, 1},
		{"document changed on disk", faultCorruptDocument, sameDocument, 1},
		{"revision skipped", faultSkippedRevision, noGap, 1},
		{"new request id for a retry", faultNewRequestID, idempotent, 15},
		{"heartbeats confirm", faultHeartbeatsConfirm, confirmedFresh, 1},
		{"partition never heals", faultPartitionNeverHeals, convergent, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := test.firstSeed; seed < test.firstSeed+maxSeeds; seed++ {
				if simulate(seed, test.fault, nil).checker.isViolated(test.invariant) {
					t.Logf("detected with seed %d", seed)
					return
				}
			}
			t.Errorf("no seed from %d to %d violates %q", test.firstSeed, test.firstSeed+maxSeeds-1, test.invariant)
		})
	}
}
