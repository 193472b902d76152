package raftlog

import (
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOpenReadsLogOfEarlierRelease opens a log that an earlier release wrote and checks its complete content.
func TestOpenReadsLogOfEarlierRelease(t *testing.T) {
	archive, err := os.Open("testdata/as-found.log.gz")
	require.NoError(t, err)
	defer func() { _ = archive.Close() }() // nothing was written to it
	decompressed, err := gzip.NewReader(archive)
	require.NoError(t, err)
	content, err := io.ReadAll(decompressed)
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
	stored, err := log.Entries(first, last+1, 1<<20)
	require.NoError(t, err)
	for i, entry := range stored {
		require.Equal(t, first+uint64(i), entry.GetIndex())
		require.Equal(t, "entry", string(entry.GetData()))
	}
	require.Len(t, stored, 4)
}
