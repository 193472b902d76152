// Package processtest starts several processes of the built program on loopback and stands between them: for each directed pair
// it drops, doubles, delays, reorders and cuts what they tell each other, by a seeded script. It stops and continues, kills
// and restarts processes, and reads what each says of its fleet. It is no part of the broker.
package processtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/harness/process"
)

// Faults are what happens to datagrams from one process to another.
type Faults struct {
	Lose, Double float64
	Delay        time.Duration // at most; drawn for each, so that they overtake each other
	Cut          bool
}

// View is what a process last said of its fleet.
type View struct {
	Alive, Known, Sharing int
	Fenced                bool
}

// Options shape a fleet.
type Options struct {
	Program string // the built program
	Folder  string // for configurations and logs
	Brokers int
	Seed    uint64 // also of the addresses: fleets that run side by side have different ones, modulo 256
	// Config is the platform's configuration of a broker, with its name and the addresses it listens at.
	Config func(name, listen, control string) string
	Flags  []string // more of them, the same for all
}

// Fleet is the processes with what stands between them. Make it with New.
type Fleet struct {
	opt     Options
	Brokers []*Broker

	mu     sync.Mutex // guards what follows
	rng    *rand.Rand
	faults map[[2]int]Faults
	all    Faults
	timers sync.WaitGroup
	closed bool
}

// Broker is one broker: its name and addresses, whichever process runs under them.
type Broker struct {
	f       *Fleet
	Index   int
	Name    string
	Listen  string // for clients
	Control string // for operators
	real    netip.AddrPort
	proxy   *net.UDPConn // others reach it here
	outside netip.AddrPort
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   <-chan struct{}
	view    View
	removed []string // names of those that it took for lost
	sent    int
	lines   []string
}

// New starts a fleet of brokers.
func New(opt Options) (*Fleet, error) {
	f := &Fleet{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0x9b05688c2b3e6c1f)), faults: map[[2]int]Faults{}}
	for i := range opt.Brokers {
		b := &Broker{f: f, Index: i, Name: fmt.Sprint("n", i)}
		inside := fmt.Sprintf("127.77.%d.%d", opt.Seed%256, i+1)
		b.real = netip.MustParseAddrPort(inside + ":7946")
		b.Listen, b.Control = inside+":8080", inside+":8081"
		b.outside = netip.MustParseAddrPort(fmt.Sprintf("127.78.%d.%d:7946", opt.Seed%256, i+1))
		var err error
		if b.proxy, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(b.outside)); err != nil {
			f.Close()
			return nil, err
		}
		f.Brokers = append(f.Brokers, b)
	}
	for _, b := range f.Brokers {
		go b.relay()
	}
	for _, b := range f.Brokers {
		if err := b.Start(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close ends all processes.
func (f *Fleet) Close() {
	for _, b := range f.Brokers {
		b.Kill()
	}
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.timers.Wait()
	for _, b := range f.Brokers {
		b.proxy.Close()
	}
}

// Between sets what happens from one broker to another.
func (f *Fleet) Between(from, to int, x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[[2]int{from, to}] = x
}

// Everywhere sets what happens between all that Between says nothing of, and forgets what it said.
func (f *Fleet) Everywhere(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = x
	clear(f.faults)
}

// relay carries what comes for a broker, with the faults of its sender's path. It goes on from the sender's own outside
// address, so that an answer comes this way too.
func (b *Broker) relay() {
	buf := make([]byte, 2048)
	for {
		n, from, err := b.proxy.ReadFromUDPAddrPort(buf)
		if err != nil {
			if n == 0 && strings.Contains(err.Error(), "closed") {
				return
			}
			continue
		}
		for _, s := range b.f.Brokers {
			if s.real == from {
				s.count(n)
				b.f.carry(s, b, append([]byte(nil), buf[:n]...))
			}
		}
	}
}

// count books what a process sends, with IP and UDP.
func (b *Broker) count(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent += n + plane.Overhead
}

// Sent is how many bytes all processes of a broker have sent.
func (b *Broker) Sent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent
}

func (f *Fleet) carry(from, to *Broker, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.faults[[2]int{from.Index, to.Index}]
	if !ok {
		x = f.all
	}
	if x.Cut || f.closed || f.rng.Float64() < x.Lose {
		return
	}
	copies := 1
	if f.rng.Float64() < x.Double {
		copies = 2
	}
	for range copies {
		send := func() { from.proxy.WriteToUDPAddrPort(data, to.real) }
		if x.Delay <= 0 {
			send()
			continue
		}
		f.timers.Add(1)
		time.AfterFunc(time.Duration(f.rng.Int64N(int64(x.Delay))), func() {
			defer f.timers.Done()
			send()
		})
	}
}

const fleetName = "rig"

// Start starts a process of the broker.
func (b *Broker) Start() error {
	seeds := []string{}
	for _, s := range b.f.Brokers[:min(3, len(b.f.Brokers))] {
		seeds = append(seeds, strconv.Quote(s.outside.String()))
	}
	conf := filepath.Join(b.f.opt.Folder, b.Name+".json")
	peers := filepath.Join(b.f.opt.Folder, b.Name+".toml")
	for path, text := range map[string]string{
		conf: b.f.opt.Config(b.Name, b.Listen, b.Control),
		peers: fmt.Sprintf("fleet = %q\nname = %q\nlisten = %q\nadvertise = %q\nseeds = [%s]\n",
			fleetName, b.Name, b.real, b.outside, strings.Join(seeds, ", ")),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	cmd := exec.Command(b.f.opt.Program, append([]string{"-fleet", peers}, b.f.opt.Flags...)...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+conf)
	b.mu.Lock()
	b.view = View{}
	b.mu.Unlock()
	ended, err := process.Start(cmd, b.read, func(error) {}) // brokers are killed: how they exit tells nothing
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cmd, b.ended = cmd, ended
	return nil
}

var (
	viewLine   = regexp.MustCompile(`msg="fleet size changed" .*alive=(\d+) known=(\d+) sharing=(\d+) fenced=(\w+)`)
	memberLine = regexp.MustCompile(`msg="fleet member changed" .*member=(\S+) .*is=lost`)
)

// maxLines is how many of its lines are kept, for a test that fails.
const maxLines = 200

func (b *Broker) read(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lines = append(b.lines, line); len(b.lines) > maxLines {
		b.lines = b.lines[1:]
	}
	if m := viewLine.FindStringSubmatch(line); m != nil {
		b.view = View{number(m[1]), number(m[2]), number(m[3]), m[4] == "true"}
	}
	if m := memberLine.FindStringSubmatch(line); m != nil {
		b.removed = append(b.removed, m[1])
	}
}

func number(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// View is what the broker's process last said of its fleet.
func (b *Broker) View() View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// Removed are those that the broker took for lost, in order, since Forget.
func (b *Broker) Removed() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.removed...)
}

// Forget forgets what Removed tells.
func (f *Fleet) Forget() {
	for _, b := range f.Brokers {
		b.mu.Lock()
		b.removed = nil
		b.mu.Unlock()
	}
}

// Log is the latest lines of the broker.
func (b *Broker) Log() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines, "\n")
}

func (b *Broker) process() (*exec.Cmd, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cmd, b.ended
}

func (b *Broker) signal(s syscall.Signal) {
	if cmd, _ := b.process(); cmd != nil {
		cmd.Process.Signal(s)
	}
}

// Pause stops the process until Continue.
func (b *Broker) Pause() { b.signal(syscall.SIGSTOP) }

// Continue lets it go on.
func (b *Broker) Continue() { b.signal(syscall.SIGCONT) }

// Kill kills the process, and returns once it is gone.
func (b *Broker) Kill() {
	b.signal(syscall.SIGKILL)
	if _, ended := b.process(); ended != nil {
		<-ended
	}
}

// End asks the process to end, and returns once it has.
func (b *Broker) End() {
	b.signal(syscall.SIGTERM)
	if _, ended := b.process(); ended != nil {
		<-ended
	}
}
