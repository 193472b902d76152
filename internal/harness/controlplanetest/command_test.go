package controlplanetest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/configstatus"
	"mothrouter/internal/harness/controlplanetest"
)

// commandResult is what a command wrote to its standard output and standard error, and its exit status.
type commandResult struct {
	stdout string
	stderr string
	status int
}

// runConfigCommand runs `mothrouter config`.
func runConfigCommand(t *testing.T, arguments ...string) commandResult {
	cmd := exec.Command(program, append([]string{"config"}, arguments...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		t.Fatal(err)
	}
	return commandResult{stdout: stdout.String(), stderr: stderr.String(), status: cmd.ProcessState.ExitCode()}
}

// commandDocument is the document that the tests of the commands publish first.
const commandDocument = `{"discovery":"127.0.0.1:1","settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,` +
	`"objectiveS":1,"semantics":"free"}],"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":50}}}`

// changedDocument returns commandDocument with another open cap.
func changedDocument() string {
	return strings.Replace(commandDocument, `"openCap":50`, `"openCap":60`, 1)
}

// writeDocument writes a document to a file and returns its path.
func writeDocument(t *testing.T, document string) string {
	path := filepath.Join(t.TempDir(), "document.json")
	require.NoError(t, os.WriteFile(path, []byte(document), 0o600))
	return path
}

// The steps run in order against one cluster, and each depends on the revisions that the steps before it have published.
func TestConfigCommands(t *testing.T) {
	cluster := startCluster(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	control := "--control=" + strings.Join(cluster.Addresses(), ",")
	checkPublish(t, cluster, control)
	checkShow(t, control)
	checkStatus(t, control)
	checkPublishWhilePaused(t, cluster, control)
}

// checkPublish publishes revisions 1 and 2, and documents that must be rejected.
func checkPublish(t *testing.T, cluster *controlplanetest.Cluster, control string) {
	document, changed := writeDocument(t, commandDocument), writeDocument(t, changedDocument())
	needsRestart := writeDocument(t, strings.Replace(commandDocument, `"peersTotal":3`, `"peersTotal":4`, 1))

	got := runConfigCommand(t, "publish", control, document)
	require.Equal(t, "committed as 1\n", got.stdout)
	require.Zero(t, got.status)
	got = runConfigCommand(t, "publish", control, needsRestart)
	require.Contains(t, got.stderr, "refused by settings.peersTotal: ")
	require.Equal(t, 1, got.status)
	got = runConfigCommand(t, "publish", "--control="+cluster.Machine("d").Address, changed, "--expect=1", "--request=abc")
	require.Equal(t, "committed as 2\n", got.stdout, "published through the spare alone")
	require.Zero(t, got.status)
	got = runConfigCommand(t, "publish", control, changed, "--expect=1", "--request=abc")
	require.Equal(t, "committed as 2\n", got.stdout, "a repeated request must not commit another revision")
	got = runConfigCommand(t, "publish", control, document, "--expect=1")
	require.Contains(t, got.stderr, "refused by expected: the newest revision is 2")
	require.Equal(t, 1, got.status)
}

// checkShow runs show for the newest revision, the first, and one that does not exist.
func checkShow(t *testing.T, control string) {
	got := runConfigCommand(t, "show", control)
	require.Equal(t, changedDocument(), got.stdout)
	require.Contains(t, got.stderr, "revision 2, ")
	require.Zero(t, got.status)
	got = runConfigCommand(t, "show", "1", control)
	require.Equal(t, commandDocument, got.stdout)
	got = runConfigCommand(t, "show", "3", control)
	require.Contains(t, got.stderr, "does not have revision 3")
	require.Equal(t, 1, got.status)
}

// checkStatus waits until status reports that revision 2 is in force at all followers.
func checkStatus(t *testing.T, control string) {
	require.Eventually(t, func() bool {
		got := runConfigCommand(t, "status", control, "--json")
		var view configstatus.View
		require.NoError(t, json.Unmarshal([]byte(got.stdout), &view))
		require.Zero(t, got.status)
		inForceEverywhere := len(view.Revisions) == 2 && view.Revisions[0].EverywhereMs >= 0
		return inForceEverywhere && view.Newest == 2 && view.Connected == 6 && len(view.Lagging) == 0 && len(view.Machines) == 4
	}, waitTimeout, 100*time.Millisecond)
	got := runConfigCommand(t, "status", control)
	require.Regexp(t, `newest revision 2, leader [abc], confirmed by a quorum \d`, got.stdout)
	require.Contains(t, got.stdout, "brokers: 6 connected, 0 behind, 0 cut off")
}

// checkPublishWhilePaused publishes while all control machines are paused: a new publication is certainly not committed, while the
// outcome of one under an earlier id stays unknown. Then it repeats that one, which must succeed and be the next revision.
func checkPublishWhilePaused(t *testing.T, cluster *controlplanetest.Cluster, control string) {
	document := writeDocument(t, commandDocument)
	for _, m := range cluster.Machines {
		m.Pause()
	}
	first := runConfigCommand(t, "publish", control, document, "--timeout=1s")
	retry := runConfigCommand(t, "publish", control, document, "--timeout=1s", "--request=123")
	for _, m := range cluster.Machines {
		m.Continue()
	}
	require.Contains(t, first.stderr, "not taken by any control machine")
	require.Equal(t, 1, first.status)
	require.Contains(t, retry.stderr, "run again with --request 0000000000000123")
	require.Equal(t, 3, retry.status)
	got := runConfigCommand(t, "publish", control, document, "--request=123")
	require.Equal(t, "committed as 3\n", got.stdout)
	require.Zero(t, got.status)
}

// hangingMachine is a fake control machine that receives publications and never answers.
type hangingMachine struct {
	configpb.UnimplementedControlServer
	requests chan uint64 // ids of the received requests
}

func (h *hangingMachine) Publish(ctx context.Context, request *configpb.PublishRequest) (*configpb.PublishResponse, error) {
	h.requests <- request.GetRequest()
	<-ctx.Done()
	return nil, ctx.Err()
}

// The publish command distinguishes a document that no control machine has received, with exit status 1, from one that may be
// committed, with exit status 3.
func TestPublishCommandOutcomes(t *testing.T) {
	t.Parallel()
	path := writeDocument(t, commandDocument)
	got := runConfigCommand(t, "publish", "--control=127.0.0.1:1", path, "--timeout=1s")
	require.Contains(t, got.stderr, "not taken by any control machine")
	require.Equal(t, 1, got.status)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	machine := &hangingMachine{requests: make(chan uint64, 10)}
	server := grpc.NewServer()
	configpb.RegisterControlServer(server, machine)
	go server.Serve(listener)
	defer server.Stop()
	got = runConfigCommand(t, "publish", "--control="+listener.Addr().String(), path, "--timeout=1s")
	require.Contains(t, got.stderr, fmt.Sprintf("run again with --request %016x", <-machine.requests))
	require.Contains(t, got.stderr, "unknown: the log may still take it")
	require.Equal(t, 3, got.status)
}
