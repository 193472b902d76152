package scale_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/scale"
)

var update = flag.Bool("update", false, "write docs/CAPACITY.md anew from docs/capacity")

const (
	pagePath   = "../../../docs/CAPACITY.md"
	recordsDir = "../../../docs/capacity"
)

// docs/CAPACITY.md must equal the page rendered from the records.
func TestPageMatchesRecords(t *testing.T) {
	records, err := scale.ReadRecords(recordsDir)
	require.NoError(t, err)
	require.NotEmpty(t, records)
	page, err := scale.Page(records)
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(pagePath, page, 0o644))
	}
	committed, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	want, got := strings.Split(string(page), "\n"), strings.Split(string(committed), "\n")
	for i := range min(len(want), len(got)) {
		require.Equal(t, want[i], got[i],
			"line %d; run `go test ./internal/harness/scale -run TestPage -update` to render the page again", i+1)
	}
	require.Len(t, got, len(want))
}

// Changing the values of any record changes the page, so that no record is left out and no figure is written by hand.
func TestPageDependsOnEveryRecord(t *testing.T) {
	records, err := scale.ReadRecords(recordsDir)
	require.NoError(t, err)
	page, err := scale.Page(records)
	require.NoError(t, err)
	for _, r := range records {
		for p := range r.Points {
			for m := range r.Points[p].Measures {
				for v := range r.Points[p].Measures[m].Values {
					r.Points[p].Measures[m].Values[v] *= 1.5
				}
			}
		}
		changed, err := scale.Page(records)
		require.NoError(t, err)
		require.NotEqual(t, string(page), string(changed), r.Experiment)
		page = changed
	}
}

func TestPageMarksMissingRuns(t *testing.T) {
	page, err := scale.Page(nil)
	require.NoError(t, err)
	require.Contains(t, string(page), "| service: processor a query | servers, parts=300 | not run |")
	require.NotContains(t, string(page), "NaN")
}
