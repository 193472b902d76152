package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
)

// sendingDecider sends each part to the server "s".
type sendingDecider struct{}

func (sendingDecider) Handle(_ float64, events []decision.Event) []decision.Action {
	var actions []decision.Action
	for _, e := range events {
		if p, ok := e.(decision.Part); ok {
			actions = append(actions, decision.Send{ID: p.ID, Server: "s"})
		}
	}
	return actions
}

// callRecorder is a link that passes calls to the test.
type callRecorder chan *broker.Call

func (c callRecorder) Send(call *broker.Call)        { c <- call }
func (callRecorder) Cancel(*broker.Call)             {}
func (callRecorder) CheckHealth(*broker.HealthCheck) {}

// discardClient is a client that ignores its result.
type discardClient struct{}

func (discardClient) Finish(broker.Result) {}

// newCall returns a call, as the core passes it to a link, of a query whose client waits for timeout.
func newCall(t *testing.T, timeout time.Duration) *broker.Call {
	calls := make(callRecorder, 1)
	class := decision.Class{Deadline: 9, CompletenessThreshold: 1, MinCompleteness: 1}
	settings := decision.Settings{Classes: []decision.Class{class}}
	b := broker.New(broker.Options{Settings: settings}, sendingDecider{}, calls)
	go b.Run(t.Context())
	b.Update(broker.EndpointUpdate{
		Mode:    decision.FullUpdate,
		Servers: []broker.Endpoint{{Server: decision.Server{ID: "s"}, Addr: "a"}},
	})
	b.Submit(&broker.Request{
		ID:         "q",
		ReceivedAt: time.Now(),
		Timeout:    timeout,
		Parts:      []broker.Part{{Weight: 1}},
	}, discardClient{})
	return <-calls
}

// An answer may be read before the writer records the write. Its latency must not be measured from the zero time, which would
// keep silenceTimeout at its maximum.
func TestAnswerReadBeforeWriteIsRecordedHasNoLatency(t *testing.T) {
	l := New(t.Context(), Options{})
	cn := newConn(l, "a", nil)
	j := &job{call: newCall(t, time.Second), id: "q.0", state: jobWriting}
	cn.calls[j.id] = j
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := frame.Reply{ID: []byte("q.0"), Status: decision.OK, Value: []byte("v")}
	require.NoError(t, cn.handleMessage(frame.Message{Type: frame.TypeReply, Reply: reply}))
	require.Zero(t, l.meanLatency)
	require.Equal(t, MaxSilence, l.silenceTimeout())
}
