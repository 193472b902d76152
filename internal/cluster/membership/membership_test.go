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
	seeds   = flag.Int("seeds", 1, "seeds of each case")
	long    = flag.Duration("long", 30*time.Second, "virtual time of the cases without any expected verdict")
)

// maxBytesPerSecond is the traffic that a member may send, with IP and UDP headers.
const maxBytesPerSecond = 4000

// forEachSeed runs a case on each seed, on a fleet whose views agree.
func forEachSeed(t *testing.T, f func(t *testing.T, w *network)) {
	t.Parallel()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newNetwork(t, *members, uint64(seed))
			w.runUntilAgreed(2 * time.Minute) // all brokers start at once and have three seeds
			t.Logf("views agree after %v", w.now)
			w.run(w.now + time.Second)
			w.requireNoLoss(nil)
			f(t, w)
		})
	}
}

func name(x *node) string { return fmt.Sprint("n", x.i) }

func TestFailureIsDetectedWithin5Seconds(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		var latencies []time.Duration
		except := map[string]bool{}
		for i := range 5 {
			x := w.nodes[w.rng.IntN(len(w.nodes))]
			if x.dead {
				continue
			}
			x.dead, except[name(x)] = true, true
			at := w.now
			w.run(w.now + 6*time.Second + time.Duration(i)*77*time.Millisecond)
			for _, o := range w.nodes {
				if !o.dead {
					require.Contains(t, o.lostAt, name(x))
					latencies = append(latencies, o.lostAt[name(x)]-at)
				}
			}
		}
		slices.Sort(latencies)
		t.Logf("known after %v (median), %v (99 %%), %v (all)", latencies[len(latencies)/2], latencies[len(latencies)*99/100], latencies[len(latencies)-1])
		require.Less(t, latencies[len(latencies)*99/100], 5*time.Second)
		w.requireNoLoss(except)
	})
}

func TestLossDuplicationAndReorderingCauseNoFalsePositive(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		w.lossRatio, w.duplicateRatio, w.maxDelay = 0.2, 0.2, 80*time.Millisecond
		maxRate := w.maxSendRate(func() { w.run(w.now + *long) })
		w.requireNoLoss(nil)
		require.Less(t, maxRate, float64(maxBytesPerSecond))
		t.Logf("%.0f bytes a second at most", maxRate)
	})
}

func TestPausesUpTo4SecondsCauseNoFalsePositive(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		maxRate := w.maxSendRate(func() {
			for end := w.now + *long; w.now < end; {
				for range max(len(w.nodes)/10, 1) {
					if x := w.nodes[w.rng.IntN(len(w.nodes))]; w.now >= x.pausedUntil {
						x.pausedUntil = w.now + time.Duration(w.rng.Int64N(int64(4*time.Second)))
					}
				}
				w.run(w.now + 4*time.Second)
			}
		})
		w.requireNoLoss(nil)
		require.Less(t, maxRate, float64(maxBytesPerSecond))
		t.Logf("%.0f bytes a second at most", maxRate)
	})
}

func TestLongPauseIsLostOnceAndRefutedOnResume(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		x := w.nodes[w.rng.IntN(len(w.nodes))]
		x.pausedUntil = w.now + 15*time.Second
		w.run(x.pausedUntil)
		for _, o := range w.nodes {
			if o != x {
				require.Equal(t, []string{name(x)}, o.lostNames)
			}
		}
		woke := w.now
		w.run(w.now + 3*time.Second)
		require.True(t, w.viewsAgree(nil), w.describeViews())
		for _, o := range w.nodes {
			if o != x {
				require.Equal(t, []string{name(x)}, o.lostNames)
				require.Less(t, o.aliveAt[name(x)]-woke, 3*time.Second)
			}
		}
		require.Empty(t, x.lostNames, "a member that resumes declares none lost")
	})
}

func TestPartitionOfOnePairCausesNoFalsePositive(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run(fmt.Sprint("both directions: ", both), func(t *testing.T) {
			forEachSeed(t, func(_ *testing.T, w *network) {
				a := w.nodes[w.rng.IntN(len(w.nodes))]
				for range 6 { // one pair after the other
					b := w.nodes[w.rng.IntN(len(w.nodes))]
					w.partitioned = func(from, to *node) bool {
						return from == a && to == b || both && from == b && to == a
					}
					w.run(w.now + 7*time.Second)
				}
				w.requireNoLoss(nil)
			})
		})
	}
}

func TestOneWayPartitionYieldsOneVerdict(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		t.Run(map[bool]string{true: "deaf", false: "mute"}[deaf], func(t *testing.T) {
			forEachSeed(t, func(t *testing.T, w *network) {
				a := w.nodes[w.rng.IntN(len(w.nodes))]
				w.partitioned = func(from, to *node) bool { return deaf && to == a || !deaf && from == a }
				w.run(w.now + 40*time.Second)
				want := 0
				if !deaf {
					want = 1
				}
				for _, o := range w.nodes {
					if o != a {
						require.Len(t, o.lostNames, want, "the same verdict everywhere, and once")
					}
				}
				require.Empty(t, a.lostNames)
				if deaf {
					require.True(t, a.FleetSize().Fenced, "a member that receives nothing fences itself")
				}
				w.partitioned = func(_, _ *node) bool { return false }
				w.run(w.now + 5*time.Second)
				require.True(t, w.viewsAgree(nil), w.describeViews())
			})
		})
	}
}

// TestZonePartitionFencesMinorityAndHeals checks that both sides declare each other lost, that their parts of a shared
// budget never sum to more than the budget, and that the views agree after the partition has healed.
func TestZonePartitionFencesMinorityAndHeals(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		minority := func(x *node) bool { return x.i%3 == 0 }
		majority := func(x *node) bool { return x.i%3 != 0 }
		w.partitioned = func(from, to *node) bool { return minority(from) != minority(to) }
		maxRate := w.maxSendRate(func() {
			w.run(w.now + 15*time.Second)
			require.True(t, w.viewsAgree(minority) && w.viewsAgree(majority), w.describeViews())
			for at := w.now + 45*time.Second; w.now < at; {
				w.run(w.now + time.Second)
				parts := 0.0
				for _, x := range w.nodes {
					if c := x.FleetSize(); !c.Fenced {
						parts += 1 / float64(c.Sharing)
					}
				}
				require.LessOrEqual(t, parts, 1.0001, "sum of the parts of the budget")
			}
		})
		w.partitioned = func(_, _ *node) bool { return false }
		healed := w.now
		maxRate = max(maxRate, w.maxSendRate(func() { w.run(w.now + 5*time.Second) }))
		require.True(t, w.viewsAgree(nil), "5 s after %v: %s", healed, w.describeViews())
		require.Less(t, maxRate, float64(maxBytesPerSecond))
		t.Logf("%.0f bytes a second at most", maxRate)
	})
}

func TestSeventyPercentFailingAtOnceAreDetected(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		for _, x := range w.nodes {
			x.dead = w.rng.Float64() < 0.7
		}
		at := w.now
		maxRate := w.maxSendRate(func() {
			for !w.viewsAgree(nil) && w.now < at+15*time.Second {
				w.run(w.now + 100*time.Millisecond)
			}
		})
		t.Logf("views agree after %v, %.0f bytes a second at most", w.now-at, maxRate)
		require.LessOrEqual(t, w.now-at, 10*time.Second, w.describeViews())
		require.Less(t, maxRate, float64(maxBytesPerSecond))
		for _, x := range w.nodes { // they restart under their names
			if x.dead {
				w.start(x.i)
			}
		}
		w.runUntilAgreed(20 * time.Second)
	})
}

func TestRollingRestartConverges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		maxRate := w.maxSendRate(func() {
			for tenth := range 10 {
				for i := tenth; i < len(w.nodes); i += 10 {
					x := w.nodes[i]
					w.transmit(x, x.Leave(w.now))
					x.dead = true
					w.start(x.i)
				}
				w.run(w.now + 3*time.Second)
			}
		})
		at := w.now
		w.runUntilAgreed(10 * time.Second)
		t.Logf("views agree after %v, %.0f bytes a second at most", w.now-at, maxRate)
		require.Less(t, maxRate, float64(maxBytesPerSecond))
	})
}

// TestInstancesOfOneNameCountAsOneBroker checks the fleet size while both instances of a rolling replacement live, and after.
func TestInstancesOfOneNameCountAsOneBroker(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		old := w.nodes[len(w.nodes)-1]
		old.addr = netip.MustParseAddrPort("127.9.9.9:1") // it runs beside the new one, at another address
		w.byAddr[old.addr] = old
		w.start(old.i)
		w.run(w.now + 5*time.Second)
		require.Equal(t, len(w.nodes), w.nodes[0].FleetSize().Alive)
		old.dead = true
		w.run(w.now + 6*time.Second)
		require.Equal(t, len(w.nodes), w.nodes[0].FleetSize().Alive)
		require.Equal(t, len(w.nodes), w.nodes[0].FleetSize().Known)
	})
}

// TestDelayedDatagramDoesNotRefuteLoss checks that datagrams of a failed member that arrive after the verdict, with sequence
// numbers never seen before, do not make it alive.
func TestDelayedDatagramDoesNotRefuteLoss(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		x := w.nodes[len(w.nodes)/2]
		w.delayed = func(from, _ *node) bool { return from == x }
		w.run(w.now + time.Second)
		x.dead = true
		w.run(w.now + 8*time.Second)
		require.NotEmpty(t, w.delayedEvents)
		for _, late := range w.delayedEvents {
			require.Contains(t, late.to.lostAt, name(x))
			w.transmit(late.to, late.to.Receive(w.now, late.from, late.data))
		}
		w.run(w.now + 3*time.Second)
		for _, o := range w.nodes {
			if o != x {
				require.Less(t, o.aliveAt[name(x)], o.lostAt[name(x)], "lost after it was last alive")
			}
		}
	})
}

// TestReplayedDatagramIsDropped checks that a sequence number is accepted once: a duplicate is no proof of life.
func TestReplayedDatagramIsDropped(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		x := w.nodes[1]
		w.delayed = func(from, _ *node) bool { return from == x }
		w.run(w.now + time.Second)
		w.delayed = func(_, _ *node) bool { return false }
		first := w.delayedEvents[0]
		drops := first.to.DroppedDatagrams
		w.transmit(first.to, first.to.Receive(w.now, first.from, first.data))
		require.Equal(t, drops, first.to.DroppedDatagrams)
		for range 3 {
			w.transmit(first.to, first.to.Receive(w.now, first.from, first.data))
		}
		require.Equal(t, drops+3, first.to.DroppedDatagrams)
	})
}

// TestHourLongPartitionNeverOversharesBudget checks the sum of the parts of a shared budget during an hour's partition, and
// that the views agree afterwards. The fleet is small and has one seed, since the case is an hour of virtual time.
func TestHourLongPartitionNeverOversharesBudget(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 5, 1)
	w.runUntilAgreed(time.Minute)
	region := func(x *node) bool { return x.i >= 3 }
	w.partitioned = func(from, to *node) bool { return region(from) != region(to) }
	for end := w.now + time.Hour; w.now < end; {
		w.run(w.now + 30*time.Second)
		parts := 0.0
		for _, x := range w.nodes {
			c := x.FleetSize()
			require.Equal(t, 5, c.Known, "n%d has reaped tombstones after %v", x.i, w.now)
			if !c.Fenced {
				parts += 1 / float64(c.Sharing)
			}
		}
		require.LessOrEqual(t, parts, 1.0001, "after %v", w.now)
	}
	for _, x := range w.nodes {
		require.Equal(t, region(x), x.FleetSize().Fenced)
	}
	w.partitioned = func(_, _ *node) bool { return false }
	w.run(w.now + 5*time.Second)
	require.True(t, w.viewsAgree(nil), w.describeViews())
}

// TestPartitionHealsWithoutSeeds checks that views agree after a partition although all seeds have failed.
func TestPartitionHealsWithoutSeeds(t *testing.T) {
	forEachSeed(t, func(t *testing.T, w *network) {
		for _, x := range w.nodes[:3] {
			x.dead = true
		}
		w.run(w.now + 8*time.Second)
		minority := func(x *node) bool { return x.i%3 == 0 }
		w.partitioned = func(from, to *node) bool { return minority(from) != minority(to) }
		w.run(w.now + 20*time.Second)
		w.partitioned = func(_, _ *node) bool { return false }
		w.run(w.now + 5*time.Second)
		require.True(t, w.viewsAgree(nil), w.describeViews())
	})
}

func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	run := func() (sums []uint64) {
		w := newNetwork(t, 20, 3)
		w.lossRatio = 0.1
		w.run(10 * time.Second)
		w.nodes[4].dead = true
		w.run(20 * time.Second)
		for _, x := range w.nodes {
			sums = append(sums, x.Fingerprint(), uint64(x.sentBytes))
		}
		return sums
	}
	require.Equal(t, run(), run())
}
