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
	simCut     = flag.Duration("cut", 3*time.Minute, "how long a region is cut off")
	simFaults  = flag.Duration("faults", 3*time.Minute, "how long random faults are played")
	simFirst   = flag.Uint64("first-seed", 1, "first seed of the simulations")
)

// requireClean tells what the checkers found, and how to play it again.
func requireClean(t *testing.T, s *simulation) {
	t.Helper()
	for i, f := range s.check.findings {
		if i < 5 {
			t.Errorf("%s: %s", f.checker, f.detail)
		}
	}
	if n := len(s.check.findings); n > 0 {
		t.Fatalf("%d findings; again by -seeds 1 -first-seed %d -brokers %d", n, s.seed, len(s.fleet))
	}
}

func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	for i := range uint64(*simSeeds) {
		t.Run(fmt.Sprint("seed=", *simFirst+i), func(t *testing.T) { run(t, *simFirst+i) })
	}
}

func playRandomFaults(s *simulation) {
	end := *simFaults + time.Minute
	s.check.inFlight = streamWindow
	s.publishEvery(changesEvery, end)
	s.playFaults(end - time.Minute)
	s.runTo(end + time.Minute)
}

func TestRevisionsAreInForceEverywhereDespiteFaults(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := runSimulation(t, simOptions{seed: seed, brokers: *simBrokers, noise: 0.01}, playRandomFaults)
		s.check.storms()
		s.check.books()
		requireClean(t, s)
		for _, b := range s.fleet {
			status := b.follower.Status(s.time())
			require.EqualValues(t, len(s.log), max(status.InForce, status.Rejection.GetNumber()), b.name())
		}
		require.NotEmpty(t, s.check.healed)
		counts := s.check.counts()
		require.NotZero(t, counts.Corrupt)
		require.NotZero(t, counts.Oversized)
		t.Logf("%d revisions, %d steps, in force after %v at p99 and %v at most; after heals %v at p99, %v at most; %+v",
			len(s.log), s.steps, percentile(s.check.usual, 0.99), percentile(s.check.usual, 1),
			percentile(s.check.healed, 0.99), percentile(s.check.healed, 1), counts)
	})
}

// playRegionCut cuts the first region, which has the spare, from the others: for an hour by the flag. Its brokers follow
// a hub of their region all the time, which has the newest revision at once after the heal.
func playRegionCut(s *simulation) {
	from := 2 * time.Minute
	to := from + *simCut
	s.publishEvery(changesEvery, to+2*time.Minute)
	s.after(from, func() { s.cutRegion(0, to-from) })
	s.after(from, s.check.faultsChanged)
	for at := from; at < to; at += 10 * time.Second {
		s.after(at, s.check.honest)
	}
	without := map[*simBroker]int{}
	const looks = 3
	for i := range looks {
		s.runTo(to - time.Second - time.Duration(looks-1-i)*10*time.Second)
		s.check.following(0, without)
	}
	s.check.flapping(0, mostStreamsAnHour)
	for _, b := range s.fleet {
		status := b.follower.Status(s.time())
		cut := regionOfZone(b.zone) == 0
		if cut && (!status.StalenessKnown || status.Staleness < to-from-10*time.Second) {
			s.check.found("honest", "%s is cut off and says that it is %v behind", b.name(), status.Staleness)
		}
		if without[b] == looks {
			s.check.found("flapping", "%s follows no hub for 20 s though one is in reach", b.name())
		}
	}
	s.runTo(to + 2*time.Minute)
}

func TestARegionIsCutOff(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := runSimulation(t, simOptions{seed: seed, brokers: *simBrokers}, playRegionCut)
		s.check.storms()
		requireClean(t, s)
		require.NotZero(t, s.check.replays)
		t.Logf("%d revisions, %d steps, in force after %v at p99; after the heal %v at p99, %v at most", len(s.log),
			s.steps, percentile(s.check.usual, 0.99), percentile(s.check.healed, 0.99), percentile(s.check.healed, 1))
	})
}

// playStorm starts all brokers at one moment, kills one hub, then all but one, and brings them back.
func playStorm(s *simulation) {
	s.publish()
	for i := range hubs - 1 {
		s.after(time.Duration(10+20*i)*time.Second, func() { s.stopHub(i, i%2 == 1, 70*time.Second) })
		s.after(time.Duration(10+20*i)*time.Second, s.check.faultsChanged)
	}
	s.runTo(3 * time.Minute)
}

func TestStartsAndReconnectsAreSpread(t *testing.T) {
	for _, brokers := range []int{60, *simStorm} {
		t.Run(fmt.Sprint("brokers=", brokers), func(t *testing.T) {
			s := runSimulation(t, simOptions{seed: *simFirst, brokers: brokers}, playStorm)
			most := s.check.storms()
			requireClean(t, s)
			t.Logf("%d calls at one hub within a second at most", most)
		})
	}
}

func TestEqualSeedsPlayEqually(t *testing.T) {
	run := func(seed uint64) uint64 {
		return runSimulation(t, simOptions{seed: seed, brokers: 20, noise: 0.01}, playRandomFaults).trace
	}
	require.Equal(t, run(7), run(7))
	require.NotEqual(t, run(7), run(8))
}

// Each checker finds the fault that is planted for it, and nothing where none is.
func TestCheckersFindPlantedFaults(t *testing.T) {
	for _, x := range []struct {
		plant   plant
		checker string
		brokers int
		play    func(*simulation)
	}{
		{plantNone, "faults without a plant", 20, playRandomFaults},
		{plantNone, "cut without a plant", 10, playRegionCut},
		{plantNone, "storm without a plant", 150, playStorm},
		{plantGoBack, "back", 20, playRandomFaults},
		{plantTwice, "twice", 20, playRandomFaults},
		{plantHalf, "half", 20, playRandomFaults},
		{plantDeafBroker, "late", 20, playRandomFaults},
		{plantReplay, "replay", 10, playRegionCut},
		{plantFlapping, "flapping", 10, playRegionCut},
		{plantBoastfulHub, "honest", 10, playRegionCut},
		{plantSlowBackHome, "heal", 10, playRegionCut},
		{plantStorm, "storm", 150, playStorm},
		{plantUnbooked, "books", 20, playRandomFaults},
	} {
		t.Run(x.checker, func(t *testing.T) {
			s := runSimulation(t, simOptions{seed: 1, brokers: x.brokers, plant: x.plant}, x.play)
			s.check.storms()
			s.check.books()
			if x.plant == plantNone {
				requireClean(t, s)
				return
			}
			require.NotZero(t, s.check.names()[x.checker], "%s: not found; found were %v", x.plant, s.check.names())
		})
	}
}
