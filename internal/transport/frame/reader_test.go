package frame_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/wiretest"
)

// readMessages feeds input to a Reader, size bytes at a time, and returns a line for each message and one for the error.
func readMessages(input []byte, size int) string {
	var r frame.Reader
	var out strings.Builder
	failed := false
	wiretest.Feed(&r, input, size, func() bool {
		m, ok, err := r.Next()
		if err != nil && !failed {
			failed = true
			fmt.Fprintf(&out, "error: %v\n", err)
		}
		if ok {
			out.WriteString(formatMessage(m))
		}
		return ok
	})
	return out.String()
}

func formatMessage(m frame.Message) string {
	if m.Type != frame.TypeReply {
		return fmt.Sprintf("%c %q\n", m.Type, m.Body)
	}
	r := m.Reply
	return fmt.Sprintf("R %s %d %g/%g %q\n", r.ID, r.Status, r.LoadReport.InFlight, r.LoadReport.Utilization, r.Value)
}

func TestReaderReturnsRecordedMessages(t *testing.T) {
	wiretest.Replay(t, "testdata/frames.txt", 3, readMessages)
}

func TestReaderErrorHasLimitAndOffset(t *testing.T) {
	valid := string(frame.Append(nil, frame.TypeHealth, "done"))
	for name, c := range map[string]struct {
		input string
		limit int
	}{
		"length":       {"\xff\xff\xff\xffR", frame.MaxFrame},
		"type":         {"\x00\x00\x00\x02\x01x", 0},
		"line":         {"\x00\x00\x02\x00R" + strings.Repeat("x", 512), 512},
		"reply status": {"\x00\x00\x00\x0dRq.1 odd 0 -\n", 0},
	} {
		var r frame.Reader
		var err error
		wiretest.Feed(&r, []byte(valid+c.input), 3, func() bool {
			var ok bool
			_, ok, err = r.Next()
			return ok
		})
		var protocolError *frame.Error
		require.True(t, errors.As(err, &protocolError), name)
		require.Equal(t, c.limit, protocolError.Limit, name)
		require.EqualValues(t, len(valid), protocolError.Offset, name)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x0bRq.1 done 1 -\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		if want := readMessages(input, max(len(input), 1)); want != readMessages(input, 1) {
			t.Errorf("messages differ when input is fed byte by byte: want %q", want)
		}
	})
}

func TestReplyScore(t *testing.T) {
	for line, want := range map[string]struct {
		score  int64
		scored bool
	}{
		"q.1 done 1840277719 inflight=7": {1840277719, true},
		"q.1 done -5":                    {-5, true},
		"q.1 done":                       {0, false},
		"q.1 done - -":                   {0, false},
		"q.1 done 1e99 -":                {0, false},
	} {
		var r frame.Reader
		r.Advance(copy(r.Grow(), frame.Append(nil, frame.TypeReply, line+"\nvalue")))
		m, ok, err := r.Next()
		require.NoError(t, err, line)
		require.True(t, ok, line)
		require.Equal(t, want.score, m.Reply.Score, line)
		require.Equal(t, want.scored, m.Reply.Scored, line)
		require.Equal(t, "value", string(m.Reply.Value))
	}
}
