package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
	"mothrouter/internal/decision"
)

// validConfig is a valid file for PROXY_CONFIG. It sets every key that a test replaces.
const validConfig = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":128,"sockets":512},
"known":{"version":41,"full":true,"servers":[{"id":"s1","addr":"127.0.0.1:1","zone":"b","kind":"m2","cell":3,
"state":"leaving","weight":1.5,"started_ms":2500}]},
"settings":{"classes":[{"name":"c","deadlineS":2,"objectiveS":1,"semantics":"free"}],"zones":["a","b"],
"machineTypes":["m2"],"caps":{"openCap":9,"connIdleS":3,"connectTimeoutS":0.5,"streamsPerConn":7},
"familyInfo":{"cells":4,"slabs":8}}}`

// tempFile writes text to a file that is removed when the test ends, and returns its path.
func tempFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// loadConfig loads text as the file named by PROXY_CONFIG. The other environment variables are those in env.
func loadConfig(t *testing.T, text string, env map[string]string) (*config.Config, error) {
	path := tempFile(t, text)
	return config.Load(func(key string) string {
		if key == "PROXY_CONFIG" {
			return path
		}
		return env[key]
	})
}

func TestLoadReadsFileAndEnvironment(t *testing.T) {
	c, err := loadConfig(t, validConfig, map[string]string{"PROXY_NAME": "n4", "PROXY_LISTEN": "127.0.0.1:9"})
	require.NoError(t, err)
	require.Equal(t, []any{"n4", "127.0.0.1:9", "127.0.0.1:8500", uint64(0x8c1f30d27a5be964), 128, 512},
		[]any{c.Name, c.Listen, c.Discovery, c.Seed, c.MemoryLimitMiB, c.MaxOpenFiles})
	require.Equal(t, []any{9, 8, 7, 3 * time.Second, 500 * time.Millisecond, map[string]int{"c": 0}, int64(41)},
		[]any{c.ConcurrencyLimit, c.Shards, c.MaxStreams, c.ConnIdleTimeout, c.ConnectTimeout, c.Classes, c.CachedVersion})
	require.Equal(t, decision.CachedUpdate, c.CachedEndpoints.Mode)
	require.Equal(t, decision.Server{ID: "s1", Zone: 1, ReplicaSet: 3, State: decision.Draining, Capacity: 1.5, StartedAt: 2.5},
		c.CachedEndpoints.Servers[0].Server)
	require.Equal(t, []time.Duration{2 * time.Second}, c.ClassDeadlines())
}

// The core never has two attempts of a part in flight. With hedging allowed, the decision module asked for a hedged request
// instead of cancelling the first attempt, and the core rejected it: four in five queries failed during the loss of a zone.
func TestLoadDisablesHedging(t *testing.T) {
	c, err := loadConfig(t, strings.Replace(validConfig, `"caps":{`, `"caps":{"secondCopies":true,"cancel":true,`, 1), nil)
	require.NoError(t, err)
	require.False(t, c.Settings.HedgingAllowed)
	require.True(t, c.Settings.CancelAllowed)
}

// The README starts a broker with this file, so it must load.
func TestLoadReadsDeployedExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/example.json")
	require.NoError(t, err)
	c, err := loadConfig(t, string(text), nil)
	require.NoError(t, err)
	require.Len(t, c.CachedEndpoints.Servers, 2)
	require.Len(t, c.Classes, 3)
}

func TestLoadErrorsNameTheKey(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`"listen":"127.0.0.1:8443",`, ``, "listen: missing, want an address host:port"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"x"`, "discovery: \"x\" not allowed, want an address host:port"},
		{`8c1f30d27a5be964`, `zz`, "seed: \"zz\" not allowed, want up to 16 hex digits"},
		{`"memory_mb":128`, `"memory_mb":1`, "limits.memory_mb: 1 not allowed, want 16 to 1048576"},
		{`"sockets":512`, `"sockets":5`, "limits.sockets: 5 not allowed, want 64 to 1048576"},
		{`"state":"leaving"`, `"state":"odd"`, `known.servers[0].state: "odd" not allowed, want one of active, leaving, left`},
		{`"id":"s1"`, `"id":""`, "known.servers[0].id: missing, want a text that is not empty"},
		{`"deadlineS":2`, `"deadlineS":0`, "settings.classes[0].deadlineS: 0 not allowed, want above 0, at most 1e+06"},
		{`"name":"c"`, `"name":""`, "settings.classes[0].name: missing, want a text that is not empty"},
		{`"semantics":"free"`, `"semantics":"odd"`, `settings.classes[0].semantics: "odd" not allowed, want one of free, guarded, single_shot`},
		{`"cells":4`, `"cells":0`, "settings.familyInfo.cells: 0 not allowed, want 1 to 1048576"},
		{`"openCap":9`, `"openCap":-9`, "settings.caps.openCap: -9 not allowed, want 0 or more"},
		{`"connIdleS":3`, `"connIdleS":0`, "settings.caps.connIdleS: 0 not allowed, want above 0, at most 1e+06"},
		{`"connectTimeoutS":0.5`, `"connectTimeoutS":-1`, "settings.caps.connectTimeoutS: -1 not allowed, want above 0, at most 1e+06"},
		{`"streamsPerConn":7`, `"streamsPerConn":0`, "settings.caps.streamsPerConn: 0 not allowed, want 1 or more"},
		{`"settings":{`, `"odd":{`, "settings: missing, want an object"},
		{`{"name"`, `["name"`, "PROXY_CONFIG: "},
	} {
		require.Contains(t, validConfig, test.old)
		_, err := loadConfig(t, strings.Replace(validConfig, test.old, test.new, 1), nil)
		require.ErrorContains(t, err, test.want)
		require.ErrorAs(t, err, new(*config.KeyError))
	}
	_, err := config.Load(func(string) string { return "" })
	require.EqualError(t, err, "PROXY_CONFIG: missing, want the path of a JSON file")
}

// loadValidConfig loads validConfig.
func loadValidConfig(t *testing.T) *config.Config {
	c, err := loadConfig(t, validConfig, nil)
	require.NoError(t, err)
	return c
}
