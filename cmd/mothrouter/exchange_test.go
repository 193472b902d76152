package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// exchangeStep is a line of an exchange, with the lines of its message.
type exchangeStep struct{ action, message string }

// readExchange reads a file of testdata: a line is a step, and the lines of its message follow, indented by a tab.
func readExchange(t *testing.T, file string) (steps []exchangeStep) {
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	blank := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSuffix(line, "\n")
		if body, ok := strings.CutPrefix(line, "\t"); ok {
			if last := &steps[len(steps)-1]; last.message == "" {
				last.message = body
			} else {
				last.message += "\n" + blank + body
			}
			blank = ""
		} else if line == "" {
			blank += "\n"
		} else if line[0] != '#' {
			blank = ""
			steps = append(steps, exchangeStep{action: line})
		}
	}
	return steps
}

// Each exchange is played against one loop and against several: rejections and answers must not depend on the worker.
func TestRecordedExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	api := readAPIDescription(t)
	play := func(name, file string, byteByByte bool, flags ...string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlayer(t)
			p.byteByByte, p.onMessage, p.flags = byteByByte, api.checker(t), flags
			for _, step := range readExchange(t, file) {
				p.play(step.action, step.message)
			}
		})
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		play(name, file, false)
		play(name+" byte by byte", file, true)
		play(name+" on two cores", file, false, "-cores", coresFile)
	}
}
