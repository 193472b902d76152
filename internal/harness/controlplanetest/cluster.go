// Package controlplanetest starts control machines, processes of the built program on loopback, with followers in the test
// process. A Network stands between them and cuts and delays directed pairs; processes are killed, stopped and
// continued. Checkers read what publishers, followers and machines saw. It is no part of the program.
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

// Places of the machines: three voters in three regions, and a spare beside the first.
var places = []struct{ name, region, role string }{
	{"a", "north", "voter"}, {"b", "south", "voter"}, {"c", "west", "voter"}, {"d", "north", "spare"},
}

// Regions are those of the machines.
var Regions = []string{"north", "south", "west"}

// Options shape a rig.
type Options struct {
	Program      string        // the built program
	Folder       string        // for files, logs and the machines' logs
	PromoteAfter time.Duration // as in the file of a control machine
	Seed         uint64
}

// Rig is control machines with what stands between them, and followers. Make it with New.
type Rig struct {
	options  Options
	Network  *Network
	Machines []*Machine

	mu        sync.Mutex // guards what follows
	history   History
	followers []*follower
	documents atomic.Uint64
	padding   atomic.Int64
}

// subnets counts the rigs of this process: each has a loopback network of its own, and so have processes side by side.
var subnets atomic.Uint32

// New starts the machines with new logs.
func New(options Options) (*Rig, error) {
	r := &Rig{options: options, Network: NewNetwork()}
	process, subnet := os.Getpid(), subnets.Add(1)
	for i, place := range places {
		host := fmt.Sprintf("127.%d.%d.%d", 100+process%100, process/100%250, 8*subnet+uint32(i))
		m := &Machine{
			rig: r, Name: place.name, Region: place.region, role: place.role,
			Address: host + ":7950", peerAddress: host + ":7951",
			Folder: filepath.Join(options.Folder, place.name),
		}
		r.Machines = append(r.Machines, m)
		r.history.Machines = append(r.history.Machines, m.Name)
		if err := os.Mkdir(m.Folder, 0o700); err != nil {
			return nil, err
		}
	}
	for _, m := range r.Machines {
		if err := r.writeFile(m); err != nil {
			r.Close()
			return nil, err
		}
	}
	for _, m := range r.Machines {
		if err := m.Start("--create"); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// writeFile writes the file of one machine: it reaches the others through relays of its own.
func (r *Rig) writeFile(m *Machine) error {
	var text strings.Builder
	fmt.Fprintf(&text, "fleet = \"rig\"\nname = %q\nlisten = %q\nlisten_peers = %q\nfolder = %q\npromote_after_s = %f\n",
		m.Name, m.Address, m.peerAddress, m.Folder, r.options.PromoteAfter.Seconds())
	for i, other := range r.Machines {
		address := other.peerAddress
		if other != m {
			var err error
			if address, err = r.Network.Relay(m.Name, other.Name, other.peerAddress); err != nil {
				return err
			}
		}
		fmt.Fprintf(&text, "\n[[members]]\nname = %q\nid = %d\naddress = %q\npeer_address = %q\nregion = %q\nrole = %q\n",
			other.Name, i+1, other.Address, address, other.Region, other.role)
	}
	return os.WriteFile(m.file(), []byte(text.String()), 0o600)
}

// Close ends followers, processes and relays.
func (r *Rig) Close() {
	r.endFollowers()
	for _, m := range r.Machines {
		m.Kill()
	}
	r.Network.Close()
}

// Addresses are those at which operators reach the machines.
func (r *Rig) Addresses() (list []string) {
	for _, m := range r.Machines {
		list = append(list, m.Address)
	}
	return list
}

// Machine returns a machine by its name.
func (r *Rig) Machine(name string) *Machine {
	for _, m := range r.Machines {
		if m.Name == name {
			return m
		}
	}
	panic("controlrig: there is no machine " + name)
}

// Leader returns the machine that calls itself the leader and that a quorum confirmed within the last second, or nil.
func (r *Rig) Leader(ctx context.Context) *Machine {
	for _, m := range r.Machines {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		status, err := operatorclient.Status(ctx, m.Address)
		cancel()
		if err == nil && status.GetLeader() == m.Name && status.GetConfirmedMs() < 1000 {
			return m
		}
	}
	return nil
}

// Pad makes the documents to come so many bytes larger.
func (r *Rig) Pad(bytes int64) { r.padding.Store(bytes) }

// Publish publishes a new document at any of the addresses, and books it.
func (r *Rig) Publish(ctx context.Context, addresses []string) (number uint64, err error) {
	n := r.documents.Add(1)
	document := fmt.Appendf(nil, documentForm, 100+n%1_000_000, float64(n%900)/1000+0.1)
	document = append(document, bytes.Repeat([]byte(" "), int(r.padding.Load()))...)
	p := Publication{Request: r.options.Seed<<32 + n, Checksum: configpb.Checksum(document), Began: time.Now()}
	p.Number, err = operatorclient.Publish(ctx, addresses,
		&configpb.PublishRequest{Document: document, Request: p.Request})
	p.Ended = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Publications = append(r.history.Publications, p)
	return p.Number, err
}

// documentForm is a document but for its open cap and the aim of its class, which tell it from others.
const documentForm = `{"discovery":"127.0.0.1:1","settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,` +
	`"objectiveS":%[2]g,"semantics":"free"}],"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":%[1]d}}}`

// Read books the revisions that each machine holds, from 1 to the newest.
func (r *Rig) Read(ctx context.Context, newest uint64) error {
	for _, m := range r.Machines {
		for number := uint64(1); number <= newest; number++ {
			got, err := operatorclient.Get(ctx, []string{m.Address}, number)
			if err != nil {
				return fmt.Errorf("%s, revision %d: %w", m.Name, number, err)
			}
			held := Held{Machine: m.Name, Number: got.GetNumber(), Checksum: configpb.Checksum(got.GetDocument())}
			r.mu.Lock()
			r.history.Held = append(r.history.Held, held)
			r.mu.Unlock()
		}
	}
	return nil
}

// Excuse books a time in which the followers of a region can reach no machine that a quorum reaches.
func (r *Rig) Excuse(region string, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.followers {
		if f.region == region {
			r.history.Excuses = append(r.history.Excuses, Excuse{Follower: f.name, From: from, To: to})
		}
	}
}

// History returns what was booked so far.
func (r *Rig) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Publications = append([]Publication(nil), h.Publications...)
	h.Applied = append([]Applied(nil), h.Applied...)
	return &h
}

// CutRegion cuts a region's machines and followers off from all others, or mends that.
func (r *Rig) CutRegion(region string, cut bool) {
	fault := Fault{Cut: cut}
	var inside, outside []string
	for _, m := range r.Machines {
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
			r.Network.Set(a, b, fault)
			r.Network.Set(b, a, fault)
		}
	}
}
