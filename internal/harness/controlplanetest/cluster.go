// Package controlplanetest runs a cluster of control machines, which are processes of the built program on loopback,
// with followers in the test process. A Network between them cuts and delays directed pairs of sites; tests kill, pause
// and restart the processes. History records what publishers, followers and machines saw and checks the promises of the
// control plane on it. No production code imports it.
package controlplanetest

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/operatorclient"
)

// machineSites are the machines: three voters in three regions, and a spare in the region of the first.
var machineSites = []struct{ name, region, role string }{
	{"a", "north", "voter"}, {"b", "south", "voter"}, {"c", "west", "voter"}, {"d", "north", "spare"},
}

// Regions are those of the machines.
var Regions = []string{"north", "south", "west"}

// Options configure a cluster.
type Options struct {
	Program      string        // path of the built program
	Folder       string        // for configuration files and the machines' replicated logs
	PromoteAfter time.Duration // how long a voter is lost before the spare replaces it
	Seed         uint64        // of request ids and of the followers
}

// Cluster is a set of control machines, the network between them, and followers. New creates it.
type Cluster struct {
	options  Options
	Network  *Network
	Machines []*Machine

	mu        sync.Mutex // guards what follows
	history   History
	followers []*follower
	documents atomic.Uint64
	padding   atomic.Int64
}

// subnets counts the clusters of this process. Each has a loopback subnet of its own, which also depends on the process
// id, so that test processes can run side by side.
var subnets atomic.Uint32

// New starts the machines with new logs. The caller has to close the cluster.
func New(options Options) (*Cluster, error) {
	c := &Cluster{options: options, Network: NewNetwork()}
	process, subnet := os.Getpid(), subnets.Add(1)
	for i, place := range machineSites {
		host := fmt.Sprintf("127.%d.%d.%d", 100+process%100, process/100%250, 8*subnet+uint32(i))
		m := &Machine{
			cluster: c, Name: place.name, Region: place.region, role: place.role,
			Address: host + ":7950", peerAddress: host + ":7951",
			Folder: filepath.Join(options.Folder, place.name),
		}
		c.Machines = append(c.Machines, m)
		c.history.Machines = append(c.history.Machines, m.Name)
		if err := os.Mkdir(m.Folder, 0o700); err != nil {
			return nil, err
		}
	}
	for _, m := range c.Machines {
		if err := c.writeFile(m); err != nil {
			c.Close()
			return nil, err
		}
	}
	for _, m := range c.Machines {
		if err := m.Start("--create"); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// writeFile writes the configuration file of one machine, which reaches the others through relays of its own.
func (c *Cluster) writeFile(m *Machine) error {
	var text strings.Builder
	fmt.Fprintf(&text, "fleet = \"test\"\nname = %q\nlisten = %q\nlisten_peers = %q\nfolder = %q\npromote_after_s = %f\n",
		m.Name, m.Address, m.peerAddress, m.Folder, c.options.PromoteAfter.Seconds())
	for i, other := range c.Machines {
		address := other.peerAddress
		if other != m {
			var err error
			if address, err = c.Network.Relay(m.Name, other.Name, other.peerAddress); err != nil {
				return err
			}
		}
		fmt.Fprintf(&text, "\n[[members]]\nname = %q\nid = %d\naddress = %q\npeer_address = %q\nregion = %q\nrole = %q\n",
			other.Name, i+1, other.Address, address, other.Region, other.role)
	}
	return os.WriteFile(m.configPath(), []byte(text.String()), 0o600)
}

// Close stops the followers, kills the processes and closes the network.
func (c *Cluster) Close() {
	c.stopFollowers()
	for _, m := range c.Machines {
		m.Kill()
	}
	c.Network.Close()
}

// Addresses returns the addresses at which operators reach the machines.
func (c *Cluster) Addresses() (list []string) {
	for _, m := range c.Machines {
		list = append(list, m.Address)
	}
	return list
}

// Machine returns a machine by its name. It panics if there is none.
func (c *Cluster) Machine(name string) *Machine {
	for _, m := range c.Machines {
		if m.Name == name {
			return m
		}
	}
	panic("controlplanetest: there is no machine " + name)
}

// Leader returns the machine that reports itself as the leader, confirmed by a quorum within the last second, or nil.
func (c *Cluster) Leader(ctx context.Context) *Machine {
	for _, m := range c.Machines {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		status, err := operatorclient.Status(ctx, m.Address)
		cancel()
		if err == nil && status.GetLeader() == m.Name && status.GetConfirmedMs() < 1000 {
			return m
		}
	}
	return nil
}

// SetPadding makes each later document larger by a number of bytes.
func (c *Cluster) SetPadding(bytes int64) { c.padding.Store(bytes) }

// Publish publishes a new document at any of the addresses and records the publication, acknowledged or not.
func (c *Cluster) Publish(ctx context.Context, addresses []string) (number uint64, err error) {
	n := c.documents.Add(1)
	document := fmt.Appendf(nil, documentFormat, 100+n%1_000_000, float64(n%900)/1000+0.1)
	document = append(document, bytes.Repeat([]byte(" "), int(c.padding.Load()))...)
	p := Publication{Request: c.options.Seed<<32 + n, Checksum: configpb.Checksum(document), StartedAt: time.Now()}
	p.Number, err = operatorclient.Publish(ctx, addresses,
		&configpb.PublishRequest{Document: document, Request: p.Request})
	p.EndedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Publications = append(c.history.Publications, p)
	return p.Number, err
}

// documentFormat is a document without its open cap and the latency objective of its class, which differ between
// documents.
const documentFormat = `{"discovery":"127.0.0.1:1","settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,` +
	`"objectiveS":%[2]g,"semantics":"free"}],"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":%[1]d}}}`

// RecordStored records the revisions that each machine has stored, from 1 to the newest.
func (c *Cluster) RecordStored(ctx context.Context, newest uint64) error {
	for _, m := range c.Machines {
		for number := uint64(1); number <= newest; number++ {
			got, err := operatorclient.Get(ctx, []string{m.Address}, number)
			if err != nil {
				return fmt.Errorf("%s, revision %d: %w", m.Name, number, err)
			}
			stored := Stored{Machine: m.Name, Number: got.GetNumber(), Checksum: configpb.Checksum(got.GetDocument())}
			c.mu.Lock()
			c.history.Stored = append(c.history.Stored, stored)
			c.mu.Unlock()
		}
	}
	return nil
}

// RecordDisconnection records a time in which the followers of a region can reach no machine that has a quorum.
func (c *Cluster) RecordDisconnection(region string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.followers {
		if f.region == region {
			c.history.Disconnections = append(c.history.Disconnections, Disconnection{Follower: f.name, From: from, To: to})
		}
	}
}

// History returns a copy of what was recorded so far.
func (c *Cluster) History() *History {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.history
	h.Publications = append([]Publication(nil), h.Publications...)
	h.Applied = append([]Applied(nil), h.Applied...)
	return &h
}

// SetRegionCut cuts a region's machines and followers off from all others, or connects them again.
func (c *Cluster) SetRegionCut(region string, cut bool) {
	fault := Fault{Cut: cut}
	var inside, outside []string
	for _, m := range c.Machines {
		if m.Region == region {
			inside = append(inside, m.Name)
		} else {
			outside = append(outside, m.Name)
		}
	}
	for _, other := range Regions {
		if other == region {
			inside = append(inside, other)
		} else {
			outside = append(outside, other)
		}
	}
	for _, a := range inside {
		for _, b := range outside {
			c.Network.SetFault(a, b, fault)
			c.Network.SetFault(b, a, fault)
		}
	}
}
