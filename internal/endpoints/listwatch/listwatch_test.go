package listwatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/backoff"
	"mothrouter/internal/endpoints/listwatch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// agentSimulation plays the agent of a broker in virtual time. While it is down it takes calls and says nothing; all that are
// open have its news the moment it is back. It speaks every 2 s else.
type agentSimulation struct {
	*listwatch.Watch
	open    map[int]bool
	opened  []time.Duration // when each call was made
	maxOpen int             // calls open at once
}

func newAgentSimulation(callers int, seed uint64) *agentSimulation {
	return &agentSimulation{Watch: listwatch.New(backoff.New(callers, seed), start), open: map[int]bool{}}
}

func (a *agentSimulation) perform(at time.Duration, actions []listwatch.Action) {
	for _, x := range actions {
		if x.Close {
			delete(a.open, x.Call)
			continue
		}
		a.open[x.Call] = true
		a.opened = append(a.opened, at)
		a.maxOpen = max(a.maxOpen, len(a.open))
	}
}

// runUntil runs from the start to a time in steps of 10 ms. It returns when the agent, which is down from one time to another, was last
// heard.
func (a *agentSimulation) runUntil(to, down, up time.Duration) (heard time.Duration) {
	heard = -1
	for at := time.Duration(0); at < to; at += 10 * time.Millisecond {
		now := start.Add(at)
		if w := a.WakeAt(); !w.IsZero() && !now.Before(w) {
			a.perform(at, a.Tick(now))
		}
		if at >= down && at < up {
			continue
		}
		fresh := len(a.opened) > 0 && a.opened[len(a.opened)-1] == at
		if !fresh && at%(2*time.Second) != 0 && at != up {
			continue
		}
		for id := range a.open {
			a.perform(at, a.MessageReceived(now, id))
			heard = at
			break
		}
	}
	return heard
}

// On herd+mass, seed 5, the agent was silent from the first word to 9.5 s. What it has then binds 250 ms later. A
// watcher that gave up a silent call before it made the next was deaf at that moment, and 300 brokers broke a drain.
func TestSilentCallStaysOpenUntilAnotherAnswers(t *testing.T) {
	for seed := range uint64(300) {
		a := newAgentSimulation(300, seed)
		up := 5*time.Second + time.Duration(seed)*37*time.Millisecond/10*10
		up = up / (10 * time.Millisecond) * (10 * time.Millisecond)
		require.Equal(t, up, a.runUntil(up+10*time.Millisecond, 300*time.Millisecond, up))
		require.LessOrEqual(t, a.maxOpen, 2)
	}
}

// The watch has fallen silent, but a new call is answered: its news come before they bind.
func TestSilentCallIsReplacedWithinTheUpdateDeadline(t *testing.T) {
	for _, callers := range []int{1, 3, 80, 300, 100_000} {
		for seed := range uint64(100) {
			a := newAgentSimulation(callers, seed)
			a.runUntil(time.Second, 0, 0)
			first := a.opened[0]
			for at := time.Second; len(a.opened) < 2; at += 10 * time.Millisecond {
				if now := start.Add(at); !now.Before(a.WakeAt()) {
					a.perform(at, a.Tick(now))
				}
			}
			require.Less(t, a.opened[1]-first+listwatch.CallTimeout, 6*time.Second)
			require.GreaterOrEqual(t, a.opened[1]-first, listwatch.SilenceTimeout)
		}
	}
}

func TestAddressChangedKeepsTheFormerCallUntilAMessage(t *testing.T) {
	for seed := range uint64(100) {
		a := newAgentSimulation(300, seed)
		a.runUntil(10*time.Second, 0, 0)
		old := len(a.opened)
		a.perform(10*time.Second, a.AddressChanged(start.Add(10*time.Second)))
		require.Len(t, a.open, 1)
		a.perform(10*time.Second, a.MessageReceived(start.Add(10*time.Second), old)) // what it says does not make it the watch again
		at := 10 * time.Second
		for ; len(a.opened) == old; at += 10 * time.Millisecond {
			if now := start.Add(at); !now.Before(a.WakeAt()) {
				a.perform(at, a.Tick(now))
			}
		}
		require.Less(t, at-10*time.Second+listwatch.CallTimeout, 4*time.Second)
		require.Len(t, a.open, 2)
		a.perform(at, a.MessageReceived(start.Add(at), old+1))
		require.Equal(t, map[int]bool{old + 1: true}, a.open)
	}
}

// Whatever happens, a watch either listens or has its next call planned, and calls are few.
func TestWatchAlwaysHasAWakeTimeAndBoundedCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAgentSimulation(rapid.IntRange(1, 400).Draw(t, "callers"), rapid.Uint64().Draw(t, "seed"))
		at, former := time.Duration(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			now, id := start.Add(at), rapid.IntRange(1, len(a.opened)+1).Draw(t, "call")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if a.open[id] {
					a.perform(at, a.MessageReceived(now, id))
					if id > former {
						require.Equal(t, map[int]bool{id: true}, a.open)
						require.Equal(t, now.Add(listwatch.SilenceTimeout), a.WakeAt())
					}
				}
			case 1:
				delete(a.open, id)
				a.perform(at, a.CallEnded(now, id))
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "moves") == 0 {
					former = len(a.opened)
					a.perform(at, a.AddressChanged(now))
				}
			default:
				a.perform(at, a.Tick(now))
				require.True(t, a.WakeAt().After(now), "a look at the time that leaves nothing to do is not wanted again at once")
			}
			require.False(t, a.WakeAt().IsZero(), "nothing is planned")
			require.Less(t, a.WakeAt().Sub(now), 5*time.Second)
			require.LessOrEqual(t, len(a.open), 4)
		}
	})
}

// Discovery cannot be reached for a while: it refuses calls, takes them and says nothing, or lets them hang, in any
// order. From the moment at which it can be reached a call that is made is answered within its limit, and so a change
// is in hand within 6 s, whatever became of the calls before, in a fleet of any size. Nor do all call in one moment.
func TestWatchCallsWithinTheUpdateDeadlineOfRecovery(t *testing.T) {
	for _, callers := range []int{1, 5, 30, 300, 100_000} {
		var after []time.Duration // when each broker called first once it could
		made := 0
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, uint64(callers)))
			a := newAgentSimulation(callers, seed)
			a.runUntil(time.Second, 0, 0) // heard, then lost: by a reset, or in silence
			up := time.Second + time.Duration(rng.IntN(3000))*10*time.Millisecond
			ends := map[int]time.Duration{}
			if rng.IntN(2) == 0 {
				ends[1] = time.Second
			}
			if rng.IntN(3) == 0 { // a new configuration has come meanwhile
				ends[0] = time.Second + time.Duration(rng.IntN(int((up-time.Second)/(10*time.Millisecond))+1))*10*time.Millisecond
			}
			calls := len(a.opened)
			for at := time.Second; ; at += 10 * time.Millisecond {
				now := start.Add(at)
				if moved, ok := ends[0]; ok && moved <= at {
					delete(ends, 0)
					a.perform(at, a.AddressChanged(now))
				}
				for id, end := range ends {
					if id > 0 && end <= at {
						delete(ends, id)
						delete(a.open, id)
						a.perform(at, a.CallEnded(now, id))
					}
				}
				if !now.Before(a.WakeAt()) {
					a.perform(at, a.Tick(now))
				}
				for ; calls < len(a.opened); calls++ {
					switch rng.IntN(3) {
					case 0:
						ends[calls+1] = at + 10*time.Millisecond // refused
					case 1:
						ends[calls+1] = at + listwatch.CallTimeout // never came up
					} // or stays silent
				}
				if last := a.opened[len(a.opened)-1]; last >= up {
					after = append(after, last-up)
					break
				}
				require.Less(t, at-up, 6*time.Second-listwatch.CallTimeout, "%d callers, seed %d", callers, seed)
			}
			made += len(a.opened)
		}
		slices.Sort(after)
		if callers >= 300 {
			require.Greater(t, after[len(after)*9/10]-after[len(after)/10], 800*time.Millisecond, "they call in step")
			require.Less(t, made, 200*16, "and too often")
		}
	}
}
