package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["reload"] = reload }

// reload moves discovery by SIGHUP in a fleet of 300 brokers, of which it runs six. The new agent has the drain of two record servers. Its
// first two calls end instead of telling; without the disruption they tell.
func reload(p *play) error {
	const running = 6
	d := bern()
	d.brokers = 300
	errs := make(chan error, running)
	for i := range running {
		go func() { errs <- reloadAt(p, d, i) }()
	}
	var first error
	for range running {
		if err := <-errs; err != nil {
			first = err
		}
	}
	return first
}

// reloadAt plays the case at one broker, with agents of its own.
func reloadAt(p *play, d deployment, number int) error {
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
		sent, answers := steady(b.listen, d, 60, uint64(number), stop)
		p.say("n%d: %d queries sent, answered by status: %v", number, sent, answers)
		close(done)
	}()
	time.Sleep(3 * time.Second)
	// The new agent has the drain.
	next := s.known
	next.Version = 2
	next.Servers = append([]entry(nil), s.known.Servers...)
	drained := map[string]bool{}
	for _, i := range []int{2, 7} {
		next.Servers[i].State = "leaving"
		drained[next.Servers[i].ID] = true
	}
	moved, err := startDiscovery(next, "")
	if err != nil {
		return err
	}
	p.onEnd(moved.close)
	if p.trouble {
		moved.mu.Lock()
		moved.endCalls = 2
		moved.mu.Unlock()
	}
	if err := b.moveDiscovery(moved.addr()); err != nil {
		return err
	}
	at := time.Now()
	if err := b.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	s.discovery.leave()
	time.Sleep(9 * time.Second)
	close(stop)
	<-done
	late, total, last := 0, 0, time.Duration(0)
	for _, a := range s.arrivals.list() {
		total++
		if after := a.at.Sub(at); drained[a.server] && after > 4*time.Second+drainSlack {
			late, last = late+1, max(last, after)
			p.say("n%d: %s was sent part %s %.3f s after SIGHUP", number, a.server, a.id, after.Seconds())
		}
	}
	p.say("n%d: calls to the new address that told nothing or the list: %d; the list was written to the broker %.3f s after SIGHUP",
		number, moved.calls(), moved.toldAt(2).Sub(at).Seconds())
	p.say("n%d: %d parts in all, %d late", number, total, late)
	if late > 0 {
		p.breaks("drain: n%d sent %d new parts to draining record servers, up to %.3f s after SIGHUP", number, late, last.Seconds())
	}
	return nil
}

// moveDiscovery replaces the configuration with one that names another address of discovery.
func (b *brokerProcess) moveDiscovery(addr string) error {
	text, err := os.ReadFile(b.config)
	if err != nil {
		return err
	}
	var config object
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	config["discovery"] = addr
	text, err = json.Marshal(config)
	if err != nil {
		return err
	}
	next := filepath.Join(b.folder, filepath.Base(b.config)+".next")
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, b.config)
}
