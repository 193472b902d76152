package controlplanetest_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/controlserver"
	"mothrouter/internal/harness/controlplanetest"
)

// waitForEnd returns the exit status of a machine whose process has to exit by itself.
func waitForEnd(t *testing.T, m *controlplanetest.Machine) int {
	select {
	case <-m.Exited():
	case <-time.After(waitTimeout):
		t.Fatalf("%s does not end", m.Name)
	}
	return m.Wait()
}

// A machine whose disk is full exits with a message, and the others go on. With free space it can be restarted.
func TestFullDiskStopsOnlyItsMachine(t *testing.T) {
	const limitBlocks = "512" // of 512 bytes or more: enough for some revisions of 20 KiB
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	full := cluster.Machine("b")
	require.Zero(t, full.Terminate())
	require.NoError(t, full.StartWithFileLimit(limitBlocks))
	cluster.SetPadding(20 << 10) // the log soon exceeds the limit
	stop := startPublishing(t, cluster, cluster.Addresses())
	require.Equal(t, 1, waitForEnd(t, full), "exit status")
	require.Contains(t, full.Log(), "disk full or maximum file size reached")
	waitForMore(t, cluster, 3)
	for _, m := range cluster.Machines {
		if m != full {
			select {
			case <-m.Exited():
				t.Fatalf("%s has ended too", m.Name)
			default:
			}
		}
	}
	require.NoError(t, full.Start())
	stop()
	checkHistory(t, cluster)
}

// A machine whose log is corrupt, of another machine, or missing does not start, and its message names the file.
func TestMachineRejectsInvalidLog(t *testing.T) {
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	stop := startPublishing(t, cluster, cluster.Addresses())
	waitForMore(t, cluster, 3)
	m := cluster.Machine("c")
	require.Zero(t, m.Terminate())
	path := filepath.Join(m.Folder, controlserver.LogFileName)
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	other, err := os.ReadFile(filepath.Join(cluster.Machine("b").Folder, controlserver.LogFileName))
	require.NoError(t, err)
	corrupt := append([]byte(nil), intact...)
	for i := len(corrupt) / 4; i < len(corrupt); i += 100 {
		corrupt[i] ^= 0x55
	}
	for _, c := range []struct {
		name, message string
		content       []byte
	}{
		{"corrupt", "corrupt", corrupt},
		{"torn", "raftlog: file", intact[:len(intact)/2]},
		{"of another machine", "not the log of this member", other},
		{"no log at all", "not", []byte("nothing of the kind")},
	} {
		require.NoError(t, os.WriteFile(path, c.content, 0o600))
		require.NoError(t, m.Start())
		require.Equal(t, 1, waitForEnd(t, m), c.name)
		require.Contains(t, m.Log(), c.message, c.name)
		require.Contains(t, m.Log(), path, "the message names the file")
	}
	require.NoError(t, os.Remove(path))
	require.NoError(t, m.Start())
	require.Equal(t, 1, waitForEnd(t, m), "missing")
	require.Contains(t, m.Log(), "there is no log")

	require.NoError(t, os.WriteFile(path, intact, 0o600))
	require.NoError(t, m.Start())
	waitForMore(t, cluster, 3)
	stop()
	checkHistory(t, cluster)
}
