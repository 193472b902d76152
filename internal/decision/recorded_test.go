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

// recordedDays holds a digest of all actions of each random day, a line a day. It was recorded where the module and a
// complete second form of it, by walks over all servers, took the same actions.
const recordedDays = "testdata/days.sha256"

var recordDays = flag.Bool("record", false, "record the random days' actions, after a decision was changed on purpose")

// digestOfDay returns a digest of all that the module does on a random day, to the bit of every time.
func digestOfDay(seed uint64) string {
	d := newRandomDay(seed)
	policy := New(d.settings, seed)
	digest := sha256.New()
	events := []Event{EndpointUpdate{Mode: FullUpdate, Servers: d.servers}}
	for batch := range differentialBatches {
		if batch > 0 {
			events = d.nextEvents()
		}
		actions := policy.Handle(d.now, events)
		for _, action := range actions {
			fmt.Fprintf(digest, "%d %T %+v\n", batch, action, action)
		}
		d.perform(actions)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// The module decides as recorded, also where the plain form shares its code.
func TestDecisionsEqualTheRecordedPlainForm(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the last bit of a power differs between architectures")
	}
	var digests []string
	for seed := range uint64(*differentialDays) {
		digests = append(digests, digestOfDay(seed))
	}
	if *recordDays {
		require.NoError(t, os.WriteFile(recordedDays, []byte(strings.Join(digests, "\n")+"\n"), 0o644))
	}
	text, err := os.ReadFile(recordedDays)
	require.NoError(t, err)
	recorded := strings.Fields(string(text))
	compared := min(len(recorded), len(digests))
	require.Positive(t, compared)
	require.Equal(t, recorded[:compared], digests[:compared], "the actions of a day differ from the recorded ones")
}
