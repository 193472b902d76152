package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["flightdrain"] = flightDrain }

// flightDrain lets one record server drain while a broker has parts out at record servers that speak Flight and allow a connection as
// many streams as they have cores. Without the disruption none drains.
func flightDrain(p *play) error {
	const (
		queries = 12
		streams = 2
		work    = 400 * time.Millisecond
	)
	d := bern()
	s := &site{d: d, arrivals: &arrivals{}, known: list{Version: 1}}
	for i := range d.cells {
		e, err := p.startFlightServer(fmt.Sprintf("s-%08x", i+1), i, streams, work, s.arrivals.note)
		if err != nil {
			return err
		}
		s.known.Servers = append(s.known.Servers, e)
	}
	var err error
	if s.discovery, err = startDiscovery(s.known, ""); err != nil {
		return err
	}
	p.onEnd(s.discovery.close)
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	file, err := p.flightFile(listen, s.known.Servers)
	if err != nil {
		return err
	}
	b, err := p.broker(s, "n0", "-flight", file)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	for i := range queries {
		clients.Go(func() {
			id := fmt.Sprintf("9b1f03aa5c7e%04x", i)
			a := ask(b.listen, request(id, "tariff-report", 6*time.Second, queryBody(targets(6, 4, d.slabs), "c41e77d0")), 7*time.Second)
			p.say("query %s: %d, whole %v, error %v", id, a.status, a.whole, a.err)
		})
	}
	time.Sleep(250 * time.Millisecond)
	drained := s.known.Servers[7]
	if p.trouble {
		changed := drained
		changed.State = "leaving"
		s.discovery.change([]entry{changed})
	}
	clients.Wait()
	told := s.discovery.toldAt(2)
	for _, a := range s.arrivals.list() {
		p.say("%s was sent part %s at %.3f", a.server, a.id, p.sinceStart(a.at))
	}
	if told.IsZero() {
		return nil
	}
	p.say("%s drains, told at %.3f", drained.ID, p.sinceStart(told))
	for _, a := range s.arrivals.list() {
		if after := a.at.Sub(told); a.server == drained.ID && after > drainSlack {
			p.breaks("drain: %s was sent new part %s %.3f s after the broker was told that it drains", a.server, a.id, after.Seconds())
		}
	}
	return nil
}
