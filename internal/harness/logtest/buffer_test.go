package logtest_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/logtest"
)

func TestBufferKeepsLinesOfConcurrentWriters(t *testing.T) {
	const writers, lines = 4, 50
	var log logtest.Buffer
	require.Empty(t, log.String())
	var running sync.WaitGroup
	for range writers {
		running.Go(func() {
			for range lines {
				fmt.Fprintln(&log, "line")
				_ = log.String()
			}
		})
	}
	running.Wait()
	require.Equal(t, strings.Repeat("line\n", writers*lines), log.String())
}
