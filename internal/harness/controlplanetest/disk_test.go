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

// waitForEnd returns the exit status of a machine that has to end by itself.
func waitForEnd(t *testing.T, m *controlplanetest.Machine) int {
	select {
	case <-m.Ended():
	case <-time.After(patience):
		t.Fatalf("%s does not end", m.Name)
	}
	return m.Wait()
}

// A machine whose disk takes no more stops with a message, and nobody else does. With room again it comes back.
func TestFullDiskStopsThatMachineAlone(t *testing.T) {
	const limitKiB = "512"
	rig := start(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	full := rig.Machine("b")
	require.Zero(t, full.End())
	require.NoError(t, full.StartLimited(limitKiB))
	rig.Pad(20 << 10) // the log of so large documents soon exceeds the limit
	stop := publishing(t, rig, rig.Addresses())
	require.Equal(t, 1, waitForEnd(t, full), "exit status")
	require.Contains(t, full.Log(), "no room on the disk")
	waitForMore(t, rig, 3)
	for _, m := range rig.Machines {
		if m != full {
			select {
			case <-m.Ended():
				t.Fatalf("%s has ended too", m.Name)
			default:
			}
		}
	}
	require.NoError(t, full.Start())
	stop()
	finish(t, rig)
}

// A machine whose log is corrupt, of another machine, or missing does not start, and says why.
func TestMachineDoesNotStartOnAWrongLog(t *testing.T) {
	rig := start(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	stop := publishing(t, rig, rig.Addresses())
	waitForMore(t, rig, 3)
	m := rig.Machine("c")
	require.Zero(t, m.End())
	path := filepath.Join(m.Folder, controlserver.LogFileName)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	other, err := os.ReadFile(filepath.Join(rig.Machine("b").Folder, controlserver.LogFileName))
	require.NoError(t, err)
	corrupt := append([]byte(nil), whole...)
	for i := len(corrupt) / 4; i < len(corrupt); i += 100 {
		corrupt[i] ^= 0x55
	}
	for _, c := range []struct {
		name, message string
		content       []byte
	}{
		{"corrupt", "corrupt", corrupt},
		{"torn", "raftlog: file", whole[:len(whole)/2]},
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

	require.NoError(t, os.WriteFile(path, whole, 0o600))
	require.NoError(t, m.Start())
	waitForMore(t, rig, 3)
	stop()
	finish(t, rig)
}
