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

// epoch is the time at which each simulation starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// agentSimulation simulates a watch and its discovery agent in virtual time. While the agent is down, it accepts calls but
// sends nothing. When it comes up again, an open call receives its update at once. Otherwise it sends a message every 2 s.
type agentSimulation struct {
	*listwatch.Watch
	openCalls map[int]bool    // IDs of the open calls
	startedAt []time.Duration // start of each call; the call with ID i is at the index i-1
	maxOpen   int             // maximum number of calls that were open at the same time
}

// newAgentSimulation returns a simulation with the watch of one of the given number of callers.
func newAgentSimulation(callers int, seed uint64) *agentSimulation {
	return &agentSimulation{Watch: listwatch.New(backoff.New(callers, seed), epoch), openCalls: map[int]bool{}}
}

// perform opens and closes calls.
func (a *agentSimulation) perform(at time.Duration, actions []listwatch.Action) {
	for _, action := range actions {
		if action.Close {
			delete(a.openCalls, action.Call)
			continue
		}
		a.openCalls[action.Call] = true
		a.startedAt = append(a.startedAt, at)
		a.maxOpen = max(a.maxOpen, len(a.openCalls))
	}
}

// runUntil simulates the time from 0 to end in steps of 10 ms, with an agent that is down from downAt to upAt. It returns the
// time of the last message, or -1 if there was none.
func (a *agentSimulation) runUntil(end, downAt, upAt time.Duration) (lastMessageAt time.Duration) {
	lastMessageAt = -1
	for at := time.Duration(0); at < end; at += 10 * time.Millisecond {
		now := epoch.Add(at)
		if wakeAt := a.WakeAt(); !wakeAt.IsZero() && !now.Before(wakeAt) {
			a.perform(at, a.Tick(now))
		}
		if at >= downAt && at < upAt {
			continue
		}
		callStarted := len(a.startedAt) > 0 && a.startedAt[len(a.startedAt)-1] == at
		if !callStarted && at%(2*time.Second) != 0 && at != upAt {
			continue
		}
		for id := range a.openCalls {
			a.perform(at, a.MessageReceived(now, id))
			lastMessageAt = at
			break
		}
	}
	return lastMessageAt
}

// Guards against a watch that closes a silent call before it starts the next one. An agent that was silent for 9 s sends its
// update only to the open calls, and the update takes effect 250 ms later, so such a watch would miss it.
func TestSilentCallStaysOpenUntilAnotherReceivesMessage(t *testing.T) {
	for seed := range uint64(300) {
		a := newAgentSimulation(300, seed)
		upAt := 5*time.Second + time.Duration(seed)*37*time.Millisecond/10*10
		upAt = upAt / (10 * time.Millisecond) * (10 * time.Millisecond)
		require.Equal(t, upAt, a.runUntil(upAt+10*time.Millisecond, 300*time.Millisecond, upAt))
		require.LessOrEqual(t, a.maxOpen, 2)
	}
}

// After a watch becomes silent, the next call must start early enough to receive its first message before a missed update takes
// effect.
func TestSilentCallIsReplacedWithinUpdateDeadline(t *testing.T) {
	for _, callers := range []int{1, 3, 80, 300, 100_000} {
		for seed := range uint64(100) {
			a := newAgentSimulation(callers, seed)
			a.runUntil(time.Second, 0, 0)
			first := a.startedAt[0]
			for at := time.Second; len(a.startedAt) < 2; at += 10 * time.Millisecond {
				if now := epoch.Add(at); !now.Before(a.WakeAt()) {
					a.perform(at, a.Tick(now))
				}
			}
			require.Less(t, a.startedAt[1]-first+listwatch.CallTimeout, 6*time.Second)
			require.GreaterOrEqual(t, a.startedAt[1]-first, listwatch.SilenceTimeout)
		}
	}
}

func TestAddressChangedKeepsFormerCallUntilMessage(t *testing.T) {
	for seed := range uint64(100) {
		a := newAgentSimulation(300, seed)
		a.runUntil(10*time.Second, 0, 0)
		formerCall := len(a.startedAt)
		a.perform(10*time.Second, a.AddressChanged(epoch.Add(10*time.Second)))
		require.Len(t, a.openCalls, 1)
		// A message of the former call does not make it the watch again.
		a.perform(10*time.Second, a.MessageReceived(epoch.Add(10*time.Second), formerCall))
		at := 10 * time.Second
		for ; len(a.startedAt) == formerCall; at += 10 * time.Millisecond {
			if now := epoch.Add(at); !now.Before(a.WakeAt()) {
				a.perform(at, a.Tick(now))
			}
		}
		require.Less(t, at-10*time.Second+listwatch.CallTimeout, 4*time.Second)
		require.Len(t, a.openCalls, 2)
		a.perform(at, a.MessageReceived(epoch.Add(at), formerCall+1))
		require.Equal(t, map[int]bool{formerCall + 1: true}, a.openCalls)
	}
}

// After any sequence of events, a watch must have a time at which Tick is due, and few open calls.
func TestWatchAlwaysHasWakeTimeAndBoundedCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAgentSimulation(rapid.IntRange(1, 400).Draw(t, "callers"), rapid.Uint64().Draw(t, "seed"))
		at := time.Duration(0)
		lastFormerCall := 0 // calls up to this ID are to former addresses
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			now, id := epoch.Add(at), rapid.IntRange(1, len(a.startedAt)+1).Draw(t, "call")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if a.openCalls[id] {
					a.perform(at, a.MessageReceived(now, id))
					if id > lastFormerCall {
						require.Equal(t, map[int]bool{id: true}, a.openCalls)
						require.Equal(t, now.Add(listwatch.SilenceTimeout), a.WakeAt())
					}
				}
			case 1:
				delete(a.openCalls, id)
				a.perform(at, a.CallEnded(now, id, rapid.Bool().Draw(t, "reached")))
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "changeAddress") == 0 {
					lastFormerCall = len(a.startedAt)
					a.perform(at, a.AddressChanged(now))
				}
			default:
				a.perform(at, a.Tick(now))
				require.True(t, a.WakeAt().After(now), "Tick is due again immediately")
			}
			require.False(t, a.WakeAt().IsZero(), "no time at which Tick is due")
			require.Less(t, a.WakeAt().Sub(now), 5*time.Second)
			require.LessOrEqual(t, len(a.openCalls), 4)
		}
	})
}

// While discovery is unreachable, calls are refused, time out before they connect, or receive nothing, in any order. Once it is
// reachable again, a call is answered within its timeout, so an update must be applied within 6 s, whatever happened to earlier
// calls and whatever the size of the fleet. The calls of a fleet must be spread over time.
func TestWatchCallsWithinUpdateDeadlineAfterRecovery(t *testing.T) {
	for _, callers := range []int{1, 5, 30, 300, 100_000} {
		var callDelays []time.Duration // time from the recovery to the first call, by broker
		totalCalls := 0
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, uint64(callers)))
			a := newAgentSimulation(callers, seed)
			a.runUntil(time.Second, 0, 0) // after that, the watch is reset or becomes silent
			upAt := time.Second + time.Duration(rng.IntN(3000))*10*time.Millisecond
			endAt := map[int]time.Duration{} // end of each call by its ID; for the key 0, the time of a change of address
			if rng.IntN(2) == 0 {
				endAt[1] = time.Second
			}
			if rng.IntN(3) == 0 { // the address changes before the recovery
				endAt[0] = time.Second + time.Duration(rng.IntN(int((upAt-time.Second)/(10*time.Millisecond))+1))*10*time.Millisecond
			}
			calls := len(a.startedAt)
			for at := time.Second; ; at += 10 * time.Millisecond {
				now := epoch.Add(at)
				if changeAt, ok := endAt[0]; ok && changeAt <= at {
					delete(endAt, 0)
					a.perform(at, a.AddressChanged(now))
				}
				for id, end := range endAt {
					if id > 0 && end <= at {
						delete(endAt, id)
						delete(a.openCalls, id)
						a.perform(at, a.CallEnded(now, id, id == 1))
					}
				}
				if !now.Before(a.WakeAt()) {
					a.perform(at, a.Tick(now))
				}
				for ; calls < len(a.startedAt); calls++ {
					switch rng.IntN(3) {
					case 0:
						endAt[calls+1] = at + 10*time.Millisecond // refused
					case 1:
						endAt[calls+1] = at + listwatch.CallTimeout // timed out before it connected
					} // otherwise the call receives nothing
				}
				if last := a.startedAt[len(a.startedAt)-1]; last >= upAt {
					callDelays = append(callDelays, last-upAt)
					break
				}
				require.Less(t, at-upAt, 6*time.Second-listwatch.CallTimeout, "%d callers, seed %d", callers, seed)
			}
			totalCalls += len(a.startedAt)
		}
		slices.Sort(callDelays)
		if callers >= 300 {
			spread := callDelays[len(callDelays)*9/10] - callDelays[len(callDelays)/10]
			require.Greater(t, spread, 800*time.Millisecond, "calls are not spread over time")
			require.Less(t, totalCalls, 200*16, "too many calls")
		}
	}
}

// fleetSizes are numbers of callers of one discovery service.
var fleetSizes = []int{1, 13, 30, 300, 900, 100_000}

// fail lets the latest call end at once, and returns how long the watch waits before the next one, which it starts.
func (a *agentSimulation) fail(at time.Duration, reached bool) (wait time.Duration) {
	id := len(a.startedAt)
	delete(a.openCalls, id)
	a.perform(at, a.CallEnded(epoch.Add(at), id, reached))
	return a.startNext(at)
}

// startNext starts the next call when it is due, and returns how long the watch waits for it.
func (a *agentSimulation) startNext(at time.Duration) (wait time.Duration) {
	next := a.WakeAt().Sub(epoch)
	a.perform(next, a.Tick(epoch.Add(next)))
	return next - at
}

// Guards against drains of which a broker of a large fleet hears late, because discovery ended its watch instead of telling them:
// what discovery has counts 250 ms later, of which a hold-up may take 150 ms. The same holds for the first call.
func TestEndedWatchIsReopenedBeforeUpdateCounts(t *testing.T) {
	const longestWait = 100 * time.Millisecond
	for _, callers := range fleetSizes {
		for seed := range uint64(100) {
			a := newAgentSimulation(callers, seed)
			require.LessOrEqual(t, a.startNext(0), longestWait, "the first call")
			at := time.Second + time.Duration(seed)*100*time.Millisecond
			a.perform(at, a.MessageReceived(epoch.Add(at), 1))
			for ends := range 4 {
				wait := a.fail(at, true)
				require.LessOrEqual(t, wait, longestWait, "%d callers, seed %d, after end %d", callers, seed, ends)
				at += wait
			}
		}
	}
}

// Guards against news that are read later than 4 s after SIGHUP because the first calls to the new address fail, whether
// discovery answers them or not.
func TestCallsAfterAddressChangeFitItsDeadline(t *testing.T) {
	for _, callers := range fleetSizes {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, uint64(callers)))
			a := newAgentSimulation(callers, seed)
			a.runUntil(10*time.Second, 0, 0)
			const changedAt = 10 * time.Second
			a.perform(changedAt, a.AddressChanged(epoch.Add(changedAt)))
			at := changedAt + a.startNext(changedAt)
			for failures := range 4 {
				at += a.fail(at, rng.IntN(2) == 0)
				require.Less(t, at-changedAt, 3700*time.Millisecond, "%d callers, seed %d, %d failures", callers, seed, failures+1)
			}
		}
	}
}

// Guards against a silent call to a new address after which no other is in time for the 4 s after SIGHUP.
func TestSilentCallAfterAddressChangeIsReplacedBeforeItsDeadline(t *testing.T) {
	for _, callers := range fleetSizes {
		for seed := range uint64(100) {
			a := newAgentSimulation(callers, seed)
			a.runUntil(10*time.Second, 0, 0)
			const changedAt = 10 * time.Second
			a.perform(changedAt, a.AddressChanged(epoch.Add(changedAt)))
			silentAt := changedAt + a.startNext(changedAt)
			timedOutAt := silentAt + listwatch.CallTimeout
			a.perform(timedOutAt, a.Tick(epoch.Add(timedOutAt)))
			replacedAt := timedOutAt + a.startNext(timedOutAt)
			require.Less(t, replacedAt-changedAt, 3700*time.Millisecond, "%d callers, seed %d", callers, seed)
		}
	}
}

// Guards against a discovery that ends every call and is called again and again at full speed.
func TestEndingCallsAreSlowedDown(t *testing.T) {
	for _, callers := range fleetSizes {
		a := newAgentSimulation(callers, uint64(callers))
		at := a.startNext(0)
		for at < time.Minute {
			a.perform(at, a.MessageReceived(epoch.Add(at), len(a.startedAt))) // it tells the list before it ends the call
			at += a.fail(at, true)
		}
		t.Log(callers, "callers:", len(a.startedAt), "calls")
		if callers >= 300 {
			require.Less(t, len(a.startedAt), 100)
		}
	}
}

// Guards against news that bind a new process 2 s after an upgrade, while it waits after first calls that have failed.
func TestFailedFirstCallsAreRepeatedBeforeUpgradeDeadline(t *testing.T) {
	for _, callers := range fleetSizes {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, uint64(callers)))
			a := newAgentSimulation(callers, seed)
			at := a.startNext(0)
			for failures := range 4 {
				at += a.fail(at, rng.IntN(2) == 0)
				require.Less(t, at, 1700*time.Millisecond, "%d callers, seed %d, %d failures", callers, seed, failures+1)
			}
		}
	}
}
