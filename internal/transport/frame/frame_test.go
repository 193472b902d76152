package frame_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/transport/frame"
)

// feed hands bytes to a reader, step at a time, and returns what it says, a line a message.
func feed(in []byte, step int) string {
	var d frame.Reader
	var said strings.Builder
	for len(in) > 0 {
		n := copy(d.Grow(), in[:min(step, len(in))])
		d.Advance(n)
		in = in[n:]
		for {
			m, ok, err := d.Next()
			if err != nil {
				fmt.Fprintf(&said, "error: %v\n", err)
				return said.String()
			}
			if !ok {
				break
			}
			if m.Type == 'R' {
				r := m.Reply
				fmt.Fprintf(&said, "R %s %d %g/%g %q\n", r.ID, r.Status, r.LoadReport.InFlight, r.LoadReport.Utilization, r.Value)
			} else {
				fmt.Fprintf(&said, "%c %q\n", m.Type, m.Body)
			}
		}
	}
	return said.String()
}

// Each case of testdata/frames.txt is bytes as recorded, quoted, and behind them what the machine says,
// whole and byte by byte.
func TestReader(t *testing.T) {
	text, err := os.ReadFile("testdata/frames.txt")
	require.NoError(t, err)
	for _, c := range strings.Split(strings.TrimSpace(string(text)), "\n\n") {
		quoted, want, _ := strings.Cut(c, "\n")
		var in string
		_, err := fmt.Sscanf(quoted, "%q", &in)
		require.NoError(t, err, quoted)
		for _, step := range []int{1, 3, len(in)} {
			require.Equal(t, want+"\n", feed([]byte(in), step), "%s in steps of %d", quoted, step)
		}
	}
}

func TestAppend(t *testing.T) {
	b := frame.AppendCall(nil, frame.Call{ID: frame.PartID("9b1f03aa5c7e2d41", 3, false), Shard: 3, WaitMS: 240, Payload: []byte("c41e77d0")})
	require.Equal(t, "\x00\x00\x00\x26S9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d0", string(b))
	second := frame.Call{ID: frame.PartID("q", 7, true), Shard: 7, WaitMS: 90, Payload: []byte("x"), SecondPhase: true,
		AnsweredShards: []int{3, 5, 7}, FirstComplete: true}
	require.Equal(t, "\x00\x00\x00\x25Sq.7.p2 7 d=90,from=3+5+7,whole=1 1\nx", string(frame.AppendCall(nil, second)))
	second.AnsweredShards, second.FirstComplete = []int{7}, false
	require.Equal(t, "\x00\x00\x00\x21Sq.7.p2 7 d=90,from=7,whole=0 1\nx", string(frame.AppendCall(nil, second)))
	require.Equal(t, "\x00\x00\x00\x01M\x00\x00\x00\x04Cq.1", string(frame.Append(frame.Append(nil, 'M', ""), 'C', "q.1")))
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x0bRq.1 done 1 -\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if whole := feed(in, max(len(in), 1)); whole != feed(in, 1) {
			t.Errorf("byte by byte it says something else than %q", whole)
		}
	})
}

func TestScore(t *testing.T) {
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
		var d frame.Reader
		b := frame.Append(nil, 'R', line+"\nvalue")
		d.Advance(copy(d.Grow(), b))
		m, ok, err := d.Next()
		require.NoError(t, err, line)
		require.True(t, ok, line)
		require.Equal(t, want.score, m.Reply.Score, line)
		require.Equal(t, want.scored, m.Reply.Scored, line)
		require.Equal(t, "value", string(m.Reply.Value))
	}
}
