package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["upgradeflight"] = upgradeFlight }

// upgradeFlight starts a second process beside a broker that serves Arrow Flight too, as at an upgrade. Without the disruption there
// is only the first process.
func upgradeFlight(p *play) error {
	s, err := p.newSite(bern(), serverOptions{cores: 2, work: 20 * time.Millisecond, room: 40})
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
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	file, err := p.flightFile(listen, nil)
	if err != nil {
		return err
	}
	start := func() (*brokerProcess, error) {
		control, err := freeAddr()
		if err != nil {
			return nil, err
		}
		b, err := startBroker(p.folder, "n0", listener.Addr().String(), control, s.d, s.known, s.discovery.addr(), socket, "-flight", file)
		if err != nil {
			return nil, err
		}
		p.onEnd(b.stop)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			select {
			case <-b.ended:
				return b, nil
			default:
			}
			if reply, err := call(control, "HEALTH"); err == nil && reply == "ACK" {
				return b, nil
			}
		}
		return nil, fmt.Errorf("process %d neither says yes nor has ended", b.cmd.Process.Pid)
	}
	if _, err := start(); err != nil {
		return err
	}
	if !p.trouble {
		return nil
	}
	second, err := start()
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	select {
	case <-second.ended:
		p.breaks("crash: the second process has ended: %v", second.cmd.ProcessState)
	default:
	}
	return nil
}
