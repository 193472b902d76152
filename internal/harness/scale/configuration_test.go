package scale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configpb"
)

// Documents of consecutive numbers have the requested size, are valid, and differ only in settings that a running broker
// accepts.
func TestNewDocumentIsValidAndHasRequestedSize(t *testing.T) {
	for _, kb := range []int{2, 4, 16, 32, 64} {
		size := kb * bytesPerKB
		first, err := config.ParseDocument(newDocument(0, size))
		require.NoError(t, err)
		require.Len(t, newDocument(1, size), size)
		second, err := config.ParseDocument(newDocument(1, size))
		require.NoError(t, err)
		require.NoError(t, second.CheckChangeFrom(first))
		require.NotEqual(t, first.Classes, second.Classes)
		// The document consists mostly of settings and not of padding.
		require.Greater(t, float64(len(first.Classes)), 0.75*float64(size-documentFrameBytes)/classBytes)
	}
}

// A follower rejects documents that a broker rejects, and keeps its revision in force.
func TestFollowerRejectsInvalidDocuments(t *testing.T) {
	const size = 4 * bytesPerKB
	startup, err := config.ParseDocument(newDocument(0, size))
	require.NoError(t, err)
	f := &follower{startup: startup}
	require.Nil(t, f.apply(newRevision(1, size)))
	require.True(t, f.hasInForce(1))
	truncated := &configpb.Revision{Number: 2, Document: newDocument(2, size)[:size/2]}
	require.NotNil(t, f.apply(truncated))
	otherClasses := &configpb.Revision{Number: 2, Document: newDocument(2, 2*size)}
	require.NotNil(t, f.apply(otherClasses))
	require.False(t, f.hasInForce(2))
}

func TestAcceptCountsReturnBusiestSecond(t *testing.T) {
	start := time.Now()
	l := &countingListener{total: 6}
	for _, ms := range []int{0, 400, 999, 1000, 1399, 5000} {
		l.accepts = append(l.accepts, start.Add(time.Duration(ms)*time.Millisecond))
	}
	total, maxPerSecond := l.acceptCounts()
	require.Equal(t, 6, total)
	require.Equal(t, 4, maxPerSecond, "the connections accepted at 400, 999, 1,000 and 1,399 ms")
	_, maxPerSecond = l.acceptCounts()
	require.Zero(t, maxPerSecond, "each call resets the maximum")
}

// In a small run all followers are connected, a change transfers about the bytes of its document, and a change is read
// before it is in force.
func TestMeasureConfigurationReadingsAreConsistent(t *testing.T) {
	sizes := smallConfiguration()[0]
	readings, err := measureConfiguration(sizes, 1)
	require.NoError(t, err)
	value := map[string]float64{}
	for _, r := range readings {
		value[r.Name] = r.Value
	}
	brokers, document := sizes.Of(axisBrokers), sizes.Of(axisDocument)*bytesPerKB
	require.Equal(t, brokers, value["streams of the busiest hub"])
	require.Positive(t, value["start at once: all follow"])
	require.Less(t, value["in force at all"], TargetPropagationTime)
	require.LessOrEqual(t, value["read at all"], value["in force at all"])
	require.LessOrEqual(t, value["in force at 99 in 100"], value["in force at all"])
	expectedBytes := document * smallSpeedup / publishInterval.Seconds() // per second
	require.Greater(t, value["bytes in"], expectedBytes/2)
	require.Less(t, value["bytes in"], expectedBytes*2)
	require.InDelta(t, brokers*value["bytes in"], value["bytes out of the busiest hub"], 1)
	require.Positive(t, value["processor"])
	require.Positive(t, value["processor of the busiest hub"])
}

// The verdict holds for values equal to the limits and changes when any one of them exceeds its limit.
func TestDistributionVerdictAtEachLimit(t *testing.T) {
	verdictWithoutRecord, err := page{}.distributionVerdict()
	require.NoError(t, err)
	require.Equal(t, notRun, verdictWithoutRecord)
	for _, test := range []struct {
		inForce, processor, in, out float64
		verdict                     string
	}{
		{8, 11_000, 29_000, 29_000, "carries, without the log"},
		{8.1, 11_000, 29_000, 29_000, "carries not: in force at all"},
		{8, 11_001, 29_000, 29_000, "carries not: processor"},
		{8, 11_000, 29_001, 29_000, "carries not: bytes in"},
		{8, 11_000, 29_000, 29_001, "carries not: bytes out"},
	} {
		point := Point{Sizes: Sizes{{axisBrokers, TargetBrokers}}}
		point.add([]Reading{{"in force at all", "s", test.inForce}, {"processor", "µs", test.processor},
			{"bytes in", "bytes", test.in}, {"bytes out", "bytes", test.out}})
		verdict, err := page{[]*Record{{Experiment: "configuration", Points: []Point{point}}}}.distributionVerdict()
		require.NoError(t, err)
		require.Equal(t, test.verdict, verdict)
	}
}
