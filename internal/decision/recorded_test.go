package decision

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordedDigestsFile holds one digest per line, of all actions in one random scenario. It was recorded when the package and a
// complete second implementation of it, which iterated over all servers, gave the same actions.
const recordedDigestsFile = "testdata/days.sha256"

var recordDigests = flag.Bool("record", false, "record the digests of the scenarios, after an intentional change of decisions")

// scenarioDigest returns a digest of all actions of a Policy in a random scenario, with times at full precision.
func scenarioDigest(seed uint64) string {
	sc := newRandomScenario(seed)
	policy := New(sc.settings, seed)
	digest := sha256.New()
	events := []Event{EndpointUpdate{Mode: FullUpdate, Servers: sc.servers}}
	for batch := range differentialBatches {
		if batch > 0 {
			events = sc.nextEvents()
		}
		actions := policy.Handle(sc.now, events)
		for _, action := range actions {
			fmt.Fprintf(digest, "%d %T %+v\n", batch, action, action)
		}
		sc.perform(actions)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// The actions of a Policy must equal the recorded ones. This also covers code that the reference implementation shares.
func TestDecisionsEqualTheRecordedPlainForm(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the last bit of math.Pow results differs between architectures; digests were recorded on amd64")
	}
	var digests []string
	for seed := range uint64(*differentialScenarios) {
		digests = append(digests, scenarioDigest(seed))
	}
	if *recordDigests {
		require.NoError(t, os.WriteFile(recordedDigestsFile, []byte(strings.Join(digests, "\n")+"\n"), 0o644))
	}
	text, err := os.ReadFile(recordedDigestsFile)
	require.NoError(t, err)
	recorded := strings.Fields(string(text))
	compared := min(len(recorded), len(digests))
	require.Positive(t, compared)
	require.Equal(t, recorded[:compared], digests[:compared], "the actions in a scenario differ from the recorded ones")
}
