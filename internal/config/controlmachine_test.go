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

// loadEditedControl loads deploy/control.toml after replacing one text once.
func loadEditedControl(t *testing.T, before, after string) (*config.ControlMachine, error) {
	text, err := os.ReadFile(deployedControl)
	require.NoError(t, err)
	require.Contains(t, string(text), before)
	path := filepath.Join(t.TempDir(), "control.toml")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), before, after, 1)), 0o600))
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
	for _, m := range c.Members {
		if m.Voter {
			voters = append(voters, m.Name+" in "+m.Region)
		}
	}
	require.Equal(t, []string{"control-a in north", "control-b in south", "control-c in west"}, voters)
}

func TestLoadControlMachineErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ name, old, new, key string }{
		{"unknown key", `folder =`, `fodler = "x"` + "\nfolder =", "control.fodler"},
		{"unknown key of a member", `region = "south"`, `regoin = "south"`, "control.members.regoin"},
		{"no fleet", `"bern-roaming"`, `""`, "control.fleet"},
		{"no folder", `"/var/lib/mothrouter-control"`, `""`, "control.folder"},
		{"listen by name", `listen = "127.0.0.1:7950"`, `listen = "localhost:7950"`, "control.listen"},
		{"no listening address for members", `listen_peers = "127.0.0.1:7951"`, "", "control.listen_peers"},
		{"one address for all", `listen_peers = "127.0.0.1:7951"`, `listen_peers = "127.0.0.1:7950"`, "control.listen_peers"},
		{"promotion at once", `60.0`, `0.1`, "control.promote_after_s"},
		{"promotion is no number", `60.0`, `nan`, "control.promote_after_s"},
		{"not a member", `name = "control-a"    `, `name = "control-e"    `, "control.name"},
		{"two spares", `role = "voter"`, `role = "spare"`, "control.members"},
		{"four voters", `role = "spare"`, `role = "voter"`, "control.members"},
		{"another role", `role = "spare"`, `role = "witness"`, "control.members[3].role"},
		{"a name twice", `name = "control-c"`, `name = "control-b"`, "control.members[2].name"},
		{"an id twice", `id = 3`, `id = 2`, "control.members[2].id"},
		{"id 0", `id = 3`, `id = 0`, "control.members[2].id"},
		{"an address twice", `127.0.0.3:7950`, `127.0.0.2:7950`, "control.members[2].address"},
		{"an address of nobody", `127.0.0.3:7950`, `0.0.0.0:7950`, "control.members[2].address"},
		{"a peer address twice", `127.0.0.3:7951`, `127.0.0.2:7951`, "control.members[2].peer_address"},
		{"a peer address without port", `127.0.0.3:7951`, `127.0.0.3:0`, "control.members[2].peer_address"},
		{"no region", `region = "south"`, `region = ""`, "control.members[1].region"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := loadEditedControl(t, c.old, c.new)
			require.ErrorContains(t, err, c.key+":")
			require.ErrorAs(t, err, new(*config.KeyError))
		})
	}
}

func TestLoadControlMachineAllowsNoSpare(t *testing.T) {
	text, err := os.ReadFile(deployedControl)
	require.NoError(t, err)
	cut := strings.LastIndex(string(text), "[[members]]")
	path := filepath.Join(t.TempDir(), "control.toml")
	require.NoError(t, os.WriteFile(path, text[:cut], 0o600))
	c, err := config.LoadControlMachine(path)
	require.NoError(t, err)
	require.Len(t, c.Members, 3)
}
