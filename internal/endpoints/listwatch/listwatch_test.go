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

// agentSimulation simulates the agent of a broker in virtual time. While it is down it accepts calls and sends nothing; the
// moment it is up again all open calls receive its update. Otherwise it sends a message every 2 s.
type agentSimulation struct {
	*listwatch.Watch
	open    map[int]bool
	opened  []time.Duration // start of each call, by its id
	maxOpen int             // largest number of open calls
}

// newAgentSimulation returns an agent with the watch of one of several callers.
func newAgentSimulation(callers int, seed uint64) *agentSimulation {
	return &agentSimulation{Watch: listwatch.New(backoff.New(callers, seed), start), open: map[int]bool{}}
}

// perform opens and closes calls.
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

// runUntil simulates from the start until to in steps of 10 ms, with an agent that is down from down until up. It returns the
// time of the last message, or -1.
func (a *agentSimulation) runUntil(to, down, up time.Duration) (lastMessageAt time.Duration) {
	lastMessageAt = -1
	for at := time.Duration(0); at < to; at += 10 * time.Millisecond {
		now := start.Add(at)
		if w := a.WakeAt(); !w.IsZero() && !now.Before(w) {
			a.perform(at, a.Tick(now))
		}
		if at >= down && at < up {
			continue
		}
		callStarted := len(a.opened) > 0 && a.opened[len(a.opened)-1] == at
		if !callStarted && at%(2*time.Second) != 0 && at != up {
			continue
		}
		for id := range a.open {
			a.perform(at, a.MessageReceived(now, id))
			lastMessageAt = at
			break
		}
	}
	return lastMessageAt
}

// An agent that was silent for 9 s sends its update to the open calls alone, and the update is in force 250 ms later. A watch
// that closed a silent call before it started the next would miss it.
func TestSilentCallStaysOpenUntilAnotherAnswers(t *testing.T) {
	for seed := range uint64(300) {
		a := newAgentSimulation(300, seed)
		up := 5*time.Second + time.Duration(seed)*37*time.Millisecond/10*10
		up = up / (10 * time.Millisecond) * (10 * time.Millisecond)
		require.Equal(t, up, a.runUntil(up+10*time.Millisecond, 300*time.Millisecond, up))
		require.LessOrEqual(t, a.maxOpen, 2)
	}
}

// A watch becomes silent, but a new call is answered: its first message comes before the update is in force.
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
		a.perform(10*time.Second, a.MessageReceived(start.Add(10*time.Second), old)) // a message does not make it the watch again
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

// After any events a watch has a time at which Tick is due, and few calls are open.
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
				require.True(t, a.WakeAt().After(now), "Tick is due again at once")
			}
			require.False(t, a.WakeAt().IsZero(), "Tick is never due")
			require.Less(t, a.WakeAt().Sub(now), 5*time.Second)
			require.LessOrEqual(t, len(a.open), 4)
		}
	})
}

// Discovery cannot be reached for a while: calls are refused, time out before they connect, or receive nothing, in any order.
// Once it can be reached, a call is answered within its timeout, so an update is applied within 6 s whatever the calls before,
// in a fleet of any size. The calls of a fleet are spread over time.
func TestWatchCallsWithinTheUpdateDeadlineOfRecovery(t *testing.T) {
	for _, callers := range []int{1, 5, 30, 300, 100_000} {
		var after []time.Duration // from the recovery to the first call, by broker
		made := 0
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, uint64(callers)))
			a := newAgentSimulation(callers, seed)
			a.runUntil(time.Second, 0, 0) // then the watch is reset or becomes silent
			up := time.Second + time.Duration(rng.IntN(3000))*10*time.Millisecond
			ends := map[int]time.Duration{}
			if rng.IntN(2) == 0 {
				ends[1] = time.Second
			}
			if rng.IntN(3) == 0 { // the address changes meanwhile
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
						ends[calls+1] = at + listwatch.CallTimeout // could not connect
					} // or receives nothing
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
			require.Greater(t, after[len(after)*9/10]-after[len(after)/10], 800*time.Millisecond, "calls are not spread over time")
			require.Less(t, made, 200*16, "too many calls")
		}
	}
}
