package httpwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mothrouter/internal/broker"
)

// Body is the body of a query.
type Body struct {
	Targets []Target `json:"targets"`
	Query   string   `json:"query"`
}

// Target is one part of a query.
type Target struct {
	Partition int     `json:"partition"`
	Weight    float64 `json:"share"`
	EstUS     float64 `json:"est_us"`
	Route     string  `json:"route"`
}

// Parts are the targets in the core's terms.
func (b *Body) Parts() ([]broker.Part, error) {
	parts := make([]broker.Part, 0, len(b.Targets))
	for i, t := range b.Targets {
		p := broker.Part{Shard: t.Partition, Weight: t.Weight, Work: t.EstUS / 1e6}
		if t.Route != "" {
			var err error
			if p.RouteKey, err = strconv.ParseUint(t.Route, 16, 64); err != nil {
				return nil, fmt.Errorf("targets[%d].route: cannot read %q", i, t.Route)
			}
		}
		parts = append(parts, p)
	}
	return parts, nil
}

// Class is the class that a request's path names.
func (r *Request) Class() string {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	return class
}

// ParseQuery reads a query's request, all but its class. What it returns refers to nothing of the buffer.
func ParseQuery(r *Request) (*broker.Request, error) {
	if class := r.Header.Get("X-Class"); class != "" && class != r.Class() {
		return nil, malformed("X-Class is %q, but the path says %q", class, r.Class())
	}
	q := &broker.Request{ID: r.Header.Get("X-Request-Id"), Retry: r.Header.Get("X-Retry") == "1"}
	var body Body
	err := json.Unmarshal(r.Body, &body)
	if err != nil {
		return nil, malformed("body: %v", err)
	}
	if q.Timeout, err = parseDeadline(r.Header.Get("X-Deadline")); err != nil {
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

// parseKey reads the key of a query from a request's parameters: what it is about. 0: there is none. Keys are hex
// digits on the platform; any other is as good, since keys are only compared.
func parseKey(parameters string) (uint64, error) {
	values, err := url.ParseQuery(parameters)
	if err != nil {
		return 0, malformed("the path's parameters: %v", err)
	}
	key := values.Get("obj")
	if key == "" {
		return 0, nil
	}
	if n, err := strconv.ParseUint(key, 16, 64); err == nil {
		return n, nil
	}
	return xxhash.Sum64String(key), nil
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
	if !ok || err != nil || !(n > 0 && n < 1e12) {
		return 0, malformed("X-Deadline: cannot read %q", s)
	}
	return time.Duration(n * float64(unit)), nil
}

// Answer is the body of a served query.
type Answer struct {
	Complete bool  `json:"whole"`
	Results  []Hit `json:"results"`
}

// Hit is the value of one part.
type Hit struct {
	Partition int    `json:"partition"`
	Value     string `json:"value"`
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict",
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
