package processtest

import (
	"errors"
	"net"
	"time"
)

// maxDatagramSize is the size of a proxy's buffer in bytes. Datagrams of brokers are smaller.
const maxDatagramSize = 2048

// relay forwards the datagrams that arrive at the broker's proxy, with the faults of the direction from their sender, until the
// proxy is closed. It sends them from the sender's proxy, so that a reply passes through a proxy as well.
func (b *Broker) relay() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, source, err := b.proxy.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for _, sender := range b.fleet.Brokers {
			if sender.address == source {
				sender.recordSent(n)
				b.fleet.forward(sender, b, append([]byte(nil), buffer[:n]...))
			}
		}
	}
}

// forward delivers a datagram once or twice, or drops it, according to the faults of its direction.
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

// deliver sends a datagram after a random delay of up to maxDelay. The caller holds mu.
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
