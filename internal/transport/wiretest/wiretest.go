// Package wiretest feeds recorded bytes to the transport's state machines in tests.
package wiretest

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// StateMachine is a state machine that receives bytes.
type StateMachine interface {
	Grow() []byte
	Advance(n int)
}

// Feed passes input to m, size bytes at a time. After each piece it calls next until next returns false.
func Feed(m StateMachine, input []byte, size int, next func() (more bool)) {
	for len(input) > 0 {
		n := copy(m.Grow(), input[:min(size, len(input))])
		m.Advance(n)
		input = input[n:]
		for next() {
		}
	}
}

// Replay runs each case of a file: a line with the quoted input, then the lines that run must return for it. Cases are
// separated by an empty line. Each is run with the input in one piece, in pieces of size bytes, and byte by byte.
func Replay(t *testing.T, file string, size int, run func(input []byte, size int) string) {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	for _, c := range strings.Split(strings.TrimSpace(string(text)), "\n\n") {
		quoted, want, _ := strings.Cut(c, "\n")
		var input string
		_, err := fmt.Sscanf(quoted, "%q", &input)
		require.NoError(t, err, quoted)
		for _, n := range []int{1, size, len(input)} {
			require.Equal(t, want+"\n", run([]byte(input), n), "%.80s in pieces of %d", quoted, n)
		}
	}
}
