package controlplanetest_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/configstatus"
	"mothrouter/internal/controlplane/operatorclient"
	"mothrouter/internal/harness/controlplanetest"
)

// startBroker starts a broker process that follows all control machines of a cluster.
func startBroker(t *testing.T, cluster *controlplanetest.Cluster, name string) {
	folder := t.TempDir()
	var control strings.Builder
	fmt.Fprintf(&control, "zone = \"north\"\nregion = \"north\"\n")
	for _, address := range cluster.Addresses() {
		fmt.Fprintf(&control, "\n[[control]]\naddress = %q\nzone = \"north\"\nregion = \"north\"\n", address)
	}
	settings := strings.TrimSuffix(strings.SplitN(commandDocument, `"settings":`, 2)[1], "}")
	config := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7",`+
		`"limits":{"memory_mb":64,"sockets":256},"known":{"version":1,"full":true,"servers":[{"id":"s",`+
		`"addr":"127.0.0.1:2","cell":0,"state":"active"}]},"settings":%s}`, name, settings)
	files := map[string]string{"broker.json": config, "configuration.toml": control.String()}
	for file, text := range files {
		require.NoError(t, os.WriteFile(filepath.Join(folder, file), []byte(text), 0o600))
	}
	cmd := exec.Command(program, "-configuration", filepath.Join(folder, "configuration.toml"))
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(folder, "broker.json"))
	log, err := os.Create(filepath.Join(folder, "log"))
	require.NoError(t, err)
	cmd.Stderr = log
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		log.Close()
		if text, err := os.ReadFile(log.Name()); t.Failed() && err == nil {
			t.Logf("%s:\n%s", name, text)
		}
	})
}

// mergedStatus returns the merged status of all machines.
func mergedStatus(t *testing.T, cluster *controlplanetest.Cluster) configstatus.View {
	var answers []configstatus.Answer
	for _, address := range cluster.Addresses() {
		status, err := operatorclient.Status(t.Context(), address)
		answers = append(answers, configstatus.Answer{Address: address, Status: status, Err: err})
	}
	return configstatus.Merge(answers)
}

// Broker processes must put each revision in force in time, even if the leader is killed between two publications.
func TestBrokersPutRevisionsInForceInTime(t *testing.T) {
	const brokers = 3
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	for i := range brokers {
		startBroker(t, cluster, fmt.Sprint("broker-", i))
	}
	clients := len(controlplanetest.Regions)*followersPerRegion + brokers
	require.Eventually(t, func() bool { return mergedStatus(t, cluster).Connected == clients }, waitTimeout, 50*time.Millisecond)
	for round := range 3 {
		number, err := cluster.Publish(t.Context(), cluster.Addresses())
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			view := mergedStatus(t, cluster)
			return view.Newest == number && view.Connected == clients && len(view.Lagging) == 0 && len(view.Rejections) == 0
		}, inForceWithin, 50*time.Millisecond, "revision %d", number)
		if round == 0 {
			leader := waitForLeader(t, cluster)
			leader.Kill()
			waitForLeader(t, cluster)
			require.NoError(t, leader.Start())
		}
	}
	checkHistory(t, cluster)
}
