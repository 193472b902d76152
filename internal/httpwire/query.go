package httpwire

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
)

// Query is the body of a query and what its header says. It refers to nothing of the buffer.
type Query struct {
	ID, Class string
	Patience  time.Duration
	Retry     bool
	Targets   []Target
	Text      string
}

// Target is one part of a query.
type Target struct {
	Partition int     `json:"partition"`
	Share     float64 `json:"share"`
	EstUS     float64 `json:"est_us"`
	Route     string  `json:"route"`
}

const (
	maxID       = 64
	shareSlack  = 0.05 // shares are rounded by clients
	maxPatience = time.Hour
)

// ParseQuery reads a query's request.
func ParseQuery(r *Request) (*Query, error) {
	q := &Query{ID: r.Header.Get("X-Request-Id"), Class: r.Header.Get("X-Class"), Retry: r.Header.Get("X-Retry") == "1"}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	if q.Class == "" {
		q.Class = first
	} else if q.Class != first {
		return nil, malformed("X-Class is %q, but the path says %q", q.Class, first)
	}
	if !ValidID(q.ID) {
		return nil, malformed("X-Request-Id: cannot use %q", q.ID)
	}
	var err error
	if q.Patience, err = parseDeadline(r.Header.Get("X-Deadline")); err != nil {
		return nil, err
	}
	var body struct {
		Targets []Target `json:"targets"`
		Query   string   `json:"query"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, malformed("body: %v", err)
	}
	q.Targets, q.Text = body.Targets, body.Query
	return q, CheckTargets(q.Targets)
}

// ValidID tells whether a query's name can stand in the protocols of record servers.
func ValidID(id string) bool {
	return id != "" && len(id) <= maxID && strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// CheckTargets checks the parts of a query, and has their shares sum to 1, as the core counts them.
func CheckTargets(targets []Target) error {
	if len(targets) == 0 {
		return malformed("targets: a query has a part at least")
	}
	seen, sum := make(map[int]bool, len(targets)), 0.0
	for i, t := range targets {
		switch {
		case t.Partition < 0 || seen[t.Partition]:
			return malformed("targets[%d].partition: %d is negative or stands twice", i, t.Partition)
		case math.IsNaN(t.Share) || t.Share < 0 || t.Share > 1+shareSlack:
			return malformed("targets[%d].share: %g is outside 0 to 1", i, t.Share)
		case math.IsNaN(t.EstUS) || t.EstUS < 0 || math.IsInf(t.EstUS, 0):
			return malformed("targets[%d].est_us: %g is no time", i, t.EstUS)
		}
		if _, err := t.Key(); err != nil {
			return malformed("targets[%d].route: cannot read %q", i, t.Route)
		}
		seen[t.Partition] = true
		sum += t.Share
	}
	if math.Abs(sum-1) > shareSlack {
		return malformed("targets: the shares sum to %g, not 1", sum)
	}
	for i := range targets {
		targets[i].Share /= sum
	}
	return nil
}

// Key is the route as a number, 0 if there is none.
func (t Target) Key() (uint64, error) {
	if t.Route == "" {
		return 0, nil
	}
	return strconv.ParseUint(t.Route, 16, 64)
}

// parseDeadline reads a time as the platform writes it: a number, then m for milliseconds or u for
// microseconds.
func parseDeadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	n, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(n > 0) || n*float64(unit) > float64(maxPatience) {
		return 0, malformed("X-Deadline: cannot read %q", s)
	}
	return time.Duration(n * float64(unit)), nil
}

// Answer is the body of a served query.
type Answer struct {
	Whole   bool  `json:"whole"`
	Results []Hit `json:"results"`
}

// Hit is the value of one part.
type Hit struct {
	Partition int    `json:"partition"`
	Value     string `json:"value"`
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// Response is what a front writes.
type Response struct {
	Status     int
	Body       any     // written as JSON; nil: none
	RetryAfter float64 // seconds; 0: not said
	Allow      string
	Close      bool
	NoBody     bool // the request was a HEAD: the length is told, the body is not
}

// Append writes a response behind b.
func (r *Response) Append(b []byte) []byte {
	var body []byte
	if r.Body != nil {
		var text bytes.Buffer
		enc := json.NewEncoder(&text)
		enc.SetEscapeHTML(false)
		if err := enc.Encode(r.Body); err != nil {
			return (&Response{Status: 500, Close: r.Close}).Append(b)
		}
		body = text.Bytes()
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(append(append(b, ' '), reasons[r.Status]...), "\r\n"...)
	if body != nil {
		b = append(b, "Content-Type: application/json\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = append(strconv.AppendInt(b, int64(len(body)), 10), "\r\n"...)
	if r.RetryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = append(strconv.AppendFloat(b, r.RetryAfter, 'f', -1, 64), "\r\n"...)
	}
	if r.Allow != "" {
		b = append(append(append(b, "Allow: "...), r.Allow...), "\r\n"...)
	}
	if r.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if r.NoBody {
		return b
	}
	return append(b, body...)
}
