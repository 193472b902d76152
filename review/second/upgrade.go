package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = upgrade }

// call makes one call at the second address of a broker and returns the reply's first line.
func call(addr, line string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c, "%s\n", line); err != nil {
		return "", err
	}
	reply, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(reply), err
}

// awaitYes waits until a broker says at its second address that it takes clients.
func awaitYes(control string) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if reply, err := call(control, "HEALTH"); err == nil && strings.HasPrefix(reply, "ACK") {
			return nil
		}
	}
	return errors.New("no yes after 30 s")
}

// upgrade has bad clients send the id of another client's open request, charge-post, while a second process of the broker serves
// beside the first. Without the disruption there is only the first process.
func upgrade(p *play) error {
	const (
		id         = "9b1f03aa5c7e2d41"
		badClients = 80 // one after another, while the request is open
	)
	s, err := p.newSite(bern(), serverOptions{cores: 2, work: 900 * time.Millisecond, room: 40})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.onEnd(func() { listener.Close() })
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	addr := listener.Addr().String()
	start := func() (*brokerProcess, error) {
		control, err := freeAddr()
		if err != nil {
			return nil, err
		}
		b, err := startBroker(p.folder, "n0", addr, control, s.d, s.known, s.discovery.addr(), socket)
		if err != nil {
			return nil, err
		}
		p.onEnd(b.stop)
		return b, awaitYes(control)
	}
	old, err := start()
	if err != nil {
		return err
	}
	p.say("process %d says yes", old.cmd.Process.Pid)
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		next, err := start()
		if err != nil {
			return err
		}
		p.say("upgrade: process %d says yes", next.cmd.Process.Pid)
	}
	text := request(id, "charge-post", 4*time.Second, queryBody(targets(5, 2, s.d.slabs), "c41e77d0"))
	var clients sync.WaitGroup
	clients.Go(func() {
		a := ask(addr, text, 6*time.Second)
		p.say("the client of %s got %d, whole %v, error %v", id, a.status, a.whole, a.err)
	})
	time.Sleep(150 * time.Millisecond)
	answers := map[int]int{}
	var mu sync.Mutex
	for i := range badClients {
		time.Sleep(5 * time.Millisecond)
		clients.Go(func() {
			a := ask(addr, text, 6*time.Second)
			mu.Lock()
			answers[a.status]++
			mu.Unlock()
			if a.status == 200 {
				p.breaks("lost: bad client %d, with the id of another client's open request, was served as though its request had run", i)
			}
		})
	}
	clients.Wait()
	p.say("%d bad clients with the id of the open request got, by status: %v", badClients, answers)
	if p.trouble {
		_ = old.cmd.Process.Signal(syscall.SIGTERM) // the process runs
		p.say("SIGTERM to process %d", old.cmd.Process.Pid)
	}
	time.Sleep(300 * time.Millisecond)
	got := map[string]int{}
	for _, a := range s.arrivals.list() {
		p.say("%s was sent part %s at %.3f", a.server, a.id, p.sinceStart(a.at))
		got[a.id]++
	}
	for part, n := range got {
		if n > 1 {
			p.breaks("duplicate: record servers were sent part %s of charge-post %d times, none was turned away", part, n)
		}
	}
	return nil
}
