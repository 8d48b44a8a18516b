package disk_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/disk"
)

func origin(stream core.RequestID) core.StreamOrigin {
	return core.StreamOrigin{Stream: stream, Version: "v1", Remaining: time.Minute}
}

// reopen closes a store and returns the notes that its directory holds.
func reopen(t *testing.T, store *disk.Store, dir string) (*disk.Store, core.Notes) {
	if store != nil {
		store.Close()
	}
	store, state, err := disk.Open(dir)
	require.NoError(t, err)
	t.Cleanup(store.Close)
	return store, state.Notes
}

// What a host has noted must be there after a restart, up to the write that a power failure cut off, and never keep it from starting.
func TestNotesSurviveARestart(t *testing.T) {
	dir := t.TempDir()
	store, notes := reopen(t, nil, dir)
	require.Empty(t, notes)
	require.Error(t, store.SaveOrigins(core.SaveOrigins{Origins: []core.StreamOrigin{origin("early")}}), "nothing says what is there")
	require.NoError(t, store.SaveOrigins(core.SaveOrigins{Origins: []core.StreamOrigin{origin("a"), origin("b")}, Complete: true}))
	require.NoError(t, store.SaveOrigins(core.SaveOrigins{Origins: []core.StreamOrigin{origin("c")}}))
	list := core.QuarantineList{Requests: []core.RequestQuarantine{{Fingerprint: 7, Remaining: time.Minute}}}
	require.NoError(t, store.SaveQuarantine(core.SaveQuarantine{}))
	require.NoError(t, store.SaveQuarantine(core.SaveQuarantine{List: list}))
	store, notes = reopen(t, store, dir)
	require.Equal(t, []core.StreamOrigin{origin("a"), origin("b"), origin("c")}, notes.Origins)
	require.Equal(t, list, notes.Quarantine)

	path := filepath.Join(dir, "origins")
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	for size := range content {
		require.NoError(t, os.WriteFile(path, content[:size], 0o600))
		store, notes = reopen(t, store, dir)
		require.Less(t, len(notes.Origins), 3)
	}
	require.NoError(t, os.WriteFile(path, []byte("not a record, but longer than the header of one"), 0o600))
	store, notes = reopen(t, store, dir)
	require.Empty(t, notes.Origins)
	require.NoError(t, store.SaveOrigins(core.SaveOrigins{Origins: []core.StreamOrigin{origin("d")}, Complete: true}))
	_, notes = reopen(t, store, dir)
	require.Equal(t, []core.StreamOrigin{origin("d")}, notes.Origins)
}

// Notes that can't be written must not keep the replicated log from being written, and are complete again with the next complete write.
func TestFailedNotesDoNotFailTheLog(t *testing.T) {
	dir := t.TempDir()
	store, _ := reopen(t, nil, dir)
	require.NoError(t, store.SaveOrigins(core.SaveOrigins{Origins: []core.StreamOrigin{origin("a")}, Complete: true}))
	sync := store.Sync
	store.Sync = func(*os.File) error { return errors.New("the disk is full") }
	require.Error(t, store.SaveOrigins(core.SaveOrigins{Origins: []core.StreamOrigin{origin("b")}}))
	require.Error(t, store.SaveQuarantine(core.SaveQuarantine{}))
	store.Sync = sync
	require.NoError(t, store.Persist([]core.Persist{{Seq: 1, Hard: core.HardState{Epoch: 3}}}))
	require.Error(t, store.SaveOrigins(core.SaveOrigins{Origins: []core.StreamOrigin{origin("c")}}), "a part of a record may precede it")
	require.NoError(t, store.SaveOrigins(core.SaveOrigins{Origins: []core.StreamOrigin{origin("d")}, Complete: true}))
	_, notes := reopen(t, store, dir)
	require.Equal(t, []core.StreamOrigin{origin("d")}, notes.Origins)
}
