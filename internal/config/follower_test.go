package config_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/distribution"
)

func TestLoadFollowerReadsDeployedFile(t *testing.T) {
	follower, err := config.LoadFollower("../../deploy/configuration.toml", loadValidConfig(t))
	require.NoError(t, err)
	require.Equal(t, &config.Follower{Name: "n3", Zone: "bern-1", Region: "bern",
		ControlMachines: []distribution.ControlMachine{{Address: "127.0.0.1:7950", Zone: "bern-1", Region: "bern"}}}, follower)
}

func TestLoadFollowerErrorsNameTheKey(t *testing.T) {
	entryFormat := "[[control]]\naddress = \"127.0.0.1:%d\"\n"
	maxEntries := ""
	for i := range distribution.MaxControlMachines {
		maxEntries += fmt.Sprintf(entryFormat, 1+i)
	}
	for text, want := range map[string]string{
		``:                           "configuration.control: 0 entries not allowed, want 1 to 8 entries",
		`zone = "z"`:                 "configuration.control: 0 entries not allowed, want 1 to 8 entries",
		maxEntries:                   "",
		maxEntries + "[[control]]\n": "configuration.control: 9 entries not allowed, want 1 to 8 entries",
		"[[control]]\n":              "configuration.control[0].address: missing, want an address host:port",
		maxEntries[:len(maxEntries)/8*2] + fmt.Sprintf(entryFormat, 1): "configuration.control[2].address: \"127.0.0.1:1\" not allowed, want a value that no other entry has",
		"speed = 1\n" + maxEntries:                                     "configuration.speed: unknown key not allowed, want one of name, zone, region, control",
		maxEntries + "weight = 1\n":                                    "configuration.control.weight: unknown key not allowed, want one of address, zone, region",
		"zone = 3\n" + maxEntries:                                      "configuration: ",
		"zone = \"" + strings.Repeat("z", 129) + "\"\n" + maxEntries:   "configuration.zone: ",
		"name = \"\"\n" + maxEntries:                                   "configuration.name: ",
	} {
		path := tempFile(t, text)
		_, err := config.LoadFollower(path, loadValidConfig(t))
		if want == "" {
			require.NoError(t, err)
		} else {
			require.ErrorContains(t, err, want)
			require.ErrorAs(t, err, new(*config.KeyError))
		}
	}
	_, err := config.LoadFollower(filepath.Join(t.TempDir(), "none"), loadValidConfig(t))
	require.ErrorContains(t, err, "configuration: ")
}
