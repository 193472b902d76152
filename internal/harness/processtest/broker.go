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

// Broker is one broker of the fleet: its name, its addresses and the process that runs with them.
type Broker struct {
	process.Process
	Index   int // in Fleet.Brokers
	Name    string
	Listen  string // address for clients
	Control string // address for operators

	fleet        *Fleet
	address      netip.AddrPort // of the process's membership socket
	proxyAddress netip.AddrPort // address that the broker advertises to the others
	proxy        *net.UDPConn   // listens at proxyAddress

	mu          sync.Mutex // guards the fields below
	view        View
	lostMembers []string // names of the brokers that this one has marked as lost, in order
	sentBytes   int
}

// View is a broker's view of the fleet, as last logged by the broker's process.
type View struct {
	Alive   int  // number of brokers that are alive
	Known   int  // number of brokers, lost ones included
	Sharing int  // number of brokers that share the fleet's budgets
	Fenced  bool // the broker must not use any share of the shared budgets
}

// Start writes the broker's configuration files and starts its process.
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

// fleetFile returns the content of the file for the flag -fleet.
func (b *Broker) fleetFile() []byte {
	var seeds []string
	for _, seed := range b.fleet.Brokers[:min(seedCount, len(b.fleet.Brokers))] {
		seeds = append(seeds, strconv.Quote(seed.proxyAddress.String()))
	}
	return fmt.Appendf(nil, "fleet = %q\nname = %q\nlisten = %q\nadvertise = %q\nseeds = [%s]\n",
		fleetName, b.Name, b.address, b.proxyAddress, strings.Join(seeds, ", "))
}

// Patterns of the log lines that readLogLine parses.
var (
	fleetSizeLine  = regexp.MustCompile(`msg="fleet size changed" .*alive=(\d+) known=(\d+) sharing=(\d+) fenced=(\w+)`)
	memberLostLine = regexp.MustCompile(`msg="fleet member changed" .*member=(\S+) .*is=lost`)
)

// readLogLine updates the view and the list of lost members from a line of the process's log.
func (b *Broker) readLogLine(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := fleetSizeLine.FindStringSubmatch(line); m != nil {
		b.view = View{Alive: parseInt(m[1]), Known: parseInt(m[2]), Sharing: parseInt(m[3]), Fenced: m[4] == "true"}
	}
	if m := memberLostLine.FindStringSubmatch(line); m != nil {
		b.lostMembers = append(b.lostMembers, m[1])
	}
}

// parseInt parses the digits of a pattern's match.
func parseInt(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// View returns the broker's view of the fleet, as last logged by the broker's process.
func (b *Broker) View() View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// LostMembers returns the names of the brokers that this one has marked as lost since ResetLostMembers, in order.
func (b *Broker) LostMembers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.lostMembers...)
}

// resetLostMembers empties the list that LostMembers returns.
func (b *Broker) resetLostMembers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostMembers = nil
}

// recordSent records a datagram of n bytes that the process has sent.
func (b *Broker) recordSent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentBytes += n + plane.Overhead
}

// SentBytes returns the number of bytes that all processes of the broker have sent in membership datagrams, including IP and
// UDP headers.
func (b *Broker) SentBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sentBytes
}
