package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/assembly"
	"mothrouter/internal/config"
)

const startupConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"peersTotal":1,
"classes":[{"name":"c","deadlineS":2,"objectiveS":1},{"name":"d","deadlineS":3}],"familyInfo":{"cells":1}}}`

// assembledProcess returns a process that is assembled but not started.
func assembledProcess(t *testing.T, files operatorFiles) *process {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(startupConfig), 0o600))
	cfg, err := config.Load(func(key string) string { return map[string]string{"PROXY_CONFIG": path}[key] })
	require.NoError(t, err)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p := &process{files: files, startedAt: time.Now(), components: &assembly.Assembly{Log: log}, startConfig: cfg, workers: 1,
		log: log}
	var cancel context.CancelFunc
	p.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	require.NoError(t, p.assemble())
	return p
}

// Without the flag -configuration there is no configuration follower, and so nothing that could change the classes of the
// Decider. With the flag there is one.
func TestAssembleAddsConfigFollowerOnlyWithFlag(t *testing.T) {
	require.Nil(t, assembledProcess(t, operatorFiles{}).configFollower)
	p := assembledProcess(t, operatorFiles{configuration: "../../deploy/configuration.toml"})
	require.NotNil(t, p.configFollower)
	require.Equal(t, 3*time.Second, p.startConfig.LongestDeadline())
}
