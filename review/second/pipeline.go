package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline sends many queries at once on one connection. Without the disruption the client waits for each answer before it sends
// the next query.
func pipeline(p *play) error {
	const (
		queries  = 60
		deadline = 4 * time.Second
	)
	s, err := p.newSite(bern(), serverOptions{cores: 2, work: 10 * time.Millisecond, room: 40})
	if err != nil {
		return err
	}
	b, err := p.broker(s, "n0")
	if err != nil {
		return err
	}
	c, err := net.Dial("tcp", b.listen)
	if err != nil {
		return err
	}
	defer c.Close()
	text := make([]byte, 1800) // what each part has to carry
	for i := range text {
		text[i] = "0123456789abcdef"[i%16]
	}
	var sent [][]byte
	for i := range queries {
		sent = append(sent, request(fmt.Sprintf("9b1f03aa5c7e%04x", i), "usage-lookup", deadline,
			queryBody(targets(i, 4, s.d.slabs), string(text))))
	}
	in := bufio.NewReader(c)
	c.SetDeadline(time.Now().Add(deadline + 3*time.Second))
	if p.trouble {
		var all []byte
		for _, one := range sent {
			all = append(all, one...)
		}
		p.say("sent: %d queries of usage-lookup at once, %d bytes", queries, len(all))
		if _, err := c.Write(all); err != nil {
			return fmt.Errorf("sending: %w", err)
		}
	}
	sentAt := time.Now()
	answered := 0
	for i, one := range sent {
		if !p.trouble {
			if _, err := c.Write(one); err != nil {
				return fmt.Errorf("sending: %w", err)
			}
		}
		a := readAnswer(in)
		if a.err != nil {
			p.say("query %d: no answer, the connection ended after %.3f s: %v", i, time.Since(sentAt).Seconds(), a.err)
			p.breaks("lost: the broker ended the connection after %d answers; %d queries that were written to it got none",
				answered, queries-answered)
			break
		}
		answered++
		p.say("query %d: %d after %.3f s, closes %v", i, a.status, time.Since(sentAt).Seconds(), a.closes)
	}
	run := map[string]bool{}
	for _, a := range s.arrivals.list() {
		run[a.id[:16]] = true
	}
	p.say("queries of which record servers got parts: %d", len(run))
	return nil
}
