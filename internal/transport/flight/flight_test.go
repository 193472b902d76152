package flight

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
	"mothrouter/internal/transport/httpwire"
)

// Each outcome has its own gRPC code, and only Rejected is recognized as a rejection.
func TestStatusOfDistinguishesOutcomes(t *testing.T) {
	usedCodes := map[codes.Code]bool{}
	for _, o := range []broker.Outcome{broker.Rejected, broker.Failed, broker.DeadlineExceeded, broker.Duplicate} {
		err := statusOf(broker.Result{Outcome: o, RetryAfter: 0.5})
		require.Equal(t, o == broker.Rejected, isRejected(err))
		require.False(t, usedCodes[status.Code(err)], "two outcomes share a code")
		usedCodes[status.Code(err)] = true
	}
	require.False(t, isRejected(status.Error(codes.Unavailable, "connection error")))
}

// Guards against queries with a class, id or shard that no client has named: tickets are read as strictly as bodies over HTTP.
func TestTicketRejectsWhatIsNotNamed(t *testing.T) {
	const rest = `,"targets":[{"partition":0,"share":1}],"query":"x"}`
	ticket, err := parseTicket([]byte(`{"id":"q","class":"c","retry":true` + rest))
	require.NoError(t, err)
	require.Equal(t, &Ticket{ID: "q", Class: "c", Retry: true, Body: ticket.Body}, ticket)
	require.Equal(t, httpwire.Body{Targets: []httpwire.Target{{Weight: 1}}, Query: "x"}, ticket.Body)
	for name, text := range map[string]string{
		"no id":             `{"class":"c"` + rest,
		"id twice":          `{"id":"q","id":"r","class":"c"` + rest,
		"id in capitals":    `{"ID":"q","class":"c"` + rest,
		"id not UTF-8":      "{\"id\":\"q\xff\",\"class\":\"c\"" + rest,
		"no class":          `{"id":"q"` + rest,
		"class null":        `{"id":"q","class":null` + rest,
		"retry null":        `{"id":"q","class":"c","retry":null` + rest,
		"retry in capitals": `{"id":"q","class":"c","RETRY":true` + rest,
		"no shard":          `{"id":"q","class":"c","targets":[{"share":1}],"query":"x"}`,
		"shard null":        `{"id":"q","class":"c","targets":[{"partition":null,"share":1}],"query":"x"}`,
		"no weight":         `{"id":"q","class":"c","targets":[{"partition":0}],"query":"x"}`,
		"no text":           `{"id":"q","class":"c","targets":[{"partition":0,"share":1}]}`,
		"half a surrogate":  `{"id":"q","class":"c","targets":[{"partition":0,"share":1}],"query":"\ud83d"}`,
	} {
		_, err := parseTicket([]byte(text))
		require.Error(t, err, name)
	}
}
