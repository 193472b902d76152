package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
)

const deployedControl = "../../deploy/control.toml"

// loadEditedControl loads deploy/control.toml with the first occurrence of old replaced.
func loadEditedControl(t *testing.T, old, replacement string) (*config.ControlMachine, error) {
	text, err := os.ReadFile(deployedControl)
	require.NoError(t, err)
	require.Contains(t, string(text), old)
	path := filepath.Join(t.TempDir(), "control.toml")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
	return config.LoadControlMachine(path)
}

func TestLoadControlMachineReadsDeployedFile(t *testing.T) {
	c, err := config.LoadControlMachine(deployedControl)
	require.NoError(t, err)
	require.Equal(t, "bern-roaming", c.Fleet)
	require.Equal(t, "/var/lib/mothrouter-control", c.Folder)
	require.Equal(t, 60*time.Second, c.PromoteAfter)
	require.Equal(t, uint64(1), c.Self().ID)
	require.Equal(t, c.Listen, c.Self().Address)
	require.Equal(t, c.ListenPeers, c.Self().PeerAddress)
	require.Len(t, c.Members, 4)
	var voters []string
	for _, member := range c.Members {
		if member.Voter {
			voters = append(voters, member.Name+" in "+member.Region)
		}
	}
	require.Equal(t, []string{"control-a in north", "control-b in south", "control-c in west"}, voters)
}

func TestLoadControlMachineErrorsNameTheKey(t *testing.T) {
	for _, test := range []struct{ name, old, new, key string }{
		{"unknown key", `folder =`, `fodler = "x"` + "\nfolder =", "control.fodler"},
		{"unknown key of a member", `region = "south"`, `regoin = "south"`, "control.members.regoin"},
		{"missing fleet", `"bern-roaming"`, `""`, "control.fleet"},
		{"missing folder", `"/var/lib/mothrouter-control"`, `""`, "control.folder"},
		{"listen with a host name", `listen = "127.0.0.1:7950"`, `listen = "localhost:7950"`, "control.listen"},
		{"missing listen_peers", `listen_peers = "127.0.0.1:7951"`, "", "control.listen_peers"},
		{"listen_peers equals listen", `listen_peers = "127.0.0.1:7951"`, `listen_peers = "127.0.0.1:7950"`, "control.listen_peers"},
		{"promotion delay too short", `60.0`, `0.1`, "control.promote_after_s"},
		{"promotion delay NaN", `60.0`, `nan`, "control.promote_after_s"},
		{"name not in members", `name = "control-a"    `, `name = "control-e"    `, "control.name"},
		{"two spares", `role = "voter"`, `role = "spare"`, "control.members"},
		{"even number of voters", `role = "spare"`, `role = "voter"`, "control.members"},
		{"unknown role", `role = "spare"`, `role = "witness"`, "control.members[3].role"},
		{"duplicate name", `name = "control-c"`, `name = "control-b"`, "control.members[2].name"},
		{"duplicate id", `id = 3`, `id = 2`, "control.members[2].id"},
		{"id 0", `id = 3`, `id = 0`, "control.members[2].id"},
		{"duplicate address", `127.0.0.3:7950`, `127.0.0.2:7950`, "control.members[2].address"},
		{"unspecified address", `127.0.0.3:7950`, `0.0.0.0:7950`, "control.members[2].address"},
		{"duplicate peer address", `127.0.0.3:7951`, `127.0.0.2:7951`, "control.members[2].peer_address"},
		{"peer address with port 0", `127.0.0.3:7951`, `127.0.0.3:0`, "control.members[2].peer_address"},
		{"missing region", `region = "south"`, `region = ""`, "control.members[1].region"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := loadEditedControl(t, test.old, test.new)
			require.ErrorContains(t, err, test.key+":")
			require.ErrorAs(t, err, new(*config.KeyError))
		})
	}
}

func TestLoadControlMachineAllowsNoSpare(t *testing.T) {
	text, err := os.ReadFile(deployedControl)
	require.NoError(t, err)
	lastMember := strings.LastIndex(string(text), "[[members]]") // the spare
	path := filepath.Join(t.TempDir(), "control.toml")
	require.NoError(t, os.WriteFile(path, text[:lastMember], 0o600))
	c, err := config.LoadControlMachine(path)
	require.NoError(t, err)
	require.Len(t, c.Members, 3)
}
