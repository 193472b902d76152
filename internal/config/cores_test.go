package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
)

func TestLoadCoresErrorsNameTheKey(t *testing.T) {
	c, err := loadConfig(t, validConfig, nil) // 128 MB, 512 descriptors
	require.NoError(t, err)
	load := func(text string) (int, error) {
		path := tempFile(t, text)
		return config.LoadCores(path, c)
	}
	workers, err := load("workers = 2")
	require.NoError(t, err)
	require.Equal(t, 2, workers)
	for text, want := range map[string]string{
		"":                       "cores.workers: missing, want ",
		"workers = 0":            "cores.workers: 0 not allowed, want 1 to 16, by",
		"workers = -3":           "cores.workers: -3 not allowed, want 1 to 16, by",
		"workers = 17":           "cores.workers: 17 not allowed, want 1 to 16, by limits.memory_mb 128, limits.sockets 512 and at most 64",
		"workers = 9999999":      "cores.workers: 9999999 not allowed, want 1 to 16, by",
		"workers = 2\nspeed = 1": "cores.speed: unknown key not allowed, want one of workers",
		"workers = \"two\"":      "cores:",
	} {
		_, err := load(text)
		require.ErrorContains(t, err, want, text)
		require.ErrorAs(t, err, new(*config.KeyError))
	}
	_, err = config.LoadCores("nowhere.toml", c)
	require.ErrorContains(t, err, "cores:")
}
