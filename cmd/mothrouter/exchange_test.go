package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// exchangeStep is a step of an exchange, with its message if it has one.
type exchangeStep struct{ action, message string }

// readExchange reads a file of testdata: each line is a step, and the lines of its message follow, indented by a tab.
func readExchange(t *testing.T, file string) (steps []exchangeStep) {
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	blankLines := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSuffix(line, "\n")
		if body, ok := strings.CutPrefix(line, "\t"); ok {
			if last := &steps[len(steps)-1]; last.message == "" {
				last.message = body
			} else {
				last.message += "\n" + blankLines + body
			}
			blankLines = ""
		} else if line == "" {
			blankLines += "\n"
		} else if line[0] != '#' {
			blankLines = ""
			steps = append(steps, exchangeStep{action: line})
		}
	}
	return steps
}

// Each exchange is replayed against a broker with one loop and a broker with several, since rejections and answers must not
// depend on the worker that serves a query.
func TestRecordedExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	api := readAPIDescription(t)
	replay := func(name, file string, byteByByte bool, flags ...string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replayer := newReplayer(t)
			replayer.byteByByte, replayer.onMessage, replayer.flags = byteByByte, api.checker(t), flags
			for _, step := range readExchange(t, file) {
				replayer.replayStep(step.action, step.message)
			}
		})
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		replay(name, file, false)
		replay(name+" byte by byte", file, true)
		replay(name+" on two cores", file, false, "-cores", coresFile)
	}
}
