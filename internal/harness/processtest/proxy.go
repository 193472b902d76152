package processtest

import (
	"errors"
	"net"
	"time"
)

// maxDatagram is the proxies' buffer in bytes, more than a broker sends in one datagram.
const maxDatagram = 2048

// relay delivers the datagrams that arrive at a broker's proxy, with the faults of their sender's direction. It forwards
// them from the sender's own proxy, so that an answer passes through a proxy too.
func (b *Broker) relay() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := b.proxy.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for _, sender := range b.fleet.Brokers {
			if sender.address == from {
				sender.recordSent(n)
				b.fleet.forward(sender, b, append([]byte(nil), buffer[:n]...))
			}
		}
	}
}

// forward delivers a datagram once, twice or not at all.
func (f *Fleet) forward(from, to *Broker, datagram []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults, ok := f.faults[direction{from.Index, to.Index}]
	if !ok {
		faults = f.defaultFaults
	}
	if faults.Cut || f.closed || f.rng.Float64() < faults.LossRatio {
		return
	}
	copies := 1
	if f.rng.Float64() < faults.DuplicateRatio {
		copies = 2
	}
	for range copies {
		f.deliver(from, to, datagram, faults.MaxDelay)
	}
}

// deliver delivers a datagram after a random delay. The caller holds mu.
func (f *Fleet) deliver(from, to *Broker, datagram []byte, maxDelay time.Duration) {
	send := func() { from.proxy.WriteToUDPAddrPort(datagram, to.address) }
	if maxDelay <= 0 {
		send()
		return
	}
	f.deliveries.Add(1)
	time.AfterFunc(time.Duration(f.rng.Int64N(int64(maxDelay))), func() {
		defer f.deliveries.Done()
		send()
	})
}
