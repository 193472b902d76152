package scale_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/scale"
)

var (
	experimentName = flag.String("play", "", "experiment to run at its large sizes; its record is saved at -out")
	recordDir      = flag.String("out", "../../../docs/capacity", "directory of the records")
	statePath      = flag.String("state", "", "file of a run that is resumed over several calls")
	callDuration   = flag.Duration("within", 70*time.Second, "time of one call, after which the run stops between points")
	repetitions    = flag.Int("repetitions", 5, "of each point")
	seed           = flag.Uint64("seed", 1, "of the first repetition; each later one has the next")
)

func TestMain(m *testing.M) {
	if child, err := scale.ServeChild(); child {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Every experiment completes at its small sizes with a complete record.
func TestExperimentsAtSmallSizes(t *testing.T) {
	for _, e := range scale.Experiments() {
		t.Run(e.Name, func(t *testing.T) {
			r, err := scale.Run(e, scale.Plan{Points: e.SmallPoints, Repetitions: 1, Seed: 1, Commit: "test", Command: "go test"},
				nil, time.Time{})
			require.NoError(t, err)
			require.Len(t, r.Points, len(e.SmallPoints))
			path, err := r.Save(t.TempDir())
			require.NoError(t, err)
			require.FileExists(t, path)
		})
	}
}

// TestRecord runs an experiment at its large sizes and saves the record. It is skipped without -play.
func TestRecord(t *testing.T) {
	if *experimentName == "" {
		t.Skip("-play is not set")
	}
	e, err := scale.FindExperiment(*experimentName)
	require.NoError(t, err)
	var previous *scale.Record
	if *statePath != "" {
		previous, err = scale.ReadIncomplete(*statePath)
		require.NoError(t, err)
	}
	r, err := scale.Run(e, scale.Plan{Points: e.LargePoints, Repetitions: *repetitions, Seed: *seed, Commit: commit(t),
		Command: fmt.Sprintf("go test ./internal/harness/scale -run TestRecord -play %s -repetitions %d -seed %d", *experimentName,
			*repetitions, *seed)}, previous, time.Now().Add(*callDuration))
	require.NoError(t, err)
	if r.Check() == nil {
		path, err := r.Save(*recordDir)
		require.NoError(t, err)
		t.Log("saved record ", path)
		return
	}
	require.NotEmpty(t, *statePath, "run is incomplete after the -within time, and without -state its measurements are lost")
	require.NoError(t, r.SaveIncomplete(*statePath))
	t.Log("run is incomplete; repeat the command to resume it")
}

// commit returns the abbreviated hash of the measured commit. The test fails if the code has uncommitted changes.
func commit(t *testing.T) string {
	hash, err := exec.Command("git", "rev-parse", "--short=8", "HEAD").Output()
	require.NoError(t, err)
	changes, err := exec.Command("git", "status", "--porcelain", "--", "../../../internal", "../../../cmd").Output()
	require.NoError(t, err)
	require.Empty(t, strings.TrimSpace(string(changes)), "uncommitted changes: a record must name the commit that it measured")
	return strings.TrimSpace(string(hash))
}
