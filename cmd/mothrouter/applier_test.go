package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/assembly"
	"mothrouter/internal/broker"
	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/decision"
)

const startFile = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"peersTotal":1,
"classes":[{"name":"c","deadlineS":2,"objectiveS":1},{"name":"d","deadlineS":3}],"familyInfo":{"cells":1}}}`

// assembledProcess is a process that is put together, not started.
func assembledProcess(t *testing.T, files operatorFiles) *process {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(startFile), 0o600))
	cfg, err := config.Load(func(key string) string { return map[string]string{"PROXY_CONFIG": path}[key] })
	require.NoError(t, err)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p := &process{files: files, started: time.Now(), components: &assembly.Assembly{Log: log}, startConfig: cfg, workers: 1,
		log: log}
	var cancel context.CancelFunc
	p.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	require.NoError(t, p.assemble())
	return p
}

// changeRecorder is a core that keeps the changes it is handed.
type changeRecorder struct {
	core
	changes []broker.Change
	err     error
}

func (c *changeRecorder) Configure(change broker.Change) error {
	if c.err == nil {
		c.changes = append(c.changes, change)
	}
	return c.err
}

// Without the flag there is no client of control machines, and so nobody who could have the core tell its Decider of
// changed classes. With it there is one.
func TestAssembleAddsConfigFollowerOnlyWithFlag(t *testing.T) {
	require.Nil(t, assembledProcess(t, operatorFiles{}).configFollower)
	p := assembledProcess(t, operatorFiles{configuration: "../../deploy/configuration.toml"})
	require.NotNil(t, p.configFollower)
	require.Equal(t, 3*time.Second, p.startConfig.LongestDeadline())
}

// A revision is applied whole or refused by its key, and then changes neither the core nor discovery.
func TestApplierAppliesRevisionOrRejectsByKey(t *testing.T) {
	p := assembledProcess(t, operatorFiles{})
	start, err := p.startConfig.Document()
	require.NoError(t, err)
	core, moves := &changeRecorder{}, []string(nil)
	a := &applier{start: start, core: core, log: p.log,
		discovery: &discoverySwitch{address: "127.0.0.1:2", log: p.log, changeAddress: func(to string) { moves = append(moves, to) }}}
	settings := startFile[strings.Index(startFile, `"settings"`):]
	apply := func(document string) *configpb.Refusal {
		return a.apply(&configpb.Revision{Number: 7, Document: []byte(document)})
	}
	require.Nil(t, apply(`{"discovery":"127.0.0.1:3",`+strings.Replace(settings, `"deadlineS":2`, `"deadlineS":4`, 1)))
	require.Equal(t, []string{"127.0.0.1:3"}, moves)
	require.Len(t, core.changes, 1)
	require.Equal(t, 4., core.changes[0].Classes[0].Deadline)
	require.Equal(t, 2., p.startConfig.Settings.Classes[0].Deadline, "the start's classes were written to")

	// with is a document whose settings have one text in place of another.
	with := func(before, after string) string {
		require.Contains(t, settings, before)
		return `{"discovery":"127.0.0.1:4",` + strings.Replace(settings, before, after, 1)
	}
	long := with(`{"peersTotal"`, `{"`+strings.Repeat("é", 300)+`":1,"peersTotal"`)
	for key, document := range map[string]string{
		"document":                             `{`,
		"settings.peersTotal":                  with(`"peersTotal":1`, `"peersTotal":2`),
		"discovery":                            `{"discovery":"x",` + settings,
		"settings.classes[1].deadlineS":        with(`"deadlineS":3`, `"deadlineS":0`),
		"settings." + strings.Repeat("é", 123): long,
	} {
		refused := apply(document)
		require.Equal(t, []any{uint64(7), key}, []any{refused.GetNumber(), refused.GetKey()})
		require.LessOrEqual(t, len(refused.GetKey()), configpb.MaxRejectionKey)
		require.NotEmpty(t, refused.GetReason())
	}
	core.err = broker.ErrEnded
	require.Equal(t, "settings", apply(`{"discovery":"127.0.0.1:4",`+settings).GetKey())
	require.Len(t, core.changes, 1)
	require.Len(t, moves, 1)
}

// A process that ends plans by the longest deadline in force once revisions may change it, and by the file's where none
// can or the loop has ended.
func TestShutdownPlannedByLongestDeadlineInForce(t *testing.T) {
	p := assembledProcess(t, operatorFiles{configuration: "../../deploy/configuration.toml"})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.core.Run(ctx)
	}()
	classes := append([]decision.Class(nil), p.startConfig.Settings.Classes...)
	classes[0].Deadline = 9
	require.NoError(t, p.core.Configure(broker.Change{Classes: classes}))
	require.Equal(t, 9*time.Second, p.longestDeadline())
	classes[0].Deadline, classes[1].Deadline = 1, 1.5
	require.NoError(t, p.core.Configure(broker.Change{Classes: classes}))
	require.Equal(t, 1500*time.Millisecond, p.longestDeadline())
	cancel()
	<-ended
	require.Equal(t, 3*time.Second, p.longestDeadline())
	require.Equal(t, 3*time.Second, assembledProcess(t, operatorFiles{}).longestDeadline())
}
