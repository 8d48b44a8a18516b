package disk

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// claim keeps a second process out of the folder; the kernel frees the lock when the process dies.
func (s *Store) claim() error {
	f, err := os.OpenFile(filepath.Join(s.folder, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return errors.Wrapf(err, "%s: another process uses the data folder", s.folder)
		}
		return errors.Wrapf(err, "%s: the data folder can't be locked", s.folder)
	}
	s.lock = f
	return nil
}
