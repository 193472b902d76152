package broker_test

import (
	"math"
	"slices"
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

// Guards against queries whose weights do not sum to 1 and are served and marked complete: only what the rounding of each weight
// explains is accepted.
func TestNormalizeAcceptsOnlyRoundedWeights(t *testing.T) {
	equal := func(parts int, weight float64) []float64 { return slices.Repeat([]float64{weight}, parts) }
	for name, c := range map[string]struct {
		weights []float64
		valid   bool
	}{
		"exact":                       {[]float64{0.3, 0.3, 0.2, 0.2}, true},
		"float64":                     {[]float64{0.1, 0.7, 0.2}, true},
		"thirds":                      {equal(3, 1.0/3), true},
		"thirds in thousandths":       {equal(3, 0.333), true},
		"thirds in hundredths":        {equal(3, 0.33), true},
		"sevenths in hundredths":      {equal(7, 0.14), true},
		"three digits":                {[]float64{0.0417, 0.958}, true},
		"36 parts in thousandths":     {equal(36, 0.028), true},
		"sum 0.955":                   {[]float64{0.3, 0.3, 0.2, 0.155}, false},
		"sum 1.045":                   {[]float64{0.3, 0.3, 0.3, 0.145}, false},
		"sum 0.97 in hundredths":      {[]float64{0.25, 0.25, 0.25, 0.22}, false},
		"sum 0.99 in thousandths":     {[]float64{0.333, 0.333, 0.324}, false},
		"sum 0.94 of 36 hundredths":   {append(equal(34, 0.02), 0.13, 0.13), false},
		"single weight under 1":       {[]float64{0.98}, false},
		"single weight over 1":        {[]float64{1.045}, false},
		"single weight a little over": {[]float64{1.0001}, false},
		"weight under 0":              {[]float64{1, -0.001}, false},
		"not a number":                {[]float64{math.NaN(), 1}, false},
	} {
		r := &broker.Request{ID: "q", Timeout: time.Second}
		for shard, weight := range c.weights {
			r.Parts = append(r.Parts, broker.Part{Shard: shard, Weight: weight})
		}
		err := r.Normalize(0)
		require.Equal(t, c.valid, err == nil, "%s: %v", name, err)
	}
}
