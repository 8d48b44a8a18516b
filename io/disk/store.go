package disk

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"oleanderlever/core"
)

// Store is an open data directory.
//
// Every file is synced before the store relies on it: a segment after each batch, a snapshot before its rename and the
// directory after each rename. Files are not memory-mapped: an I/O error would be a signal instead of an error value,
// and the platform has no shared memory. After a failed write or sync the failed pages may be lost although later syncs
// succeed, so the store rejects all further writes until a complete one has replaced the files.
type Store struct {
	// Sync flushes a file to the disk; tests replace it to inject errors.
	Sync func(f *os.File) error

	dir     string
	disk    core.DiskID
	lock    *os.File
	segment *os.File
	// origins is the file of origins, or nil until it has been written completely.
	origins   *os.File
	baseIndex uint64
	failed    error
}

const (
	diskIDFile   = "disk-id"
	lockFile     = "lock"
	dirMode      = 0o750
	fileMode     = 0o640
	segmentName  = "log-%016x"
	snapshotName = "snapshot-%016x"
	tempSuffix   = ".tmp"
)

// Open locks a data directory, creates it if it does not exist and returns the state stored in it.
func Open(dir string) (*Store, core.StoredState, error) {
	var state core.StoredState
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, state, errors.Wrap(err, "create data directory")
	}
	s := &Store{dir: dir, Sync: func(f *os.File) error { return f.Sync() }}
	if err := s.acquireLock(); err != nil {
		return nil, state, err
	}
	if err := s.readOrCreateID(); err != nil {
		s.Close()
		return nil, state, err
	}
	if err := s.load(&state); err != nil {
		s.Close()
		return nil, state, err
	}
	state.Notes = s.loadNotes()
	return s, state, nil
}

// Disk returns the ID of the data directory, which is random and assigned when the directory is first opened.
func (s *Store) Disk() core.DiskID { return s.disk }

// Close closes the files and releases the lock on the data directory.
func (s *Store) Close() {
	if s.segment != nil {
		_ = s.segment.Close()
	}
	s.closeOrigins()
	if s.lock != nil {
		_ = s.lock.Close()
	}
}

// readOrCreateID reads the directory's ID, or creates one if there is none.
func (s *Store) readOrCreateID() error {
	text, err := os.ReadFile(filepath.Join(s.dir, diskIDFile))
	if err == nil && len(bytes.TrimSpace(text)) > 0 {
		s.disk = core.DiskID(bytes.TrimSpace(text))
		return nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "disk ID")
	}
	var random [12]byte
	if _, err := rand.Read(random[:]); err != nil {
		return errors.Wrap(err, "disk ID")
	}
	s.disk = core.DiskID(hex.EncodeToString(random[:]))
	return s.writeFile(diskIDFile, []byte(s.disk+"\n"))
}

// writeFile writes a file under a temporary name, syncs and renames it, so that a crash never leaves part of it under
// its final name.
func (s *Store) writeFile(name string, content []byte) error {
	path := filepath.Join(s.dir, name)
	if err := s.writeTemp(path+tempSuffix, content); err != nil {
		// What was written takes up space on a full disk.
		_ = os.Remove(path + tempSuffix)
		return err
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return errors.Wrap(err, "rename file")
	}
	return s.syncDir()
}

func (s *Store) writeTemp(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write(content); err != nil {
		return errors.Wrap(err, "write file")
	}
	return errors.Wrap(s.Sync(f), "sync file")
}

func (s *Store) syncDir() error {
	d, err := os.Open(s.dir)
	if err != nil {
		return errors.Wrap(err, "open data directory")
	}
	defer func() { _ = d.Close() }()
	return errors.Wrap(s.Sync(d), "sync data directory")
}

// fileNumbers returns the numbers in the names of the files that match the format, in ascending order.
func (s *Store) fileNumbers(format string) ([]uint64, error) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, errors.Wrap(err, "read data directory")
	}
	var out []uint64
	for _, e := range files {
		var n uint64
		if strings.HasSuffix(e.Name(), tempSuffix) {
			continue
		}
		if _, err := fmt.Sscanf(e.Name(), format, &n); err == nil && e.Name() == fmt.Sprintf(format, n) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out, nil
}

func (s *Store) path(format string, n uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf(format, n))
}

// load reads the newest snapshot and the segment of the same number, which holds the entries after the snapshot.
func (s *Store) load(state *core.StoredState) error {
	snapshots, err := s.fileNumbers(snapshotName)
	if err != nil {
		return err
	}
	if len(snapshots) > 0 {
		s.baseIndex = snapshots[len(snapshots)-1]
		if err := s.loadSnapshot(state); err != nil {
			return err
		}
	}
	data, err := os.ReadFile(s.path(segmentName, s.baseIndex))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read segment")
	}
	valid, err := replay(data, state)
	if err != nil && !errors.Is(err, errTorn) {
		return errors.Wrapf(err, "%s at byte %d", s.path(segmentName, s.baseIndex), valid)
	}
	return s.openSegment(int64(valid), len(data) > valid)
}

func (s *Store) loadSnapshot(state *core.StoredState) error {
	path := s.path(snapshotName, s.baseIndex)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	payload, _, err := nextRecord(data)
	if err != nil {
		return errors.Wrap(err, path)
	}
	state.Snapshot = &core.Snapshot{}
	return errors.Wrap(cbor.Unmarshal(payload, state.Snapshot), path)
}

// openSegment opens the segment for appending at the given size and truncates it to that size if its end is torn.
func (s *Store) openSegment(size int64, torn bool) error {
	f, err := os.OpenFile(s.path(segmentName, s.baseIndex), os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	s.segment = f
	if torn {
		if err := f.Truncate(size); err != nil {
			return errors.Wrap(err, "truncate torn end")
		}
		if err := s.Sync(f); err != nil {
			return errors.Wrap(err, "sync segment")
		}
	}
	if _, err := f.Seek(size, 0); err != nil {
		return errors.Wrap(err, "seek segment")
	}
	return s.syncDir()
}

// Persist writes and syncs a batch; the records between two snapshots share one sync. After an error all later calls
// return that error until one contains a complete write, which replaces the files.
func (s *Store) Persist(batch []core.Persist) error {
	if s.failed != nil {
		complete := slices.IndexFunc(batch, func(p core.Persist) bool { return p.Complete })
		if complete < 0 {
			return s.failed
		}
		batch = batch[complete:]
	}
	s.failed = s.persist(batch)
	return s.failed
}

func (s *Store) persist(batch []core.Persist) error {
	var buf []byte
	var err error
	for i := range batch {
		p := &batch[i]
		if p.Snapshot != nil || p.Complete {
			// The snapshot and the entries in p, which are all entries after it, replace the buffered records.
			buf = nil
			if err := s.rotate(p); err != nil {
				return err
			}
			continue
		}
		if buf, err = appendRecord(buf, record{Hard: p.Hard, Entries: p.Entries}); err != nil {
			return err
		}
	}
	if len(buf) == 0 {
		return nil
	}
	if _, err := s.segment.Write(buf); err != nil {
		return errors.Wrap(err, "append to segment")
	}
	return errors.Wrap(s.Sync(s.segment), "sync segment")
}

// rotate writes a new segment with the entries after a snapshot, then the snapshot under the same number, and removes
// the old files. After a crash before the snapshot's rename is durable, load uses the old files.
func (s *Store) rotate(p *core.Persist) error {
	first, err := appendRecord(nil, record{Hard: p.Hard, Entries: p.Entries})
	if err != nil {
		return err
	}
	old, next := s.baseIndex, uint64(0)
	if p.Snapshot != nil {
		next = uint64(p.Snapshot.Index)
	}
	if err := s.writeFile(fmt.Sprintf(segmentName, next), first); err != nil {
		return err
	}
	if err := s.writeSnapshot(p.Snapshot); err != nil {
		return err
	}
	_ = s.segment.Close()
	s.baseIndex = next
	if err := s.openSegment(int64(len(first)), false); err != nil {
		return err
	}
	if old != next {
		_ = os.Remove(s.path(segmentName, old))
		_ = os.Remove(s.path(snapshotName, old))
	}
	return nil
}

// writeSnapshot writes a snapshot, if there is one, under its index.
func (s *Store) writeSnapshot(snapshot *core.Snapshot) error {
	if snapshot == nil {
		return nil
	}
	content, err := appendRecord(nil, snapshot)
	if err != nil {
		return err
	}
	return s.writeFile(fmt.Sprintf(snapshotName, uint64(snapshot.Index)), content)
}
