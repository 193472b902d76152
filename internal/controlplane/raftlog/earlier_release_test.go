package raftlog

import (
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOpenReadsLogOfEarlierRelease opens a log written by an earlier release and requires all its content.
func TestOpenReadsLogOfEarlierRelease(t *testing.T) {
	packed, err := os.Open("testdata/as-found.log.gz")
	require.NoError(t, err)
	defer func() { _ = packed.Close() }() // it was only read
	in, err := gzip.NewReader(packed)
	require.NoError(t, err)
	content, err := io.ReadAll(in)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, content, 0o600))
	log, err := Open(path, testOptions)
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	hard, conf, err := log.InitialState()
	require.NoError(t, err)
	require.Equal(t, []uint64{2, 3, 4}, []uint64{hard.GetTerm(), hard.GetVote(), hard.GetCommit()})
	require.Equal(t, []uint64{1, 2, 3}, conf.GetVoters())
	first, err := log.FirstIndex()
	require.NoError(t, err)
	last, err := log.LastIndex()
	require.NoError(t, err)
	require.Equal(t, []uint64{2, 5}, []uint64{first, last})
	held, err := log.Entries(first, last+1, 1<<20)
	require.NoError(t, err)
	for i, e := range held {
		require.Equal(t, first+uint64(i), e.GetIndex())
		require.Equal(t, "entry", string(e.GetData()))
	}
	require.Len(t, held, 4)
}
