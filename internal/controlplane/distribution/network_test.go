package distribution_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	simBrokers       = flag.Int("brokers", 60, "number of brokers in a simulation")
	simSeeds         = flag.Int("seeds", 2, "number of seeds to simulate")
	simStormBrokers  = flag.Int("storm", 150, "number of brokers that start and reconnect together")
	simPartitionTime = flag.Duration("cut", 3*time.Minute, "how long a region is partitioned")
	simFaultTime     = flag.Duration("faults", 3*time.Minute, "how long random faults are injected")
	simFirstSeed     = flag.Uint64("first-seed", 1, "first seed to simulate")
)

// requireNoFindings fails the test if the checkers have findings, and prints the flags that reproduce them.
func requireNoFindings(t *testing.T, s *simulation) {
	t.Helper()
	for i, f := range s.checks.findings {
		if i < 5 {
			t.Errorf("%s: %s", f.checker, f.detail)
		}
	}
	if n := len(s.checks.findings); n > 0 {
		t.Fatalf("%d findings; reproduce with -seeds 1 -first-seed %d -brokers %d", n, s.seed, len(s.fleet))
	}
}

func runSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for i := range uint64(*simSeeds) {
		t.Run(fmt.Sprint("seed=", *simFirstSeed+i), func(t *testing.T) { run(t, *simFirstSeed+i) })
	}
}

func runRandomFaults(s *simulation) {
	end := *simFaultTime + time.Minute
	s.checks.maxInFlight = streamWindow
	s.publishPeriodically(publishInterval, end)
	s.injectFaults(end - time.Minute)
	s.runUntil(end + time.Minute)
}

func TestRevisionsReachAllBrokersDespiteFaults(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		s := runSimulation(t, simOptions{seed: seed, brokers: *simBrokers, noiseRatio: 0.01}, runRandomFaults)
		s.checks.checkConnectStorms()
		s.checks.checkStatus()
		requireNoFindings(t, s)
		for _, b := range s.fleet {
			status := b.follower.Status(s.time())
			require.EqualValues(t, len(s.log), max(status.InForce, status.Rejection.GetNumber()), b.name())
		}
		require.NotEmpty(t, s.checks.recoveryTimes)
		counts := s.checks.updateCounts()
		require.NotZero(t, counts.Corrupt)
		require.NotZero(t, counts.Oversized)
		t.Logf("%d revisions, %d events, in force after %v at p99, %v at most; after recoveries %v at p99, %v at most; %+v",
			len(s.log), s.events, percentile(s.checks.propagationTimes, 0.99), percentile(s.checks.propagationTimes, 1),
			percentile(s.checks.recoveryTimes, 0.99), percentile(s.checks.recoveryTimes, 1), counts)
	})
}

// runPartition partitions the first region, which has the spare, from the others for the duration of the flag -cut. During
// the partition the region's brokers follow a hub of their region, which catches up immediately afterwards.
func runPartition(s *simulation) {
	start := 2 * time.Minute
	end := start + *simPartitionTime
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
			s.checks.addFinding("staleness", "%s is partitioned and reports a staleness of %v, want at least %v", b.name(),
				status.Staleness, end-start-10*time.Second)
		}
		if checksWithoutHub[b] == followChecks {
			s.checks.addFinding("flapping", "%s follows no hub for 20 s although it can reach one", b.name())
		}
	}
	s.runUntil(end + 2*time.Minute)
}

func TestPartitionedRegionCatchesUp(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		s := runSimulation(t, simOptions{seed: seed, brokers: *simBrokers}, runPartition)
		s.checks.checkConnectStorms()
		requireNoFindings(t, s)
		require.NotZero(t, s.checks.appliedCatchingUp)
		t.Logf("%d revisions, %d events, in force after %v at p99; after the partition %v at p99, %v at most", len(s.log),
			s.events, percentile(s.checks.propagationTimes, 0.99), percentile(s.checks.recoveryTimes, 0.99),
			percentile(s.checks.recoveryTimes, 1))
	})
}

// runConnectStorm starts all brokers at once, then stops all hubs but one, one after the other, and restarts each after 70 s.
func runConnectStorm(s *simulation) {
	s.publish()
	for i := range hubs - 1 {
		s.after(time.Duration(10+20*i)*time.Second, func() { s.stopHub(i, i%2 == 1, 70*time.Second) })
		s.after(time.Duration(10+20*i)*time.Second, s.checks.faultsChanged)
	}
	s.runUntil(3 * time.Minute)
}

func TestBrokersSpreadConnectsAfterHubFailures(t *testing.T) {
	for _, brokers := range []int{60, *simStormBrokers} {
		t.Run(fmt.Sprint("brokers=", brokers), func(t *testing.T) {
			s := runSimulation(t, simOptions{seed: *simFirstSeed, brokers: brokers}, runConnectStorm)
			maxConnects := s.checks.checkConnectStorms()
			requireNoFindings(t, s)
			t.Logf("at most %d connections to one hub within a second", maxConnects)
		})
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	run := func(seed uint64) uint64 {
		return runSimulation(t, simOptions{seed: seed, brokers: 20, noiseRatio: 0.01}, runRandomFaults).trace
	}
	require.Equal(t, run(7), run(7))
	require.NotEqual(t, run(7), run(8))
}

// TestCheckersFindInjectedFaults checks the checkers: each finds the fault that is injected for it, and none has findings in
// the same scenarios without an injected fault.
func TestCheckersFindInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		fault    injectedFault
		checker  string // that has to find the fault; with noFault, a name for the subtest
		brokers  int
		scenario func(*simulation)
	}{
		{noFault, "no fault in random faults scenario", 20, runRandomFaults},
		{noFault, "no fault in partition scenario", 10, runPartition},
		{noFault, "no fault in connect storm scenario", 150, runConnectStorm},
		{faultRegression, "regression", 20, runRandomFaults},
		{faultDuplicate, "duplicate", 20, runRandomFaults},
		{faultTruncation, "corrupt", 20, runRandomFaults},
		{faultWithheldRevisions, "late", 20, runRandomFaults},
		{faultReplay, "replay", 10, runPartition},
		{faultFlapping, "flapping", 10, runPartition},
		{faultFalseConfirmation, "staleness", 10, runPartition},
		{faultSlowCatchUp, "recovery", 10, runPartition},
		{faultConnectStorm, "storm", 150, runConnectStorm},
		{faultMissingReports, "status", 20, runRandomFaults},
	} {
		t.Run(test.checker, func(t *testing.T) {
			s := runSimulation(t, simOptions{seed: 1, brokers: test.brokers, injected: test.fault}, test.scenario)
			s.checks.checkConnectStorms()
			s.checks.checkStatus()
			if test.fault == noFault {
				requireNoFindings(t, s)
				return
			}
			require.NotZero(t, s.checks.findingCounts()[test.checker], "injected fault %q not found, findings: %v", test.fault,
				s.checks.findingCounts())
		})
	}
}
