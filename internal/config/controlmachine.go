package config

import (
	"fmt"
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane"
)

// ControlMachine is the configuration file of a control machine.
type ControlMachine struct {
	Fleet        string          // name of the fleet; messages between members carry its fingerprint
	Name         string          // name of this control machine in Members
	Listen       netip.AddrPort  // listening address for brokers and operators
	ListenPeers  netip.AddrPort  // listening address for the other members
	Folder       string          // folder of the replicated log
	PromoteAfter time.Duration   // how long a voter must be silent before the spare replaces it
	Members      []ControlMember // an odd number of voters and at most one spare
}

// ControlMember is one of the control machines of a fleet.
type ControlMember struct {
	Name        string
	ID          uint64         // raft ID, 1 or more
	Address     netip.AddrPort // where brokers and operators connect
	PeerAddress netip.AddrPort // where the other members connect
	Region      string
	Voter       bool // false: the spare
}

// Self returns the entry of this control machine in Members.
func (c *ControlMachine) Self() ControlMember {
	for _, member := range c.Members {
		if member.Name == c.Name {
			return member
		}
	}
	panic("config: the control machine is not in its own list of members") // LoadControlMachine rejects such a file
}

const (
	minPromoteAfter     = 5.0     // seconds; long enough for ten elections
	maxPromoteAfter     = 86400.0 // seconds
	defaultPromoteAfter = 60.0    // seconds
	maxVoters           = 7       // with more, a quorum gets slower but in practice no safer
)

// Roles of a member in the file.
const (
	roleVoter = "voter"
	roleSpare = "spare"
)

// controlFile is the TOML form of ControlMachine.
type controlFile struct {
	Fleet        string              `toml:"fleet"`
	Name         string              `toml:"name"`
	Listen       string              `toml:"listen"`
	ListenPeers  string              `toml:"listen_peers"`
	Folder       string              `toml:"folder"`
	PromoteAfter float64             `toml:"promote_after_s"`
	Members      []controlFileMember `toml:"members"`
}

// controlFileMember is the TOML form of ControlMember.
type controlFileMember struct {
	Name        string `toml:"name"`
	ID          uint64 `toml:"id"`
	Address     string `toml:"address"`
	PeerAddress string `toml:"peer_address"`
	Region      string `toml:"region"`
	Role        string `toml:"role"`
}

// LoadControlMachine reads and validates the configuration file of a control machine. Errors are of type *KeyError.
func LoadControlMachine(path string) (*ControlMachine, error) {
	file := controlFile{PromoteAfter: defaultPromoteAfter}
	if err := decodeTOML("control", path, &file); err != nil {
		return nil, err
	}
	if file.Fleet == "" {
		return nil, missingKey("control.fleet", allowedText)
	}
	if file.Folder == "" {
		return nil, missingKey("control.folder", "the path of a folder")
	}
	if err := checkRange("control.promote_after_s", file.PromoteAfter, minPromoteAfter, maxPromoteAfter); err != nil {
		return nil, err
	}
	machine := &ControlMachine{
		Fleet: file.Fleet, Name: file.Name, Folder: file.Folder, PromoteAfter: seconds(file.PromoteAfter),
	}
	if err := machine.readListenAddresses(&file); err != nil {
		return nil, err
	}
	if err := machine.readMembers(file.Members); err != nil {
		return nil, err
	}
	return machine, nil
}

// readListenAddresses sets Listen and ListenPeers.
func (c *ControlMachine) readListenAddresses(file *controlFile) (err error) {
	if c.Listen, err = parseAddrPort("control.listen", file.Listen); err != nil {
		return err
	}
	if c.ListenPeers, err = parseAddrPort("control.listen_peers", file.ListenPeers); err != nil {
		return err
	}
	if c.ListenPeers == c.Listen {
		return notAllowed("control.listen_peers", c.ListenPeers, "an address other than control.listen")
	}
	return nil
}

// readMembers sets Members and checks that one of them has the name of this control machine.
func (c *ControlMachine) readMembers(rows []controlFileMember) (err error) {
	if c.Members, err = parseControlMembers(rows); err != nil {
		return err
	}
	for _, member := range c.Members {
		if member.Name == c.Name {
			return nil
		}
	}
	return notAllowed("control.name", c.Name, "the name of one of control.members")
}

// parseControlMembers parses and checks each member, then checks the number of voters and spares.
func parseControlMembers(rows []controlFileMember) ([]ControlMember, error) {
	if len(rows) == 0 {
		return nil, missingKey("control.members", "at least one member")
	}
	var members []ControlMember
	for i, row := range rows {
		key := fmt.Sprintf("control.members[%d]", i)
		member, err := parseControlMember(key, row)
		if err != nil {
			return nil, err
		}
		if err := checkDistinct(key, member, members); err != nil {
			return nil, err
		}
		members = append(members, member)
	}
	return members, checkRoles(members)
}

// checkDistinct returns an error if the member shares its name, ID or an address with an earlier one.
func checkDistinct(key string, member ControlMember, earlier []ControlMember) error {
	for _, other := range earlier {
		switch {
		case other.Name == member.Name:
			return notAllowed(key+".name", member.Name, allowedUnique)
		case other.ID == member.ID:
			return notAllowed(key+".id", member.ID, allowedUnique)
		case other.Address == member.Address:
			return notAllowed(key+".address", member.Address, allowedUnique)
		case other.PeerAddress == member.PeerAddress:
			return notAllowed(key+".peer_address", member.PeerAddress, allowedUnique)
		}
	}
	return nil
}

// checkRoles returns an error if there is more than one spare, if there are more than maxVoters voters, or if the number of
// voters is even, so that a vote can tie.
func checkRoles(members []ControlMember) error {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	if spares := len(members) - voters; spares > 1 {
		return notAllowed("control.members", memberCount{spares, roleSpare}, "at most one")
	}
	if voters%2 == 0 || voters > maxVoters {
		return notAllowed("control.members", memberCount{voters, roleVoter}, "an odd number, at most %d", maxVoters)
	}
	return nil
}

// memberCount is the number of members with a role. Errors show it instead of the members.
type memberCount struct {
	count int
	role  string
}

// String returns the count and the role.
func (c memberCount) String() string { return fmt.Sprintf("%d members with role %s", c.count, c.role) }

// parseControlMember parses and checks one member. The keys in its errors start with key.
func parseControlMember(key string, row controlFileMember) (ControlMember, error) {
	member := ControlMember{Name: row.Name, ID: row.ID, Region: row.Region, Voter: row.Role == roleVoter}
	if err := checkName(key+".name", row.Name, plane.MaxNameLength); err != nil {
		return member, err
	}
	if row.ID == 0 {
		return member, missingKey(key+".id", "1 or more")
	}
	if row.Region == "" {
		return member, missingKey(key+".region", allowedText)
	}
	if row.Role != roleVoter && row.Role != roleSpare {
		return member, notAllowed(key+".role", row.Role, "%s or %s", roleVoter, roleSpare)
	}
	var err error
	if member.Address, err = parseReachableAddr(key+".address", row.Address); err != nil {
		return member, err
	}
	member.PeerAddress, err = parseReachableAddr(key+".peer_address", row.PeerAddress)
	return member, err
}

// parseReachableAddr parses an address that other processes connect to. The unspecified address and port 0 are errors.
func parseReachableAddr(key, text string) (netip.AddrPort, error) {
	address, err := parseAddrPort(key, text)
	if err != nil {
		return address, err
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return address, notAllowed(key, address, "an address IP:port that others can reach")
	}
	return address, nil
}
