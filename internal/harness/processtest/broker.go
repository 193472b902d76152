package processtest

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/harness/process"
)

// Broker is one broker of the fleet: its name and addresses, and the process that runs under them.
type Broker struct {
	process.Process
	Index   int
	Name    string
	Listen  string // address for clients
	Control string // address for operators

	fleet        *Fleet
	address      netip.AddrPort // of its membership socket
	proxyAddress netip.AddrPort // at which the others reach it
	proxy        *net.UDPConn

	mu        sync.Mutex // guards what follows
	view      View
	removed   []string
	sentBytes int
}

// View is the fleet as a broker's process has logged it last.
type View struct {
	Alive   int // brokers
	Known   int // brokers, lost ones included
	Sharing int // brokers that share budgets
	Fenced  bool
}

// Start writes the broker's files and starts its process.
func (b *Broker) Start() error {
	options := b.fleet.options
	configPath := filepath.Join(options.Folder, b.Name+".json")
	fleetPath := filepath.Join(options.Folder, b.Name+".toml")
	if err := os.WriteFile(configPath, []byte(options.Config(b.Name, b.Listen, b.Control)), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(fleetPath, b.fleetFile(), 0o600); err != nil {
		return err
	}
	b.mu.Lock()
	b.view = View{}
	b.mu.Unlock()
	cmd := exec.Command(options.Program, append([]string{"-fleet", fleetPath}, options.Flags...)...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+configPath)
	return b.Run(cmd)
}

// fleetFile returns the text of the operator file for -fleet.
func (b *Broker) fleetFile() []byte {
	var seeds []string
	for _, s := range b.fleet.Brokers[:min(seedCount, len(b.fleet.Brokers))] {
		seeds = append(seeds, strconv.Quote(s.proxyAddress.String()))
	}
	return fmt.Appendf(nil, "fleet = %q\nname = %q\nlisten = %q\nadvertise = %q\nseeds = [%s]\n",
		fleetName, b.Name, b.address, b.proxyAddress, strings.Join(seeds, ", "))
}

var (
	fleetSizeLine  = regexp.MustCompile(`msg="fleet size changed" .*alive=(\d+) known=(\d+) sharing=(\d+) fenced=(\w+)`)
	memberLostLine = regexp.MustCompile(`msg="fleet member changed" .*member=(\S+) .*is=lost`)
)

// readLine reads the process's view of the fleet from a line of its log.
func (b *Broker) readLine(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := fleetSizeLine.FindStringSubmatch(line); m != nil {
		b.view = View{Alive: parseInt(m[1]), Known: parseInt(m[2]), Sharing: parseInt(m[3]), Fenced: m[4] == "true"}
	}
	if m := memberLostLine.FindStringSubmatch(line); m != nil {
		b.removed = append(b.removed, m[1])
	}
}

// parseInt parses digits that a pattern has matched.
func parseInt(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// View returns the fleet as the broker's process has logged it last.
func (b *Broker) View() View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// Removed returns the names of the brokers that this one has marked as lost since ResetRemoved, in order.
func (b *Broker) Removed() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.removed...)
}

func (b *Broker) resetRemoved() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removed = nil
}

// recordSent records a datagram of n bytes that the process has sent.
func (b *Broker) recordSent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentBytes += n + plane.Overhead
}

// SentBytes returns how many bytes all processes of the broker have sent, IP and UDP headers included.
func (b *Broker) SentBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sentBytes
}
