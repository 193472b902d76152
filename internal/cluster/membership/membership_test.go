package membership_test

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	members = flag.Int("members", 40, "brokers of the simulated fleet; docs/fleet.md has figures for 300")
	seeds   = flag.Int("seeds", 1, "number of seeds that each test runs with")
	long    = flag.Duration("long", 30*time.Second, "simulated duration of the tests that expect no member to be declared lost")
)

// maxBytesPerSecond is the traffic that a member may send, with IP and UDP headers.
const maxBytesPerSecond = 4000

// forEachSeed runs a test with each seed, on a fleet whose views agree.
func forEachSeed(t *testing.T, f func(t *testing.T, net *network)) {
	t.Parallel()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			net := newNetwork(t, *members, uint64(seed))
			net.runUntilAgreed(2 * time.Minute) // all brokers start at once and have three seeds
			t.Logf("views agree after %v", net.now)
			net.run(net.now + time.Second)
			net.requireNoLoss(nil)
			f(t, net)
		})
	}
}

func nameOf(n *node) string { return fmt.Sprint("n", n.index) }

func TestFailureIsDetectedWithin5Seconds(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		var latencies []time.Duration
		failedNames := map[string]bool{}
		for i := range 5 {
			n := net.nodes[net.rng.IntN(len(net.nodes))]
			if n.dead {
				continue
			}
			n.dead, failedNames[nameOf(n)] = true, true
			failedAt := net.now
			net.run(net.now + 6*time.Second + time.Duration(i)*77*time.Millisecond)
			for _, other := range net.nodes {
				if !other.dead {
					require.Contains(t, other.lostAt, nameOf(n))
					latencies = append(latencies, other.lostAt[nameOf(n)]-failedAt)
				}
			}
		}
		slices.Sort(latencies)
		t.Logf("detected after %v (median), %v (99th percentile), %v (maximum)",
			latencies[len(latencies)/2], latencies[len(latencies)*99/100], latencies[len(latencies)-1])
		require.Less(t, latencies[len(latencies)*99/100], 5*time.Second)
		net.requireNoLoss(failedNames)
	})
}

func TestLossDuplicationAndReorderingCauseNoFalsePositive(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		net.lossRatio, net.duplicateRatio, net.maxDelay = 0.2, 0.2, 80*time.Millisecond
		maxRate := net.maxSendRate(func() { net.run(net.now + *long) })
		net.requireNoLoss(nil)
		require.Less(t, maxRate, float64(maxBytesPerSecond))
		t.Logf("at most %.0f bytes per second", maxRate)
	})
}

func TestPausesUpTo4SecondsCauseNoFalsePositive(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		maxRate := net.maxSendRate(func() {
			for end := net.now + *long; net.now < end; {
				for range max(len(net.nodes)/10, 1) {
					if n := net.nodes[net.rng.IntN(len(net.nodes))]; net.now >= n.pausedUntil {
						n.pausedUntil = net.now + time.Duration(net.rng.Int64N(int64(4*time.Second)))
					}
				}
				net.run(net.now + 4*time.Second)
			}
		})
		net.requireNoLoss(nil)
		require.Less(t, maxRate, float64(maxBytesPerSecond))
		t.Logf("at most %.0f bytes per second", maxRate)
	})
}

func TestLongPauseCausesOneLossRefutedOnResume(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		n := net.nodes[net.rng.IntN(len(net.nodes))]
		n.pausedUntil = net.now + 15*time.Second
		net.run(n.pausedUntil)
		for _, other := range net.nodes {
			if other != n {
				require.Equal(t, []string{nameOf(n)}, other.lostNames)
			}
		}
		resumedAt := net.now
		net.run(net.now + 3*time.Second)
		require.True(t, net.viewsAgree(nil), net.describeViews())
		for _, other := range net.nodes {
			if other != n {
				require.Equal(t, []string{nameOf(n)}, other.lostNames)
				require.Less(t, other.aliveAt[nameOf(n)]-resumedAt, 3*time.Second)
			}
		}
		require.Empty(t, n.lostNames, "a resumed member must declare no member lost")
	})
}

func TestPartitionOfOnePairCausesNoFalsePositive(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run(fmt.Sprint("both directions: ", both), func(t *testing.T) {
			forEachSeed(t, func(_ *testing.T, net *network) {
				a := net.nodes[net.rng.IntN(len(net.nodes))]
				for range 6 { // six pairs in sequence
					b := net.nodes[net.rng.IntN(len(net.nodes))]
					net.partitioned = func(from, to *node) bool {
						return from == a && to == b || both && from == b && to == a
					}
					net.run(net.now + 7*time.Second)
				}
				net.requireNoLoss(nil)
			})
		})
	}
}

// TestOneWayPartitionCausesSameVerdictEverywhere checks that a member that sends nothing is declared lost once by all others,
// and that a member that receives nothing is declared lost by none.
func TestOneWayPartitionCausesSameVerdictEverywhere(t *testing.T) {
	for _, inbound := range []bool{true, false} {
		t.Run(map[bool]string{true: "receives nothing", false: "sends nothing"}[inbound], func(t *testing.T) {
			forEachSeed(t, func(t *testing.T, net *network) {
				n := net.nodes[net.rng.IntN(len(net.nodes))]
				net.partitioned = func(from, to *node) bool { return inbound && to == n || !inbound && from == n }
				net.run(net.now + 40*time.Second)
				want := 0
				if !inbound {
					want = 1
				}
				for _, other := range net.nodes {
					if other != n {
						require.Len(t, other.lostNames, want, "members that n%d has declared lost", other.index)
					}
				}
				require.Empty(t, n.lostNames)
				if inbound {
					require.True(t, n.FleetSize().Fenced, "a member that receives nothing must fence itself")
				}
				net.partitioned = func(_, _ *node) bool { return false }
				net.run(net.now + 5*time.Second)
				require.True(t, net.viewsAgree(nil), net.describeViews())
			})
		})
	}
}

// TestZonePartitionFencesMinorityAndHeals checks that both sides declare each other lost, that the shares of a shared budget
// never sum to more than the budget, and that the views agree after the partition has healed.
func TestZonePartitionFencesMinorityAndHeals(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		minority := func(n *node) bool { return n.index%3 == 0 }
		majority := func(n *node) bool { return n.index%3 != 0 }
		net.partitioned = func(from, to *node) bool { return minority(from) != minority(to) }
		maxRate := net.maxSendRate(func() {
			net.run(net.now + 15*time.Second)
			require.True(t, net.viewsAgree(minority) && net.viewsAgree(majority), net.describeViews())
			for end := net.now + 45*time.Second; net.now < end; {
				net.run(net.now + time.Second)
				shares := 0.0
				for _, n := range net.nodes {
					if size := n.FleetSize(); !size.Fenced {
						shares += 1 / float64(size.Sharing)
					}
				}
				require.LessOrEqual(t, shares, 1.0001, "sum of the shares of the budget")
			}
		})
		net.partitioned = func(_, _ *node) bool { return false }
		healedAt := net.now
		maxRate = max(maxRate, net.maxSendRate(func() { net.run(net.now + 5*time.Second) }))
		require.True(t, net.viewsAgree(nil), "5 s after the partition healed at %v: %s", healedAt, net.describeViews())
		require.Less(t, maxRate, float64(maxBytesPerSecond))
		t.Logf("at most %.0f bytes per second", maxRate)
	})
}

func TestFailureOfSeventyPercentIsDetected(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		for _, n := range net.nodes {
			n.dead = net.rng.Float64() < 0.7
		}
		failedAt := net.now
		maxRate := net.maxSendRate(func() {
			for !net.viewsAgree(nil) && net.now < failedAt+15*time.Second {
				net.run(net.now + 100*time.Millisecond)
			}
		})
		t.Logf("views agree after %v, at most %.0f bytes per second", net.now-failedAt, maxRate)
		require.LessOrEqual(t, net.now-failedAt, 10*time.Second, net.describeViews())
		require.Less(t, maxRate, float64(maxBytesPerSecond))
		for _, n := range net.nodes { // the dead brokers restart under their old names
			if n.dead {
				net.start(n.index)
			}
		}
		net.runUntilAgreed(20 * time.Second)
	})
}

func TestRollingRestartConverges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		maxRate := net.maxSendRate(func() {
			for tenth := range 10 {
				for i := tenth; i < len(net.nodes); i += 10 {
					n := net.nodes[i]
					net.transmit(n, n.Leave(net.now))
					n.dead = true
					net.start(n.index)
				}
				net.run(net.now + 3*time.Second)
			}
		})
		restartedAt := net.now
		net.runUntilAgreed(10 * time.Second)
		t.Logf("views agree after %v, at most %.0f bytes per second", net.now-restartedAt, maxRate)
		require.Less(t, maxRate, float64(maxBytesPerSecond))
	})
}

// TestInstancesOfOneNameCountAsOneBroker checks the fleet size during a rolling replacement, while both instances are alive,
// and after the old one has failed.
func TestInstancesOfOneNameCountAsOneBroker(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		old := net.nodes[len(net.nodes)-1]
		old.addr = netip.MustParseAddrPort("127.9.9.9:1") // it keeps running, at another address than the new instance
		net.byAddr[old.addr] = old
		net.start(old.index)
		net.run(net.now + 5*time.Second)
		require.Equal(t, len(net.nodes), net.nodes[0].FleetSize().Alive)
		old.dead = true
		net.run(net.now + 6*time.Second)
		require.Equal(t, len(net.nodes), net.nodes[0].FleetSize().Alive)
		require.Equal(t, len(net.nodes), net.nodes[0].FleetSize().Known)
	})
}

// TestDelayedDatagramDoesNotRefuteLoss checks that datagrams of a failed member that arrive after it was declared lost, with
// sequence numbers not yet accepted, do not make it alive again.
func TestDelayedDatagramDoesNotRefuteLoss(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		n := net.nodes[len(net.nodes)/2]
		net.delayed = func(from, _ *node) bool { return from == n }
		net.run(net.now + time.Second)
		n.dead = true
		net.run(net.now + 8*time.Second)
		require.NotEmpty(t, net.delayedEvents)
		for _, delayed := range net.delayedEvents {
			require.Contains(t, delayed.to.lostAt, nameOf(n))
			net.transmit(delayed.to, delayed.to.Receive(net.now, delayed.from, delayed.data))
		}
		net.run(net.now + 3*time.Second)
		for _, other := range net.nodes {
			if other != n {
				require.Less(t, other.aliveAt[nameOf(n)], other.lostAt[nameOf(n)], "the loss must be the latest verdict")
			}
		}
	})
}

// TestReplayedDatagramIsDropped checks that a sequence number is accepted only once, since a duplicate does not prove that
// its sender is alive.
func TestReplayedDatagramIsDropped(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		n := net.nodes[1]
		net.delayed = func(from, _ *node) bool { return from == n }
		net.run(net.now + time.Second)
		net.delayed = func(_, _ *node) bool { return false }
		first := net.delayedEvents[0]
		drops := first.to.DroppedDatagrams
		net.transmit(first.to, first.to.Receive(net.now, first.from, first.data))
		require.Equal(t, drops, first.to.DroppedDatagrams)
		for range 3 {
			net.transmit(first.to, first.to.Receive(net.now, first.from, first.data))
		}
		require.Equal(t, drops+3, first.to.DroppedDatagrams)
	})
}

// TestHourLongPartitionNeverExceedsSharedBudget checks the sum of the shares of a shared budget during a partition of one
// hour, and that the views agree afterwards. The fleet is small and the test runs with one seed only, since it simulates an
// hour.
func TestHourLongPartitionNeverExceedsSharedBudget(t *testing.T) {
	t.Parallel()
	net := newNetwork(t, 5, 1)
	net.runUntilAgreed(time.Minute)
	minority := func(n *node) bool { return n.index >= 3 }
	net.partitioned = func(from, to *node) bool { return minority(from) != minority(to) }
	for end := net.now + time.Hour; net.now < end; {
		net.run(net.now + 30*time.Second)
		shares := 0.0
		for _, n := range net.nodes {
			size := n.FleetSize()
			require.Equal(t, 5, size.Known, "n%d has reaped tombstones at %v", n.index, net.now)
			if !size.Fenced {
				shares += 1 / float64(size.Sharing)
			}
		}
		require.LessOrEqual(t, shares, 1.0001, "sum of the shares of the budget at %v", net.now)
	}
	for _, n := range net.nodes {
		require.Equal(t, minority(n), n.FleetSize().Fenced, "n%d", n.index)
	}
	net.partitioned = func(_, _ *node) bool { return false }
	net.run(net.now + 5*time.Second)
	require.True(t, net.viewsAgree(nil), net.describeViews())
}

// TestPartitionHealsWithoutSeeds checks that the views agree after a partition although all seeds have failed.
func TestPartitionHealsWithoutSeeds(t *testing.T) {
	forEachSeed(t, func(t *testing.T, net *network) {
		for _, n := range net.nodes[:3] {
			n.dead = true
		}
		net.run(net.now + 8*time.Second)
		minority := func(n *node) bool { return n.index%3 == 0 }
		net.partitioned = func(from, to *node) bool { return minority(from) != minority(to) }
		net.run(net.now + 20*time.Second)
		net.partitioned = func(_, _ *node) bool { return false }
		net.run(net.now + 5*time.Second)
		require.True(t, net.viewsAgree(nil), net.describeViews())
	})
}

func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	run := func() (results []uint64) {
		net := newNetwork(t, 20, 3)
		net.lossRatio = 0.1
		net.run(10 * time.Second)
		net.nodes[4].dead = true
		net.run(20 * time.Second)
		for _, n := range net.nodes {
			results = append(results, n.Fingerprint(), uint64(n.sentBytes))
		}
		return results
	}
	require.Equal(t, run(), run())
}
