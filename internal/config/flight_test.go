package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
)

func TestLoadFlightReadsDeployedFile(t *testing.T) {
	flight, err := config.LoadFlight("../../deploy/flight.toml", loadValidConfig(t))
	require.NoError(t, err)
	require.Equal(t, &config.Flight{Listen: "127.0.0.1:8815", Servers: []string{}, Connections: 64}, flight)
}

func TestLoadFlightErrorsNameTheKey(t *testing.T) {
	for text, want := range map[string]string{
		`servers = []`:                       "flight.listen: missing, want an address host:port",
		"listen = \"a:1\"\nserver = []":      "flight.server: unknown key not allowed, want one of listen, servers, connections",
		"listen = \"a:1\"\nservers = [\"\"]": "flight.servers[0]: missing",
		"listen = \"a:1\"\nconnections = 0":  "flight.connections: 0 not allowed, want 1 to ",
		"listen = 1":                         "flight: \"",
	} {
		path := tempFile(t, text)
		_, err := config.LoadFlight(path, loadValidConfig(t))
		require.ErrorContains(t, err, want)
		require.ErrorAs(t, err, new(*config.KeyError))
	}
}
