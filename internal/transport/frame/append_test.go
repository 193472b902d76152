package frame_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/transport/frame"
)

func TestAppendCall(t *testing.T) {
	first := frame.Call{ID: frame.PartID("9b1f03aa5c7e2d41", 3, false), Shard: 3, WaitMS: 240, Payload: []byte("c41e77d0")}
	require.Equal(t, "\x00\x00\x00\x26S9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d0", string(frame.AppendCall(nil, first)))
	second := frame.Call{ID: frame.PartID("q", 7, true), Shard: 7, WaitMS: 90, Payload: []byte("x"), SecondPhase: true,
		AnsweredShards: []int{3, 5, 7}, FirstComplete: true}
	require.Equal(t, "\x00\x00\x00\x25Sq.7.p2 7 d=90,from=3+5+7,whole=1 1\nx", string(frame.AppendCall(nil, second)))
	second.AnsweredShards, second.FirstComplete = []int{7}, false
	require.Equal(t, "\x00\x00\x00\x21Sq.7.p2 7 d=90,from=7,whole=0 1\nx", string(frame.AppendCall(nil, second)))
}

func TestAppend(t *testing.T) {
	b := frame.Append(nil, frame.TypeLoadReport, "")
	b = frame.Append(b, frame.TypeCancel, "q.1")
	require.Equal(t, "\x00\x00\x00\x01M\x00\x00\x00\x04Cq.1", string(b))
}
