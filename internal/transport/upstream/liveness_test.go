package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
)

type sendingDecider struct{}

func (a sendingDecider) Handle(_ float64, events []decision.Event) (do []decision.Action) {
	for _, e := range events {
		if p, ok := e.(decision.Part); ok {
			do = append(do, decision.Send{ID: p.ID, Server: "s"})
		}
	}
	return do
}

type callRecorder chan *broker.Call

func (c callRecorder) Send(x *broker.Call)           { c <- x }
func (callRecorder) Cancel(*broker.Call)             {}
func (callRecorder) CheckHealth(*broker.HealthCheck) {}

type discardClient struct{}

func (discardClient) Finish(broker.Result) {}

// newCall returns a call of a query whose client waits for patience, as the core hands it to a link.
func newCall(t *testing.T, patience time.Duration) *broker.Call {
	out := make(callRecorder, 1)
	b := broker.New(broker.Options{Settings: decision.Settings{Classes: []decision.Class{{Deadline: 9, CompletenessThreshold: 1, MinCompleteness: 1}}}}, sendingDecider{}, out)
	go b.Run(t.Context())
	b.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{{Server: decision.Server{ID: "s"}, Addr: "a"}}})
	b.Submit(&broker.Request{ID: "q", ReceivedAt: time.Now(), Timeout: patience, Parts: []broker.Part{{Weight: 1}}}, discardClient{})
	return <-out
}

// An answer may come before the writer has noted when it had written the call. It must not count as having taken since
// the zero time: for hundreds of answers no silence would be noticed.
func TestAnswerBeforeWriteReturnsHasNoLatency(t *testing.T) {
	l := New(t.Context(), Options{})
	cn := newConn(l, "a", nil)
	j := &job{call: newCall(t, time.Second), id: "q.0", state: jobWriting}
	cn.calls[j.id] = j
	l.mu.Lock()
	defer l.mu.Unlock()
	require.NoError(t, cn.handleMessage(frame.Message{Type: 'R', Reply: frame.Reply{ID: []byte("q.0"), Status: decision.OK, Value: []byte("v")}}))
	require.Zero(t, l.meanLatency)
	require.Equal(t, MaxSilence, l.silenceTimeout())
}
