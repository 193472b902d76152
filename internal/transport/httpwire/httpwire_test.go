package httpwire_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/transport/httpwire"
)

// machine is what the two readers have in common.
type machine interface {
	Grow() []byte
	Advance(int)
}

// feed hands bytes to a machine, step at a time, and has take look after each.
func feed(m machine, in []byte, step int, take func() (more bool)) {
	for len(in) > 0 {
		n := copy(m.Grow(), in[:min(step, len(in))])
		m.Advance(n)
		in = in[n:]
		for take() {
		}
	}
}

func requests(in []byte, step int) string {
	var d httpwire.RequestReader
	var said strings.Builder
	failed := false
	feed(&d, in, step, func() bool {
		r, err := d.Next()
		if err != nil && !failed {
			failed = true
			fmt.Fprintf(&said, "error: %v\n", err)
		}
		if r != nil {
			fmt.Fprintf(&said, "%s %s close=%v class=%q body=%q\n", r.Method, r.Path, r.Close, r.Header.Get("X-Class"), r.Body)
		}
		return r != nil
	})
	return said.String()
}

func lines(in []byte, step int) string {
	var d httpwire.LineReader
	var said strings.Builder
	failed := false
	feed(&d, in, step, func() bool {
		line, ok, err := d.Next()
		if err != nil && !failed {
			failed = true
			fmt.Fprintf(&said, "error: %v\n", err)
		}
		if ok {
			fmt.Fprintf(&said, "%d %q\n", d.Status(), line)
		}
		return ok
	})
	if d.Done() {
		said.WriteString("done\n")
	}
	return said.String()
}

// Each case of the files is bytes as recorded, quoted, and behind them what the machine says, whole and
// byte by byte.
func TestMachines(t *testing.T) {
	for file, run := range map[string]func([]byte, int) string{"requests": requests, "lines": lines} {
		text, err := os.ReadFile("testdata/" + file + ".txt")
		require.NoError(t, err)
		for _, c := range strings.Split(strings.TrimSpace(string(text)), "\n\n") {
			quoted, want, _ := strings.Cut(c, "\n")
			var in string
			_, err := fmt.Sscanf(quoted, "%q", &in)
			require.NoError(t, err, quoted)
			for _, step := range []int{1, 7, len(in)} {
				require.Equal(t, want+"\n", run([]byte(in), step), "%.80s in steps of %d", quoted, step)
			}
		}
	}
}

func FuzzMachines(f *testing.F) {
	f.Add([]byte("POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na\nbcd"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if whole := requests(in, 512); whole != requests(in, 1) {
			t.Errorf("byte by byte requests differ from %q", whole)
		}
		lines(in, 1)
		lines(in, 512)
	})
}

// A query's key comes as the parameter obj. Keys are only compared, so that any text is one.
func TestQueryKey(t *testing.T) {
	key := func(target string) (uint64, error) {
		var d httpwire.RequestReader
		text := "POST " + target + " HTTP/1.1\r\nX-Request-Id: q\r\nX-Deadline: 10m\r\nContent-Length: 2\r\n\r\n{}"
		d.Advance(copy(d.Grow(), text))
		r, err := d.Next()
		require.NoError(t, err)
		require.Equal(t, "c", r.Class())
		q, err := httpwire.ParseQuery(r)
		if err != nil {
			return 0, err
		}
		return q.Key, nil
	}
	for target, want := range map[string]uint64{
		"/c": 0, "/c?": 0, "/c?obj=": 0, "/c?other=1": 0,
		"/c?obj=7f3a9c21e0b4d655": 0x7f3a9c21e0b4d655, "/c?a=b&obj=ff": 0xff,
	} {
		got, err := key(target)
		require.NoError(t, err, target)
		require.Equal(t, want, got, target)
	}
	one, _ := key("/c?obj=case%2017")
	other, _ := key("/c?obj=case%2018")
	require.NotZero(t, one)
	require.NotEqual(t, one, other)
	_, err := key("/c?obj=%zz")
	require.Error(t, err)
}
