// Package controlplanetest runs a cluster of control machines, which are processes of the built program on loopback, with
// configuration followers in the test process. A Network between them cuts and delays the connections from one site to
// another; tests kill, pause and restart the processes. History records what publishers, followers and machines observed, and
// checks it against the guarantees of the control plane. No production code imports this package.
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

// machineSites are the control machines: three voters in three regions, and a spare in the region of the first voter.
var machineSites = []struct{ name, region, role string }{
	{"a", "north", "voter"}, {"b", "south", "voter"}, {"c", "west", "voter"}, {"d", "north", "spare"},
}

// Regions are the regions of the control machines and of their followers.
var Regions = []string{"north", "south", "west"}

// Options configure a cluster.
type Options struct {
	Program      string        // path of the built program
	Folder       string        // for configuration files and the machines' raft logs
	PromoteAfter time.Duration // how long a voter must be lost before the spare replaces it
	Seed         uint64        // of request ids and of the followers
}

// Cluster is a set of control machines, the network between them, and configuration followers. New creates it.
type Cluster struct {
	options  Options
	Network  *Network
	Machines []*Machine

	mu            sync.Mutex // guards history and followers
	history       History
	followers     []*follower
	documentCount atomic.Uint64 // number of documents created by Publish
	padding       atomic.Int64  // number of bytes appended to each document
}

// clusterCount is the number of clusters that this process has created. Each cluster has its own loopback subnet, given by
// this count and the process id, so that several test processes can run at the same time.
var clusterCount atomic.Uint32

// New starts the control machines with new raft logs. The caller must close the cluster.
func New(options Options) (*Cluster, error) {
	c := &Cluster{options: options, Network: NewNetwork()}
	pid, subnet := os.Getpid(), clusterCount.Add(1)
	for i, site := range machineSites {
		host := fmt.Sprintf("127.%d.%d.%d", 100+pid%100, pid/100%250, 8*subnet+uint32(i))
		m := &Machine{
			cluster: c, Name: site.name, Region: site.region, role: site.role,
			Address: host + ":7950", peerAddress: host + ":7951",
			Folder: filepath.Join(options.Folder, site.name),
		}
		c.Machines = append(c.Machines, m)
		c.history.Machines = append(c.history.Machines, m.Name)
		if err := os.Mkdir(m.Folder, 0o700); err != nil {
			return nil, err
		}
	}
	for _, m := range c.Machines {
		if err := c.writeConfig(m); err != nil {
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

// writeConfig writes the configuration file of a machine. It starts the relays through which the machine reaches the others.
func (c *Cluster) writeConfig(m *Machine) error {
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

// Addresses returns the addresses of the control machines for brokers and operators.
func (c *Cluster) Addresses() (list []string) {
	for _, m := range c.Machines {
		list = append(list, m.Address)
	}
	return list
}

// Machine returns the machine with the given name. It panics if there is none.
func (c *Cluster) Machine(name string) *Machine {
	for _, m := range c.Machines {
		if m.Name == name {
			return m
		}
	}
	panic(fmt.Sprintf("controlplanetest: machine %q does not exist", name))
}

// Leader returns the machine that reports itself as the leader and was confirmed by a quorum within the last second, or nil if
// there is none.
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

// SetPadding sets the number of bytes that Publish appends to each document.
func (c *Cluster) SetPadding(bytes int64) { c.padding.Store(bytes) }

// Publish publishes a new document through one of the control machines at addresses. It records the publication in the history,
// acknowledged or not, and returns the number of the revision.
func (c *Cluster) Publish(ctx context.Context, addresses []string) (number uint64, err error) {
	n := c.documentCount.Add(1)
	document := fmt.Appendf(nil, documentFormat, 100+n%1_000_000, float64(n%900)/1000+0.1)
	document = append(document, bytes.Repeat([]byte(" "), int(c.padding.Load()))...)
	publication := Publication{Request: c.options.Seed<<32 + n, Checksum: configpb.Checksum(document), StartedAt: time.Now()}
	publication.Number, err = operatorclient.Publish(ctx, addresses,
		&configpb.PublishRequest{Document: document, Request: publication.Request})
	publication.EndedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Publications = append(c.history.Publications, publication)
	return publication.Number, err
}

// documentFormat is the format of a document. Its arguments are the open cap and the latency objective of the document's class,
// which differ between documents.
const documentFormat = `{"discovery":"127.0.0.1:1","settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,` +
	`"objectiveS":%[2]g,"semantics":"free"}],"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":%[1]d}}}`

// RecordStored fetches the revisions from 1 to newest from each machine and records them as stored.
func (c *Cluster) RecordStored(ctx context.Context, newest uint64) error {
	for _, m := range c.Machines {
		for number := uint64(1); number <= newest; number++ {
			revision, err := operatorclient.Get(ctx, []string{m.Address}, number)
			if err != nil {
				return fmt.Errorf("get revision %d from %s: %w", number, m.Name, err)
			}
			stored := StoredRevision{Machine: m.Name, Number: revision.GetNumber(), Checksum: configpb.Checksum(revision.GetDocument())}
			c.mu.Lock()
			c.history.Stored = append(c.history.Stored, stored)
			c.mu.Unlock()
		}
	}
	return nil
}

// RecordDisconnection records a period in which the followers of a region cannot reach any machine that has a quorum.
func (c *Cluster) RecordDisconnection(region string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.followers {
		if f.region == region {
			c.history.Disconnections = append(c.history.Disconnections, Disconnection{Follower: f.name, From: from, To: to})
		}
	}
}

// History returns a copy of the history recorded so far.
func (c *Cluster) History() *History {
	c.mu.Lock()
	defer c.mu.Unlock()
	history := c.history
	history.Publications = append([]Publication(nil), history.Publications...)
	history.Applied = append([]AppliedRevision(nil), history.Applied...)
	return &history
}

// SetRegionCut cuts a region's machines and followers off from all other regions, or connects them again.
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
	for _, insideSite := range inside {
		for _, outsideSite := range outside {
			c.Network.SetFault(insideSite, outsideSite, fault)
			c.Network.SetFault(outsideSite, insideSite, fault)
		}
	}
}
