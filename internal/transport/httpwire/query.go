package httpwire

import (
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"mothrouter/internal/broker"
	"mothrouter/internal/transport/strictjson"
)

// Class returns the query class, which is the first segment of the request's path.
func (r *Request) Class() string {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	return class
}

// ParseQuery parses the request of a query; it does not set the class. The result does not refer to the reader's buffer. Its
// errors are *Error.
func ParseQuery(r *Request) (*broker.Request, error) {
	if class := r.Fields.Class; class != "" && class != r.Class() {
		return nil, malformed("X-Class is %q, but the path says %q", class, r.Class())
	}
	retry, err := parseRetry(r.Fields.Retry)
	if err != nil {
		return nil, err
	}
	q := &broker.Request{ID: r.Fields.ID, Retry: retry}
	var body Body
	if err := strictjson.Unmarshal(r.Body, &body); err != nil {
		return nil, malformed("body: %v", err)
	}
	if q.Timeout, err = parseDeadline(r.Fields.Deadline); err != nil {
		return nil, err
	}
	if q.Parts, err = body.Parts(); err != nil {
		return nil, malformed("%v", err)
	}
	if q.Key, err = parseKey(r.Query); err != nil {
		return nil, err
	}
	q.Payload = []byte(body.Query)
	return q, nil
}

// parseKey returns the routing key of a query from the parameter obj, 0 if there is none. Keys are only compared for equality:
// hex digits, as the clients send them, are parsed as a number, any other text is hashed.
func parseKey(parameters string) (uint64, error) {
	values, err := url.ParseQuery(parameters)
	if err != nil {
		return 0, malformed("the path's parameters: %v", err)
	}
	keys := values["obj"]
	if len(keys) > 1 {
		return 0, malformed("the path's parameters: obj stands more than once")
	}
	key := values.Get("obj")
	if !utf8.ValidString(key) {
		return 0, malformed("the path's parameters: obj is not UTF-8")
	}
	if key == "" {
		return 0, nil
	}
	if n, err := strconv.ParseUint(key, 16, 64); err == nil {
		return n, nil
	}
	return xxhash.Sum64String(key), nil
}

// parseRetry parses the value of X-Retry: 1 marks a retry; 0, and a field that is missing, a first try.
func parseRetry(s string) (bool, error) {
	switch s {
	case "", "0":
		return false, nil
	case "1":
		return true, nil
	}
	return false, malformed("X-Retry: cannot read %q", s)
}

// parseDeadline parses the value of X-Deadline: a number, then m for milliseconds or u for microseconds.
func parseDeadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	n, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(n > 0 && n < 1e12) {
		return 0, malformed("X-Deadline: cannot read %q", s)
	}
	return time.Duration(n * float64(unit)), nil
}
