package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"mothrouter/internal/cluster/plane"
)

// ControlMachine is the file of a control machine.
type ControlMachine struct {
	Fleet        string         // its fingerprint marks what members send each other
	Name         string         // this machine's, among the members
	Listen       netip.AddrPort // for brokers and operators
	ListenPeers  netip.AddrPort // for the other members
	Folder       string         // of its log
	PromoteAfter time.Duration  // silence of a voter after which the spare takes its place
	Members      []ControlMember
}

// ControlMember is one of the control machines of a fleet.
type ControlMember struct {
	Name        string
	ID          uint64         // in the replicated log, from 1
	Address     netip.AddrPort // where brokers and operators reach it
	PeerAddress netip.AddrPort // where the other members reach it
	Region      string
	Voter       bool // false: the spare
}

// Self returns the member that this machine is.
func (c *ControlMachine) Self() ControlMember {
	for _, m := range c.Members {
		if m.Name == c.Name {
			return m
		}
	}
	panic("config: a control machine that is no member") // LoadControl refuses such a file
}

const (
	minPromoteAfter     = 5.0 // seconds: ten elections
	maxPromoteAfter     = 86400.0
	defaultPromoteAfter = 60.0
	maxVoters           = 7 // of any replicated log that is of use
)

// controlFile is the file as written.
type controlFile struct {
	Fleet        string              `toml:"fleet"`
	Name         string              `toml:"name"`
	Listen       string              `toml:"listen"`
	ListenPeers  string              `toml:"listen_peers"`
	Folder       string              `toml:"folder"`
	PromoteAfter float64             `toml:"promote_after_s"`
	Members      []controlFileMember `toml:"members"`
}

type controlFileMember struct {
	Name        string `toml:"name"`
	ID          uint64 `toml:"id"`
	Address     string `toml:"address"`
	PeerAddress string `toml:"peer_address"`
	Region      string `toml:"region"`
	Role        string `toml:"role"`
}

// LoadControlMachine reads the file of a control machine. Its errors name the faulty key.
func LoadControlMachine(path string) (*ControlMachine, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError("control", "%v", err)
	}
	f := controlFile{PromoteAfter: defaultPromoteAfter}
	md, err := toml.Decode(string(text), &f)
	if err != nil {
		return nil, keyError("control", "%s: %v", path, err)
	}
	if odd := md.Undecoded(); len(odd) > 0 {
		return nil, keyError("control."+odd[0].String(), "is not known")
	}
	if f.Fleet == "" {
		return nil, keyError("control.fleet", "is missing")
	}
	if f.Folder == "" {
		return nil, keyError("control.folder", "is missing")
	}
	if !(f.PromoteAfter >= minPromoteAfter && f.PromoteAfter <= maxPromoteAfter) {
		return nil, keyError("control.promote_after_s", "%g is outside %g to %g", f.PromoteAfter, minPromoteAfter,
			maxPromoteAfter)
	}
	out := &ControlMachine{Fleet: f.Fleet, Name: f.Name, Folder: f.Folder,
		PromoteAfter: time.Duration(f.PromoteAfter * float64(time.Second))}
	if out.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, keyError("control.listen", "%v", err)
	}
	if out.ListenPeers, err = netip.ParseAddrPort(f.ListenPeers); err != nil {
		return nil, keyError("control.listen_peers", "%v", err)
	}
	if out.ListenPeers == out.Listen {
		return nil, keyError("control.listen_peers", "%v is control.listen", out.ListenPeers)
	}
	if out.Members, err = parseControlMembers(f.Members); err != nil {
		return nil, err
	}
	for _, m := range out.Members {
		if m.Name == out.Name {
			return out, nil
		}
	}
	return nil, keyError("control.name", "%q is not among control.members", out.Name)
}

// parseControlMembers checks each member alone, then all together.
func parseControlMembers(rows []controlFileMember) ([]ControlMember, error) {
	if len(rows) == 0 {
		return nil, keyError("control.members", "is missing")
	}
	var members []ControlMember
	voters, spares := 0, 0
	for i, row := range rows {
		key := fmt.Sprintf("control.members[%d]", i)
		m, err := parseControlMember(key, row)
		if err != nil {
			return nil, err
		}
		for _, other := range members {
			switch {
			case other.Name == m.Name:
				return nil, keyError(key+".name", "%q is there twice", m.Name)
			case other.ID == m.ID:
				return nil, keyError(key+".id", "%d is there twice", m.ID)
			case other.Address == m.Address:
				return nil, keyError(key+".address", "%v is there twice", m.Address)
			case other.PeerAddress == m.PeerAddress:
				return nil, keyError(key+".peer_address", "%v is there twice", m.PeerAddress)
			}
		}
		members = append(members, m)
		if m.Voter {
			voters++
		} else {
			spares++
		}
	}
	switch {
	case spares > 1:
		return nil, keyError("control.members", "%d spares: there can be one at most", spares)
	case voters%2 == 0:
		return nil, keyError("control.members", "%d voters: their number must be odd", voters)
	case voters > maxVoters:
		return nil, keyError("control.members", "%d voters: there can be %d at most", voters, maxVoters)
	}
	return members, nil
}

func parseControlMember(key string, row controlFileMember) (ControlMember, error) {
	m := ControlMember{Name: row.Name, ID: row.ID, Region: row.Region, Voter: row.Role == "voter"}
	if row.Name == "" || len(row.Name) > plane.MaxNameLength {
		return m, keyError(key+".name", "%q is empty or longer than %d bytes", row.Name, plane.MaxNameLength)
	}
	if row.ID == 0 {
		return m, keyError(key+".id", "is missing or 0")
	}
	if row.Region == "" {
		return m, keyError(key+".region", "is missing")
	}
	if row.Role != "voter" && row.Role != "spare" {
		return m, keyError(key+".role", "%q is neither voter nor spare", row.Role)
	}
	var err error
	if m.Address, err = parseReachableAddr(key+".address", row.Address); err != nil {
		return m, err
	}
	m.PeerAddress, err = parseReachableAddr(key+".peer_address", row.PeerAddress)
	return m, err
}

// parseReachableAddr reads an address that others connect to.
func parseReachableAddr(key, s string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return address, keyError(key, "%v", err)
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return address, keyError(key, "others cannot reach %v", address)
	}
	return address, nil
}
