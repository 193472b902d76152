package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
)

// Reloading a changed file changes the discovery address, even if PROXY_DISCOVERY had overridden it at startup. An invalid file
// changes nothing, and the error names the key.
func TestReloadChangesDiscoveryOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(old, replacement string) {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(validConfig, old, replacement, 1)), 0o600))
	}
	write("", "")
	c, err := config.Load(func(key string) string {
		return map[string]string{"PROXY_CONFIG": path, "PROXY_DISCOVERY": "127.0.0.1:7"}[key]
	})
	require.NoError(t, err)
	for _, step := range []struct {
		old, new, want string
		needRestart    []string
	}{
		{"", "", "127.0.0.1:7", nil},
		{"127.0.0.1:8500", "127.0.0.1:8501", "127.0.0.1:8501", nil},
		{`"sockets":512`, `"sockets":600`, "127.0.0.1:8500", []string{"limits"}},
		{`"openCap":9`, `"openCap":8`, "127.0.0.1:8500", []string{"settings"}},
	} {
		write(step.old, step.new)
		next, needRestart, err := c.Reload()
		require.NoError(t, err)
		require.Equal(t, []any{step.want, step.needRestart, 512, 9}, []any{next.Discovery, needRestart, next.MaxOpenFiles, next.ConcurrencyLimit})
		c = next
	}
	for _, invalid := range []struct{ old, new, key string }{
		{`"127.0.0.1:8500"`, `"x"`, "discovery"},
		{`"deadlineS":2`, `"deadlineS":-2`, "settings.classes[0].deadlineS"},
		{`{"name"`, ``, "PROXY_CONFIG"},
	} {
		write(invalid.old, invalid.new)
		_, _, err := c.Reload()
		require.Error(t, err)
		requireKeyError(t, err, invalid.key)
	}
}
