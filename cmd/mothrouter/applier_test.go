package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/controlplane/configpb"
)

// changeRecorder is a core that records the changes it is configured with, or returns err.
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

// A revision is applied completely, or rejected by its key and then changes neither the core nor discovery.
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
		rejection := apply(document)
		require.Equal(t, []any{uint64(7), key}, []any{rejection.GetNumber(), rejection.GetKey()})
		require.LessOrEqual(t, len(rejection.GetKey()), configpb.MaxRejectionKey)
		require.NotEmpty(t, rejection.GetReason())
	}
	core.err = broker.ErrEnded
	require.Equal(t, "settings", apply(`{"discovery":"127.0.0.1:4",`+settings).GetKey())
	require.Len(t, core.changes, 1)
	require.Len(t, moves, 1)
}
