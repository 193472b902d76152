// Command second plays the cases of the second review against brokers that run as processes: second CASE FOLDER. It writes
// record.txt into FOLDER and exits with 1 if the case's rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out. It runs in the root of the repository.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// play is one run of a case.
type play struct {
	trouble bool
	folder  string // of what the broker writes; it is removed at the end
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	broken []string // how the rule was broken
	ends   []func()
}

// cases are the cases by name. An error says that the case could not run.
var cases = map[string]func(*play) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit status.
func run(name, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temporary, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, start: time.Now(), record: bufio.NewWriter(out)}
	time.AfterFunc(115*time.Second, func() { // every case ends within 120 s
		fmt.Fprintln(os.Stderr, "the case did not end in time")
		p.end()
		os.Exit(2)
	})
	p.say("case %s, disruption %v", name, p.trouble)
	err = cases[name](p)
	status := 0
	switch {
	case err != nil:
		p.say("could not run: %v", err)
		status = 2
	case len(p.broken) > 0:
		p.say("broken: %d times", len(p.broken))
		status = 1
	default:
		p.say("held")
	}
	p.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.record.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return status
}

// end ends what the case has started, the latest first.
func (p *play) end() {
	p.mu.Lock()
	ends := p.ends
	p.ends = nil
	p.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.folder) // a folder that stays in the system's temporary folder does no harm
	}
}

// onEnd has f called at the end.
func (p *play) onEnd(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, f)
}

// say writes a line into the record.
func (p *play) say(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = p.record.WriteString(line) // an error stays until Flush, which returns it
}

// breaks records how the rule was broken.
func (p *play) breaks(format string, args ...any) {
	p.say("BROKEN "+format, args...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
	if len(p.broken) == 1 {
		fmt.Printf(format+"\n", args...)
	}
}

// sinceStart returns a time as seconds since the start of the case.
func (p *play) sinceStart(t time.Time) float64 { return t.Sub(p.start).Seconds() }

// arrivals collects what record servers are sent.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) note(one arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, one)
}

// list returns what has arrived so far.
func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.all...)
}

// site is a deployment of stand-ins with one broker's configuration.
type site struct {
	d         deployment
	servers   []*recordServer
	arrivals  *arrivals
	discovery *discovery
	known     list
}

// newSite starts a record server for each cell, and a discovery.
func (p *play) newSite(d deployment, options serverOptions) (*site, error) {
	s := &site{d: d, arrivals: &arrivals{}}
	for i := range d.cells {
		server, err := startServer(fmt.Sprintf("s-%08x", i+1), i, options, s.arrivals.note)
		if err != nil {
			return nil, err
		}
		p.onEnd(server.close)
		s.servers = append(s.servers, server)
		s.known.Servers = append(s.known.Servers, entryOf(server, "active"))
	}
	s.known.Version = 1
	var err error
	s.discovery, err = startDiscovery(s.known, "")
	if err != nil {
		return nil, err
	}
	p.onEnd(s.discovery.close)
	return s, nil
}

// broker starts a broker at a free address and waits until it is ready.
func (p *play) broker(s *site, name string, flags ...string) (*brokerProcess, error) {
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	b, err := startBroker(p.folder, name, listen, "", s.d, s.known, s.discovery.addr(), nil, flags...)
	if err != nil {
		return nil, err
	}
	p.onEnd(b.stop)
	return b, b.ready()
}
