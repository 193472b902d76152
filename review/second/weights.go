package main

import (
	"fmt"
	"time"
)

func init() { cases["weights"] = weights }

// weights sends queries of tariff-report whose weights do not sum to 1 or are out of range. Without the disruption they do and are
// not.
func weights(p *play) error {
	s, err := p.newSite(bern(), serverOptions{cores: 2, work: 10 * time.Millisecond, room: 40})
	if err != nil {
		return err
	}
	b, err := p.broker(s, "n0")
	if err != nil {
		return err
	}
	for i, shares := range [][]float64{{0.3, 0.3, 0.2, 0.155}, {0.3, 0.3, 0.3, 0.145}, {1.045}} {
		if !p.trouble {
			shares = [][]float64{{0.3, 0.3, 0.2, 0.2}, {0.3, 0.3, 0.3, 0.1}, {1}}[i]
		}
		var parts []target
		sum := 0.0
		for j, share := range shares {
			parts = append(parts, target{Partition: 7 + j, Share: share})
			sum += share
		}
		id := fmt.Sprintf("9b1f03aa5c7e%04x", i)
		a := ask(b.listen, request(id, "tariff-report", 6*time.Second, queryBody(parts, "c41e77d0")), 7*time.Second)
		p.say("weights %v, which sum to %.3f: answered %d, whole %v, error %v", shares, sum, a.status, a.whole, a.err)
		switch {
		case p.trouble && a.status == 200:
			p.breaks("lost: a request with the weights %v, sum %.3f, was served as though it had run", shares, sum)
		case !p.trouble && a.status != 200:
			return fmt.Errorf("a good request got %d, %w", a.status, a.err)
		}
	}
	return nil
}
