package distribution_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	simBrokers = flag.Int("brokers", 60, "brokers of the simulations")
	simSeeds   = flag.Int("seeds", 2, "seeds of the simulations")
	simStorm   = flag.Int("storm", 150, "brokers that start and reconnect together")
	simCut     = flag.Duration("cut", 3*time.Minute, "how long a region is partitioned")
	simFaults  = flag.Duration("faults", 3*time.Minute, "how long random faults are injected")
	simFirst   = flag.Uint64("first-seed", 1, "first seed of the simulations")
)

// requireClean fails the test if the checkers have findings, and logs the flags that reproduce them.
func requireClean(t *testing.T, s *simulation) {
	t.Helper()
	for i, f := range s.checks.findings {
		if i < 5 {
			t.Errorf("%s: %s", f.checker, f.detail)
		}
	}
	if n := len(s.checks.findings); n > 0 {
		t.Fatalf("%d findings; again by -seeds 1 -first-seed %d -brokers %d", n, s.seed, len(s.fleet))
	}
}

func runSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for i := range uint64(*simSeeds) {
		t.Run(fmt.Sprint("seed=", *simFirst+i), func(t *testing.T) { run(t, *simFirst+i) })
	}
}

func playRandomFaults(s *simulation) {
	end := *simFaults + time.Minute
	s.checks.maxInFlight = streamWindow
	s.publishPeriodically(publishInterval, end)
	s.injectFaults(end - time.Minute)
	s.runUntil(end + time.Minute)
}

func TestRevisionsAreInForceEverywhereDespiteFaults(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		s := runSimulation(t, simOptions{seed: seed, brokers: *simBrokers, noiseRatio: 0.01}, playRandomFaults)
		s.checks.checkStorms()
		s.checks.checkStatus()
		requireClean(t, s)
		for _, b := range s.fleet {
			status := b.follower.Status(s.time())
			require.EqualValues(t, len(s.log), max(status.InForce, status.Rejection.GetNumber()), b.name())
		}
		require.NotEmpty(t, s.checks.recoveryTimes)
		counts := s.checks.updateCounts()
		require.NotZero(t, counts.Corrupt)
		require.NotZero(t, counts.Oversized)
		t.Logf("%d revisions, %d steps, in force after %v at p99 and %v at most; after heals %v at p99, %v at most; %+v",
			len(s.log), s.events, percentile(s.checks.propagationTimes, 0.99), percentile(s.checks.propagationTimes, 1),
			percentile(s.checks.recoveryTimes, 0.99), percentile(s.checks.recoveryTimes, 1), counts)
	})
}

// playPartition partitions the first region, which has the spare, from the others for the time of the flag -cut. Its
// brokers follow a hub of their region meanwhile, which catches up at once after the partition.
func playPartition(s *simulation) {
	start := 2 * time.Minute
	end := start + *simCut
	s.publishPeriodically(publishInterval, end+2*time.Minute)
	s.after(start, func() { s.partitionRegion(0, end-start) })
	s.after(start, s.checks.faultsChanged)
	for at := start; at < end; at += 10 * time.Second {
		s.after(at, s.checks.checkStaleness)
	}
	checksWithoutHub := map[*simBroker]int{}
	const followChecks = 3
	for i := range followChecks {
		s.runUntil(end - time.Second - time.Duration(followChecks-1-i)*10*time.Second)
		s.checks.checkFollowing(0, checksWithoutHub)
	}
	s.checks.checkStreamsOpened(0, maxStreamsPerHour)
	for _, b := range s.fleet {
		status := b.follower.Status(s.time())
		partitioned := regionOfZone(b.zone) == 0
		if partitioned && (!status.StalenessKnown || status.Staleness < end-start-10*time.Second) {
			s.checks.addFinding("staleness", "%s is partitioned and reports a staleness of %v", b.name(), status.Staleness)
		}
		if checksWithoutHub[b] == followChecks {
			s.checks.addFinding("flapping", "%s follows no hub for 20 s though it reaches one", b.name())
		}
	}
	s.runUntil(end + 2*time.Minute)
}

func TestPartitionedRegionCatchesUp(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		s := runSimulation(t, simOptions{seed: seed, brokers: *simBrokers}, playPartition)
		s.checks.checkStorms()
		requireClean(t, s)
		require.NotZero(t, s.checks.recoveries)
		t.Logf("%d revisions, %d steps, in force after %v at p99; after the partition %v at p99, %v at most", len(s.log),
			s.events, percentile(s.checks.propagationTimes, 0.99), percentile(s.checks.recoveryTimes, 0.99), percentile(s.checks.recoveryTimes, 1))
	})
}

// playConnectStorm starts all brokers at once, stops all hubs but one, one after the other, and restarts them.
func playConnectStorm(s *simulation) {
	s.publish()
	for i := range hubs - 1 {
		s.after(time.Duration(10+20*i)*time.Second, func() { s.stopHub(i, i%2 == 1, 70*time.Second) })
		s.after(time.Duration(10+20*i)*time.Second, s.checks.faultsChanged)
	}
	s.runUntil(3 * time.Minute)
}

func TestConnectStormIsSpread(t *testing.T) {
	for _, brokers := range []int{60, *simStorm} {
		t.Run(fmt.Sprint("brokers=", brokers), func(t *testing.T) {
			s := runSimulation(t, simOptions{seed: *simFirst, brokers: brokers}, playConnectStorm)
			maxConnects := s.checks.checkStorms()
			requireClean(t, s)
			t.Logf("%d connections to one hub within a second at most", maxConnects)
		})
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	run := func(seed uint64) uint64 {
		return runSimulation(t, simOptions{seed: seed, brokers: 20, noiseRatio: 0.01}, playRandomFaults).trace
	}
	require.Equal(t, run(7), run(7))
	require.NotEqual(t, run(7), run(8))
}

// Each checker finds the fault that is planted for it, and none has findings without a planted fault.
func TestCheckersFindPlantedFaults(t *testing.T) {
	for _, x := range []struct {
		plant   plantedFault
		checker string
		brokers int
		play    func(*simulation)
	}{
		{plantNone, "faults without a planted one", 20, playRandomFaults},
		{plantNone, "partition without a planted fault", 10, playPartition},
		{plantNone, "storm without a planted fault", 150, playConnectStorm},
		{plantRegression, "regression", 20, playRandomFaults},
		{plantDuplicate, "duplicate", 20, playRandomFaults},
		{plantTruncation, "corrupt", 20, playRandomFaults},
		{plantWithheldRevisions, "late", 20, playRandomFaults},
		{plantReplay, "replay", 10, playPartition},
		{plantFlapping, "flapping", 10, playPartition},
		{plantFalseConfirmation, "staleness", 10, playPartition},
		{plantSlowCatchUp, "recovery", 10, playPartition},
		{plantConnectStorm, "storm", 150, playConnectStorm},
		{plantMissingReports, "status", 20, playRandomFaults},
	} {
		t.Run(x.checker, func(t *testing.T) {
			s := runSimulation(t, simOptions{seed: 1, brokers: x.brokers, plant: x.plant}, x.play)
			s.checks.checkStorms()
			s.checks.checkStatus()
			if x.plant == plantNone {
				requireClean(t, s)
				return
			}
			require.NotZero(t, s.checks.findingCounts()[x.checker], "%s: not found; found were %v", x.plant, s.checks.findingCounts())
		})
	}
}
