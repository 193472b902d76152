package httpwire

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Answer is the JSON body of an answered query.
type Answer struct {
	Complete bool         `json:"whole"`
	Results  []PartResult `json:"results"`
}

// PartResult is the result of one part.
type PartResult struct {
	Partition int    `json:"partition"` // the shard
	Value     string `json:"value"`
}

// reasonPhrases maps the statuses that the front sends to their reason phrases.
var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// Response is a response of the front.
type Response struct {
	Status     int
	Body       any     // written as JSON; nil: none
	RetryAfter float64 // seconds; 0: no such header
	Allow      string  // methods that the path supports; empty: no such header
	Close      bool    // the connection ends after the response
	NoBody     bool    // the request was a HEAD: Content-Length is that of Body, which is not written
}

// Append appends the response to b. A Body that JSON cannot encode becomes status 500.
func (r *Response) Append(b []byte) []byte {
	body, err := r.encodeBody()
	if err != nil {
		return (&Response{Status: 500, Close: r.Close}).Append(b)
	}
	b = r.appendHead(b, len(body))
	if r.NoBody {
		return b
	}
	return append(b, body...)
}

// encodeBody returns the body as JSON without HTML escapes, empty if there is none.
func (r *Response) encodeBody() ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(r.Body)
	return body.Bytes(), err
}

// appendHead appends the status line and the header for a body of length bytes.
func (r *Response) appendHead(b []byte, length int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.Status]...)
	b = append(b, "\r\n"...)
	if r.Body != nil {
		b = append(b, "Content-Type: application/json\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	b = append(b, "\r\n"...)
	if r.RetryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, r.RetryAfter, 'f', -1, 64)
		b = append(b, "\r\n"...)
	}
	if r.Allow != "" {
		b = append(b, "Allow: "...)
		b = append(b, r.Allow...)
		b = append(b, "\r\n"...)
	}
	if r.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}
