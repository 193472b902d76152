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

// command runs `mothrouter config` and returns what it wrote and its exit status.
func command(t *testing.T, arguments ...string) (out, messages string, status int) {
	cmd := exec.Command(program, append([]string{"config"}, arguments...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()
}

const commandDocument = `{"discovery":"127.0.0.1:1","settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,` +
	`"objectiveS":1,"semantics":"free"}],"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":50}}}`

func TestCommandsOfOperators(t *testing.T) {
	rig := start(t, controlplanetest.Options{PromoteAfter: time.Minute, Seed: *seed})
	control := "--control=" + strings.Join(rig.Addresses(), ",")
	file := func(document string) string {
		path := filepath.Join(t.TempDir(), "document.json")
		require.NoError(t, os.WriteFile(path, []byte(document), 0o600))
		return path
	}
	changed := strings.Replace(commandDocument, `"openCap":50`, `"openCap":60`, 1)
	restart := strings.Replace(commandDocument, `"peersTotal":3`, `"peersTotal":4`, 1)

	out, _, status := command(t, "publish", control, file(commandDocument))
	require.Equal(t, "committed as 1\n", out)
	require.Zero(t, status)
	_, messages, status := command(t, "publish", control, file(restart))
	require.Contains(t, messages, "refused by settings.peersTotal: ")
	require.Equal(t, 1, status)
	out, _, status = command(t, "publish", "--control="+rig.Machine("d").Address, file(changed), "--expect=1",
		"--request=abc")
	require.Equal(t, "committed as 2\n", out, "by the spare alone")
	require.Zero(t, status)
	out, _, _ = command(t, "publish", control, file(changed), "--expect=1", "--request=abc")
	require.Equal(t, "committed as 2\n", out, "the same again")
	_, messages, status = command(t, "publish", control, file(commandDocument), "--expect=1")
	require.Contains(t, messages, "refused by expected: the newest revision is 2")
	require.Equal(t, 1, status)

	out, messages, status = command(t, "show", control)
	require.Equal(t, changed, out)
	require.Contains(t, messages, "revision 2, ")
	require.Zero(t, status)
	out, _, _ = command(t, "show", "1", control)
	require.Equal(t, commandDocument, out)
	_, messages, status = command(t, "show", "3", control)
	require.Contains(t, messages, "does not have revision 3")
	require.Equal(t, 1, status)

	require.Eventually(t, func() bool {
		out, _, status := command(t, "status", control, "--json")
		var view configstatus.View
		require.NoError(t, json.Unmarshal([]byte(out), &view))
		require.Zero(t, status)
		everywhere := len(view.Revisions) == 2 && view.Revisions[0].EverywhereMs >= 0
		return everywhere && view.Newest == 2 && view.Connected == 6 && len(view.Lagging) == 0 && len(view.Machines) == 4
	}, patience, 100*time.Millisecond)
	out, _, _ = command(t, "status", control)
	require.Regexp(t, `newest revision 2, leader [abc], confirmed by a quorum \d`, out)
	require.Contains(t, out, "brokers: 6 connected, 0 behind, 0 cut off")

	// While no machine runs on, nothing is taken; the same request is taken once they do.
	for _, m := range rig.Machines {
		m.Pause()
	}
	_, messages, status = command(t, "publish", control, file(commandDocument), "--timeout=1s", "--request=123")
	for _, m := range rig.Machines {
		m.Continue()
	}
	require.Contains(t, messages, "not taken by any control machine")
	require.Equal(t, 1, status)
	out, _, status = command(t, "publish", control, file(commandDocument), "--request=123")
	require.Equal(t, "committed as 3\n", out)
	require.Zero(t, status)
}

// hanging is a control machine that takes publications and never answers.
type hanging struct {
	configpb.UnimplementedControlServer
	requests chan uint64
}

func (h *hanging) Publish(ctx context.Context, r *configpb.PublishRequest) (*configpb.PublishResponse, error) {
	h.requests <- r.GetRequest()
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestPublishCommandTellsWhatItKnows(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "document.json")
	require.NoError(t, os.WriteFile(path, []byte(commandDocument), 0o600))
	_, messages, status := command(t, "publish", "--control=127.0.0.1:1", path, "--timeout=1s")
	require.Contains(t, messages, "not taken by any control machine")
	require.Equal(t, 1, status)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	machine := &hanging{requests: make(chan uint64, 10)}
	server := grpc.NewServer()
	configpb.RegisterControlServer(server, machine)
	go server.Serve(listener)
	defer server.Stop()
	_, messages, status = command(t, "publish", "--control="+listener.Addr().String(), path, "--timeout=1s")
	require.Contains(t, messages, fmt.Sprintf("run again with --request %016x", <-machine.requests))
	require.Contains(t, messages, "unknown: the log may still take it")
	require.Equal(t, 3, status)
}
