package main_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stateFile writes an operator file for saving state in a folder, and returns the file's path.
func stateFile(t *testing.T, folder string) string {
	path := filepath.Join(t.TempDir(), "state.toml")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, "folder = %q\ninterval_s = 0.5\n", folder), 0o600))
	return path
}

// stateCommand runs `mothrouter state` and returns its output.
func stateCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	out, err := exec.Command(program, append([]string{"state"}, args...)...).CombinedOutput()
	return string(out), err
}

// A restarted broker restores the saved state, with one loop and with several, and starts blank if the file is truncated. The
// state commands inspect, verify and delete the file.
func TestSavedStateRestoredAfterRestart(t *testing.T) {
	for _, cores := range []bool{false, true} {
		t.Run(fmt.Sprint("several cores ", cores), func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			flags := []string{"-state", stateFile(t, folder)}
			if cores {
				flags = append(flags, "-cores", coresFile)
			}
			first := startServingBroker(t, flags...)
			first.waitForLog("no saved state, starting with empty state")
			for n := range 20 {
				require.Contains(t, first.dial().roundTrip(queryRequest(fmt.Sprint("s", n))), " 200 ")
			}
			require.NoError(t, first.cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(t, first.cmd.Wait())
			out, err := stateCommand(t, "verify", folder)
			require.NoError(t, err, out)
			require.Contains(t, out, "1 servers")
			out, err = stateCommand(t, "inspect", folder)
			require.NoError(t, err, out)
			require.Contains(t, out, "broker n1")
			require.Contains(t, out, "s1 ")
			second := startServingBroker(t, flags...)
			second.waitForLog("saved state restored")
			require.Contains(t, second.dial().roundTrip(queryRequest("again")), " 200 ")
			require.NoError(t, second.cmd.Process.Kill())
			second.cmd.Wait()

			path := filepath.Join(folder, "learned.moth")
			b, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, b[:len(b)-1], 0o600))
			out, err = stateCommand(t, "verify", folder)
			require.Error(t, err)
			require.Contains(t, out, "truncated")
			third := startServingBroker(t, flags...)
			require.Contains(t, third.log.String(), "truncated")
			require.Contains(t, third.dial().roundTrip(queryRequest("blank")), " 200 ")
			require.Contains(t, first.log.String()+third.log.String(), "starting with empty state")
			_, err = stateCommand(t, "delete", folder)
			require.NoError(t, err)
			require.NoFileExists(t, filepath.Join(folder, "learned.moth.bad"))
		})
	}
}

// SIGTERM before, during or after a save leaves a complete file.
func TestStateFileCompleteAfterSIGTERMDuringSave(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	flags := []string{"-state", stateFile(t, folder)}
	for i := range 3 {
		broker := startServingBroker(t, flags...)
		require.Contains(t, broker.dial().roundTrip(queryRequest("q")), " 200 ")
		time.Sleep(time.Duration(350+50*i) * time.Millisecond) // the first save is due after 375 to 625 ms
		require.NoError(t, broker.cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, broker.cmd.Wait())
		out, err := stateCommand(t, "verify", folder)
		require.NoError(t, err, out)
	}
}

func TestStateFileErrorNamesKey(t *testing.T) {
	t.Parallel()
	requireFileRejected(t, "-state", map[string]string{
		"":                               "state.folder: missing, want the path of a folder",
		"folder = \"/x\"\ninterval_s=0":  "state.interval_s: 0 not allowed, want 0.5 to 3600",
		"folder = \"/x\"\ninterval_s=-5": "state.interval_s: -5 not allowed, want 0.5 to 3600",
		"folder = \"/x\"\nspeed=1":       "state.speed: unknown key not allowed, want one of folder, interval_s",
	})
	out, err := stateCommand(t, "inspect", t.TempDir())
	require.Error(t, err)
	require.True(t, strings.HasPrefix(out, "mothrouter: "), out)
}
