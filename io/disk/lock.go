package disk

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// acquireLock locks the data directory for this process. The operating system releases the lock when the process ends.
func (s *Store) acquireLock() error {
	f, err := os.OpenFile(filepath.Join(s.dir, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open lock file of data directory")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return errors.Wrapf(err, "%s: another process uses the data directory", s.dir)
		}
		return errors.Wrapf(err, "%s: failed to lock the data directory", s.dir)
	}
	s.lock = f
	return nil
}
