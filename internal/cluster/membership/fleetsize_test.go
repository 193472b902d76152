package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newViewOfBrokers returns a view of n live brokers, including self.
func newViewOfBrokers(n int) *View {
	v := New(Options{Self: Instance{Name: "self", Start: 1, Addr: netip.MustParseAddrPort("127.0.0.1:1")}, Seed: 1})
	for i := range n - 1 {
		v.add(Instance{Name: fmt.Sprint("n", i), Start: 1, Addr: v.self.Addr}, 0)
	}
	return v
}

// countByName returns the numbers of brokers of a member list that are alive, that are known, and that were lost within twice
// fenceDelay. It recounts them at each call.
func countByName(v *View) (alive, known, recentlyLost int) {
	bestStatus, lastChangeAt := map[string]Status{}, map[string]time.Duration{}
	for _, m := range v.memberList {
		s := m.state.status()
		if m == v.self {
			s = Alive
		}
		if s == Left {
			continue
		}
		if old, ok := bestStatus[m.Name]; !ok || s < old {
			bestStatus[m.Name] = s
		}
		lastChangeAt[m.Name] = max(lastChangeAt[m.Name], m.stateSince)
	}
	for name, s := range bestStatus {
		if s == Alive {
			alive++
		} else if v.now-lastChangeAt[name] < 2*fenceDelay {
			recentlyLost++
		}
	}
	return alive, len(bestStatus), recentlyLost
}

// TestFleetSizeFollowsMemberListChanges compares the cached counts with a recount after each of many random changes.
func TestFleetSizeFollowsMemberListChanges(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		v := newViewOfBrokers(20)
		for step := range 2000 {
			v.now += time.Duration(rng.Int64N(int64(time.Second)))
			m := v.memberList[rng.IntN(len(v.memberList))]
			switch rng.IntN(6) {
			case 0:
				if len(v.memberList) < 60 {
					v.add(Instance{Name: m.Name, Start: uint64(step) + 2, Addr: m.Addr}, state(rng.IntN(3)))
				}
			case 1:
				if m != v.self && len(v.memberList) > 10 {
					v.remove(m)
				}
			case 2:
				v.applyState(m, m.state.withStatus(Lost))
			case 3:
				v.applyState(m, m.state.refuted())
			case 4:
				v.reapTombstones()
			}
			alive, known, recentlyLost := countByName(v)
			size := v.FleetSize()
			require.Equal(t, [2]int{alive, known}, [2]int{size.Alive, size.Known}, "seed %d, step %d", seed, step)
			require.Contains(t, []int{alive + recentlyLost, known}, size.Sharing)
			require.Equal(t, recentlyLost, v.brokers.countLostWithin(2*fenceDelay, v.now))
		}
	}
}

func BenchmarkFleetSize(b *testing.B) {
	v := newViewOfBrokers(MaxMembers)
	for b.Loop() {
		v.FleetSize()
	}
}

func BenchmarkAssignObservers(b *testing.B) {
	v := newViewOfBrokers(MaxMembers)
	for b.Loop() {
		v.assignObservers()
	}
}

func BenchmarkTick(b *testing.B) {
	v := newViewOfBrokers(MaxMembers)
	for b.Loop() {
		v.Tick(v.now + TickInterval)
	}
}
