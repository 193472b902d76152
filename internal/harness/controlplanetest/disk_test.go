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

// waitForExit waits until a machine's process exits by itself and returns its exit status.
func waitForExit(t *testing.T, m *controlplanetest.Machine) int {
	select {
	case <-m.Exited():
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit within %v", m.Name, waitTimeout)
	}
	return m.Wait()
}

// A control machine whose disk is full must exit with a message while the others continue. Once there is free space it can be
// restarted. The test simulates the full disk with a limit on the file size.
func TestFullDiskStopsOnlyItsMachine(t *testing.T) {
	const limitBlocks = "512" // blocks of at least 512 bytes: enough for a few revisions of 20 KiB
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	full := cluster.Machine("b")
	require.Zero(t, full.Terminate())
	require.NoError(t, full.StartWithFileLimit(limitBlocks))
	cluster.SetPadding(20 << 10) // so that the log exceeds the limit after a few revisions
	stop := startPublishing(t, cluster, cluster.Addresses())
	require.Equal(t, 1, waitForExit(t, full), "exit status")
	require.Contains(t, full.Log(), "disk full or maximum file size reached")
	waitForPublications(t, cluster, 3)
	for _, m := range cluster.Machines {
		if m != full {
			select {
			case <-m.Exited():
				t.Fatalf("%s has exited, although only the disk of %s is full", m.Name, full.Name)
			default:
			}
		}
	}
	require.NoError(t, full.Start())
	stop()
	checkHistory(t, cluster)
}

// A control machine must not start if its raft log is corrupt, belongs to another machine, or is missing. Its error message
// names the file.
func TestMachineRejectsInvalidLog(t *testing.T) {
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	stop := startPublishing(t, cluster, cluster.Addresses())
	waitForPublications(t, cluster, 3)
	m := cluster.Machine("c")
	require.Zero(t, m.Terminate())
	path := filepath.Join(m.Folder, controlserver.LogFileName)
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	otherLog, err := os.ReadFile(filepath.Join(cluster.Machine("b").Folder, controlserver.LogFileName))
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
		{"truncated", "raftlog: file", intact[:len(intact)/2]},
		{"of another machine", "not the log of this member", otherLog},
		{"no raft log", "not", []byte("some other contents")},
	} {
		require.NoError(t, os.WriteFile(path, c.content, 0o600))
		require.NoError(t, m.Start())
		require.Equal(t, 1, waitForExit(t, m), c.name)
		require.Contains(t, m.Log(), c.message, c.name)
		require.Contains(t, m.Log(), path, "the error message must name the file")
	}
	require.NoError(t, os.Remove(path))
	require.NoError(t, m.Start())
	require.Equal(t, 1, waitForExit(t, m), "missing")
	require.Contains(t, m.Log(), "raft log does not exist")

	require.NoError(t, os.WriteFile(path, intact, 0o600))
	require.NoError(t, m.Start())
	waitForPublications(t, cluster, 3)
	stop()
	checkHistory(t, cluster)
}
