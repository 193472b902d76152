package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["badrequest"] = badRequest }

// badRequests are requests of bad clients, each of which is owed an error or a close: the shard is missing, or the text cannot be
// read.
var badRequests = []struct{ what, body string }{
	{"a part that names no shard", `{"targets":[{"partition":7,"share":0.5},{"share":0.5}],"query":"c41e77d0"}`},
	{"a part whose shard is null", `{"targets":[{"partition":7,"share":0.5},{"partition":null,"share":0.5}],"query":"c41e77d0"}`},
	{"a body that is not UTF-8", "{\"targets\":[{\"partition\":7,\"share\":1}],\"query\":\"c41e\xff77d0\"}"},
}

// goodRequests are sent without the disruption.
var goodRequests = []struct{ what, body string }{
	{"two parts", `{"targets":[{"partition":7,"share":0.5},{"partition":8,"share":0.5}],"query":"c41e77d0"}`},
	{"one part", `{"targets":[{"partition":7,"share":1}],"query":"c41e77d0"}`},
}

// badRequest sends requests of charge-post that cannot be read, one after another, beside a good one.
func badRequest(p *play) error {
	s, err := p.newSite(bern(), serverOptions{cores: 2, work: 10 * time.Millisecond, room: 40})
	if err != nil {
		return err
	}
	b, err := p.broker(s, "n0")
	if err != nil {
		return err
	}
	requests := goodRequests
	if p.trouble {
		requests = badRequests
	}
	for i, one := range requests {
		id := fmt.Sprintf("9b1f03aa5c7e%04x", i)
		sentAt := time.Now()
		a := ask(b.listen, request(id, "charge-post", 4*time.Second, []byte(one.body)), 5*time.Second)
		p.say("%s: sent %q", one.what, one.body)
		p.say("   answered %d after %.3f s, results %v, error %v", a.status, time.Since(sentAt).Seconds(), a.results, a.err)
		for _, part := range s.arrivals.list() {
			if !strings.HasPrefix(part.id, id) {
				continue
			}
			p.say("   %s was sent part %s, shard %d, text %q", part.server, part.id, part.shard, part.text)
			asked := strings.Contains(one.body, fmt.Sprintf(`"partition":%d,`, part.shard)) &&
				strings.Contains(one.body, fmt.Sprintf(`"query":"%s"`, part.text))
			if !asked {
				p.breaks("%s: %s was sent shard %d with the text %q, which no client asked for", one.what, part.server, part.shard,
					part.text)
			}
		}
		switch {
		case p.trouble && a.status == 200:
			p.breaks("lost: %s: served as though the request had run", one.what)
		case !p.trouble && a.status != 200:
			return fmt.Errorf("a good request got %d, %w", a.status, a.err)
		}
	}
	return nil
}
