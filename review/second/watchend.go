package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["watchend"] = watchEnd }

// drainSlack is how long after the broker was told of a drain the first byte of a new part may come: 250 ms, and 50 ms more on
// sockets.
const drainSlack = 300 * time.Millisecond

// steady sends queries of usage-lookup at a rate to a broker until stop is closed, and returns how many it has sent and the answers by
// status.
func steady(addr string, d deployment, perSecond float64, seed uint64, stop <-chan struct{}) (sent int, answers map[int]int) {
	rng := rand.New(rand.NewPCG(seed, 3))
	pool := make(chan *client, 64)
	answers = map[int]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for next := time.Now(); ; {
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-stop:
			clients.Wait()
			return sent, answers
		case <-time.After(time.Until(next)):
		}
		text := request(fmt.Sprintf("%016x", rng.Uint64()), "usage-lookup", 4*time.Second,
			queryBody(targets(rng.IntN(d.slabs), 4, d.slabs), "c41e77d0"))
		sent++
		clients.Go(func() {
			a := askKept(pool, addr, text, 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers[a.status]++
		})
	}
}

// watchEnd lets two record servers drain in a fleet of 300 brokers, of which it runs four. Discovery ends their watches instead of
// telling it there; the next call gets the whole list at once. Without the disruption the watches tell the drain.
func watchEnd(p *play) error {
	const (
		running   = 4
		perSecond = 60
	)
	d := bern()
	d.brokers = 300
	errs := make(chan error, running)
	for i := range running {
		go func() { errs <- watchEndAt(p, d, i, perSecond) }()
	}
	var first error
	for range running {
		if err := <-errs; err != nil {
			first = err
		}
	}
	return first
}

// watchEndAt plays the case at one broker, with an agent of its own.
func watchEndAt(p *play, d deployment, number int, perSecond float64) error {
	s, err := p.newSite(d, serverOptions{cores: 2, work: 8 * time.Millisecond, room: 40})
	if err != nil {
		return err
	}
	b, err := p.broker(s, fmt.Sprintf("n%d", number))
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		sent, answers := steady(b.listen, d, perSecond, uint64(number), stop)
		p.say("n%d: %d queries sent, answered by status: %v", number, sent, answers)
		close(done)
	}()
	for end := time.Now().Add(10 * time.Second); s.discovery.calls() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("no watch of broker n%d", number)
		}
	}
	time.Sleep(2 * time.Second)
	drained := map[string]bool{s.servers[2].id: true, s.servers[7].id: true}
	before := s.discovery.calls()
	if p.trouble {
		s.discovery.endInsteadOfTelling()
	}
	s.discovery.change([]entry{entryOf(s.servers[2], "leaving"), entryOf(s.servers[7], "leaving")})
	told := time.Now() // the agent has it, watch or not
	p.say("n%d: discovery has the drain of %s and %s", number, s.servers[2].id, s.servers[7].id)
	time.Sleep(4 * time.Second)
	close(stop)
	<-done
	p.say("n%d: calls before %d, after %d; the list was written to the broker %.3f s after the agent had it", number, before,
		s.discovery.calls(), s.discovery.toldAt(2).Sub(told).Seconds())
	late, last, total := 0, time.Duration(0), 0
	for _, a := range s.arrivals.list() {
		total++
		if after := a.at.Sub(told); drained[a.server] && after > drainSlack {
			late, last = late+1, max(last, after)
			p.say("n%d: %s was sent part %s %.3f s after the agent had its drain", number, a.server, a.id, after.Seconds())
		}
	}
	p.say("n%d: %d parts in all, %d late", number, total, late)
	if late > 0 {
		p.breaks("drain: n%d sent %d new parts to draining record servers, up to %.3f s after it was told", number, late, last.Seconds())
	}
	return nil
}
