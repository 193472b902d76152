package httpwire_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/transport/httpwire"
)

// queryKey returns the routing key of a query whose request has the target.
func queryKey(t *testing.T, target string) (uint64, error) {
	var reader httpwire.RequestReader
	text := "POST " + target + " HTTP/1.1\r\nX-Request-Id: q\r\nX-Deadline: 10m\r\nContent-Length: 25\r\n\r\n{\"targets\":[],\"query\":\"\"}"
	reader.Advance(copy(reader.Grow(), text))
	request, err := reader.Next()
	require.NoError(t, err)
	require.Equal(t, "c", request.Class())
	query, err := httpwire.ParseQuery(request)
	if err != nil {
		return 0, err
	}
	return query.Key, nil
}

// The key is the parameter obj. Keys are only compared for equality, so any text is valid.
func TestParseQueryKey(t *testing.T) {
	for target, want := range map[string]uint64{
		"/c": 0, "/c?": 0, "/c?obj=": 0, "/c?other=1": 0,
		"/c?obj=7f3a9c21e0b4d655": 0x7f3a9c21e0b4d655, "/c?a=b&obj=ff": 0xff,
	} {
		got, err := queryKey(t, target)
		require.NoError(t, err, target)
		require.Equal(t, want, got, target)
	}
	one, _ := queryKey(t, "/c?obj=case%2017")
	other, _ := queryKey(t, "/c?obj=case%2018")
	require.NotZero(t, one)
	require.NotEqual(t, one, other)
	_, err := queryKey(t, "/c?obj=%zz")
	require.Error(t, err)
}

// Guards against a query under an id, class, deadline or key that another parser would not read: of repeated fields the first
// counted, and one that could not be read counted as missing.
func TestQueryRejectsRepeatedAndUnreadableFields(t *testing.T) {
	const body = `{"targets":[{"partition":0,"share":1}],"query":"x"}`
	parse := func(target, fields string) error {
		var reader httpwire.RequestReader
		text := fmt.Sprintf("POST %s HTTP/1.1\r\nX-Request-Id: q\r\nX-Deadline: 10m\r\n%sContent-Length: %d\r\n\r\n%s",
			target, fields, len(body), body)
		reader.Advance(copy(reader.Grow(), text))
		request, err := reader.Next()
		if err == nil {
			_, err = httpwire.ParseQuery(request)
		}
		return err
	}
	for target, fields := range map[string]string{"/c": "", "/c?obj=1": "X-Class: c\r\nX-Retry: 1\r\n", "/c/x": "X-Retry: 0\r\n"} {
		require.NoError(t, parse(target, fields), fields)
	}
	for _, fields := range []string{
		"X-Request-Id: r\r\n", "x-request-id: q\r\n", "X-Deadline: 20m\r\n", "X-Class: c\r\nX-Class: d\r\n", "X-Class:\r\n",
		"X-Retry: 1\r\nX-Retry: 1\r\n", "X-Retry:\r\n", "X-Retry: yes\r\n", "X-Retry: 1, 1\r\n",
	} {
		require.Error(t, parse("/c", fields), fields)
	}
	for _, target := range []string{"/c?obj=1&obj=2", "/c?obj=1&obj=", "/c?obj=%ff"} {
		require.Error(t, parse(target, ""), target)
	}
}
