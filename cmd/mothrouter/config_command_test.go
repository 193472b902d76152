package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPublishRetryKeepsOutcomeUnknown guards against a publication under an earlier request id that is reported as "not taken" because
// no control machine can be reached now.
func TestPublishRetryKeepsOutcomeUnknown(t *testing.T) {
	t.Parallel()
	document := filepath.Join(t.TempDir(), "document.json")
	require.NoError(t, os.WriteFile(document, []byte("{}"), 0o600))
	for _, test := range []struct {
		flags  []string
		status int
		text   string
	}{
		{nil, 1, "not taken by any control machine"},
		{[]string{"--request", "2a"}, 3, "run again with --request 000000000000002a"},
	} {
		arguments := append([]string{"config", "publish", "--control", "127.0.0.1:1", "--timeout", "300ms", document}, test.flags...)
		output, err := exec.Command(program, arguments...).CombinedOutput()
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
		require.Equal(t, test.status, exit.ExitCode())
		require.Contains(t, string(output), test.text)
	}
}
