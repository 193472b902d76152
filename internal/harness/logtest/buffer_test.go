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
	const (
		writers        = 4
		linesPerWriter = 50
	)
	var log logtest.Buffer
	require.Empty(t, log.String())
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range linesPerWriter {
				fmt.Fprintln(&log, "line")
				_ = log.String()
			}
		})
	}
	wg.Wait()
	require.Equal(t, strings.Repeat("line\n", writers*linesPerWriter), log.String())
}
