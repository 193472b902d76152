package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
)

func init() { cases["flightleave"] = flightLeave }

// flood sends the same request again and again at full speed until stop is closed, and reads what is sent to it.
func flood(addr string, text []byte, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for {
			select {
			case <-stop:
				c.Close()
				return
			default:
			}
			c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if _, err := c.Write(text); err != nil {
				break
			}
		}
		c.Close()
	}
}

// flightCalls returns what a Flight client writes to begin n calls at once.
func flightCalls(id string, n int, slabs int, text string) ([]byte, error) {
	var out bytes.Buffer
	out.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&out, nil)
	if err := framer.WriteSettings(); err != nil {
		return nil, err
	}
	for i := range uint32(n) {
		ticket, err := json.Marshal(object{"id": fmt.Sprintf("%s%04x", id, i), "class": "charge-post",
			"targets": targets(int(i)%slabs, 1, slabs), "query": text})
		if err != nil {
			return nil, err
		}
		message, err := proto.Marshal(&flight.Ticket{Ticket: ticket})
		if err != nil {
			return nil, err
		}
		data := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
		var head bytes.Buffer
		e := hpack.NewEncoder(&head)
		for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/arrow.flight.protocol.FlightService/DoGet"},
			{":authority", "app.svc"}, {"content-type", "application/grpc"}, {"te", "trailers"}, {"grpc-timeout", "4S"}} {
			if err := e.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}); err != nil {
				return nil, err
			}
		}
		if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: head.Bytes(), EndHeaders: true}); err != nil {
			return nil, err
		}
		if err := framer.WriteData(2*i+1, true, data); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

// flightLeave has clients of Arrow Flight send calls of charge-post and leave at once, while bad clients send at full speed. Without the
// disruption there are no bad clients.
func flightLeave(p *play) error {
	const (
		badClients = 300
		leaving    = 48 // clients that leave in a round
		calls      = 16 // of one of them
		rounds     = 3
		goneAfter  = 150 * time.Millisecond // 0.1 s, and 50 ms more on sockets
	)
	d := bern()
	d.openCap = 2000
	s, err := p.newSite(d, serverOptions{cores: 2, work: 5 * time.Millisecond, room: 40})
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
	b, err := p.broker(s, "n0", "-flight", file)
	if err != nil {
		return err
	}
	nested := `{"targets":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + strings.Repeat(",[[[]]]", 6000) + `}`
	bad := request("9b1f03aa5c7e2d41", "usage-lookup", 4*time.Second, []byte(nested))
	stop := make(chan struct{})
	var floods sync.WaitGroup
	if p.trouble {
		for range badClients {
			floods.Go(func() { flood(b.listen, bad, stop) })
		}
		p.say("%d bad clients send bodies of %d bytes that cannot be read", badClients, len(nested))
	}
	time.Sleep(500 * time.Millisecond)
	for round := range rounds {
		closedAt, err := leaveAtOnce(listen, round, leaving, calls, d.slabs)
		if err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
		late, total, worst := 0, 0, time.Duration(0)
		for _, a := range s.arrivals.list() {
			if !strings.HasPrefix(a.id, fmt.Sprintf("%x", round)) {
				continue
			}
			total++
			after := a.at.Sub(closedAt)
			worst = max(worst, after)
			if after > goneAfter {
				late++
				p.say("%s was sent part %s %.3f s after its client had closed", a.server, a.id, after.Seconds())
			}
		}
		p.say("round %d: %d clients closed with %d calls each at %.3f; %d parts were sent, the last one %.3f s after the close, %d too late",
			round, leaving, calls, p.sinceStart(closedAt), total, worst.Seconds(), late)
		if late > 0 {
			p.breaks("lost: %d attempts of charge-post began more than %v after their clients had closed, up to %.3f s", late, goneAfter,
				worst.Seconds())
		}
	}
	close(stop)
	floods.Wait()
	return nil
}

// leaveAtOnce has clients of Arrow Flight send calls and close their connections, and returns when the last one had closed.
func leaveAtOnce(addr string, round, clients, calls, slabs int) (closedAt time.Time, err error) {
	text := strings.Repeat("0123456789abcdef", 200) // what each part has to carry
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
		closedAt = time.Now()
	}()
	for i := range clients {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return closedAt, err
		}
		conns = append(conns, c)
		begun, err := flightCalls(fmt.Sprintf("%x%02x", round, i), calls, slabs, text)
		if err != nil {
			return closedAt, err
		}
		if _, err := c.Write(begun); err != nil {
			return closedAt, err
		}
	}
	return closedAt, nil
}
