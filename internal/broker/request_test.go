package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
)

func TestNormalizeErrorNamesTheField(t *testing.T) {
	for want, makeInvalid := range map[string]func(*broker.Request){
		"id":                   func(r *broker.Request) { r.ID = "a b" },
		"deadline":             func(r *broker.Request) { r.Timeout = 0 },
		"targets: a":           func(r *broker.Request) { r.Parts = nil },
		"targets[1].partition": func(r *broker.Request) { r.Parts[1].Shard = 1 },
		"targets[1].share":     func(r *broker.Request) { r.Parts[1].Weight = -1 },
		"targets[0].est_us":    func(r *broker.Request) { r.Parts[0].Work = -1 },
		"targets: the shares":  func(r *broker.Request) { r.Parts[0].Weight = 0.1 },
	} {
		r := &broker.Request{ID: "q", Timeout: time.Second, Parts: []broker.Part{{Shard: 1, Weight: 0.5}, {Shard: 2, Weight: 0.4999}}}
		require.NoError(t, r.Normalize(24))
		require.InDelta(t, 1, r.Parts[0].Weight+r.Parts[1].Weight, 1e-9) // weights are scaled to a sum of 1
		makeInvalid(r)
		require.ErrorContains(t, r.Normalize(24), want)
	}
}
