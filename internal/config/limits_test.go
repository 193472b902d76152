package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
)

// Record servers get enough descriptors for each replica set to have a connection, up to half of all. Clients get the rest.
func TestLoadDividesDescriptorsByReplicaSets(t *testing.T) {
	for cells, want := range map[string][]int{"4": {256, 192}, "200": {223, 225}, "999": {192, 256}} {
		c, err := loadConfig(t, strings.Replace(validConfig, `"cells":4`, `"cells":`+cells, 1), nil)
		require.NoError(t, err)
		require.Equal(t, want, []int{c.MaxClientConns, c.MaxServerConns}, cells)
	}
}

// All uses of descriptors together stay within the limit, whichever features are enabled.
func TestLoadKeepsDescriptorsWithinTheLimit(t *testing.T) {
	const process, discoveryCalls, accepted, rejected = 6, 4, 1, 4 // the descriptors that config.minReserved counts
	flightFile := filepath.Join(t.TempDir(), "flight.toml")
	require.NoError(t, os.WriteFile(flightFile, []byte("listen = \"127.0.0.1:9\"\nconnections = 20\nservers = [\"a\", \"b\", \"c\"]\n"), 0o600))
	for _, sockets := range []int{64, 100, 256, 512, 1024, 4096} {
		for _, cells := range []string{"4", "200", "2000"} {
			for _, adminAddress := range []string{"", "127.0.0.1:7"} {
				for _, withFlight := range []bool{false, true} {
					text := strings.Replace(strings.Replace(validConfig, `"sockets":512`, fmt.Sprint(`"sockets":`, sockets), 1), `"cells":4`, `"cells":`+cells, 1)
					c, err := loadConfig(t, text, map[string]string{"PROXY_CONTROL": adminAddress})
					require.NoError(t, err)
					inUse := 0
					if withFlight {
						flight, err := config.LoadFlight(flightFile, c)
						if err != nil {
							require.ErrorContains(t, err, "flight.connections")
							require.Less(t, sockets, 256)
							continue
						}
						inUse = flight.Connections + flight.ServerConns
					}
					if adminAddress != "" && sockets >= 256 {
						inUse += 24 + 1 // admin.MaxConns and one just accepted
					}
					inUse += c.MaxClientConns + c.MaxServerConns + process + discoveryCalls + accepted + rejected
					require.LessOrEqual(t, inUse, sockets+1, "%d sockets, %s cells, control address %q, Flight %v", sockets, cells, adminAddress, withFlight)
					require.GreaterOrEqual(t, c.MaxClientConns, 8)
					require.Positive(t, c.MaxIdleConns)
				}
			}
		}
	}
}
