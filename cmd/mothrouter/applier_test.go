package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/controlplane/configpb"
)

// changeRecorder is a core whose Configure records changes, or returns err if that is not nil.
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

// A revision is either applied completely, or rejected with the invalid key. Then it changes neither the core nor the
// address of the discovery service.
func TestApplierAppliesOrRejectsRevision(t *testing.T) {
	p := assembledProcess(t, operatorFiles{})
	startup, err := p.startConfig.Document()
	require.NoError(t, err)
	core := &changeRecorder{}
	var addresses []string
	discovery := &discoverySwitch{
		address: "127.0.0.1:2", log: p.log, changeAddress: func(to string) { addresses = append(addresses, to) },
	}
	revisionApplier := &applier{startup: startup, core: core, log: p.log, discovery: discovery}
	settings := startupConfig[strings.Index(startupConfig, `"settings"`):]
	apply := func(document string) *configpb.Refusal {
		return revisionApplier.apply(&configpb.Revision{Number: 7, Document: []byte(document)})
	}
	require.Nil(t, apply(`{"discovery":"127.0.0.1:3",`+strings.Replace(settings, `"deadlineS":2`, `"deadlineS":4`, 1)))
	require.Equal(t, []string{"127.0.0.1:3"}, addresses)
	require.Len(t, core.changes, 1)
	require.Equal(t, 4., core.changes[0].Classes[0].Deadline)
	require.Equal(t, 2., p.startConfig.Settings.Classes[0].Deadline, "Configure modified the startup configuration's classes")

	// withReplaced returns a document in whose settings one text is replaced by another.
	withReplaced := func(before, after string) string {
		require.Contains(t, settings, before)
		return `{"discovery":"127.0.0.1:4",` + strings.Replace(settings, before, after, 1)
	}
	documentWithLongKey := withReplaced(`{"peersTotal"`, `{"`+strings.Repeat("é", 300)+`":1,"peersTotal"`)
	for key, document := range map[string]string{
		"document":                             `{`,
		"settings.peersTotal":                  withReplaced(`"peersTotal":1`, `"peersTotal":2`),
		"discovery":                            `{"discovery":"x",` + settings,
		"settings.classes[1].deadlineS":        withReplaced(`"deadlineS":3`, `"deadlineS":0`),
		"settings." + strings.Repeat("é", 123): documentWithLongKey,
	} {
		rejection := apply(document)
		require.Equal(t, []any{uint64(7), key}, []any{rejection.GetNumber(), rejection.GetKey()})
		require.LessOrEqual(t, len(rejection.GetKey()), configpb.MaxRejectionKey)
		require.NotEmpty(t, rejection.GetReason())
	}
	core.err = broker.ErrEnded
	require.Equal(t, "settings", apply(`{"discovery":"127.0.0.1:4",`+settings).GetKey())
	require.Len(t, core.changes, 1)
	require.Len(t, addresses, 1)
}
