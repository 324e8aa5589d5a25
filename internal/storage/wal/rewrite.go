package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"seamshunt/internal/cluster/message"
)

// trim rewrites the file when it got long; the room kept in reserve makes that possible on a full disk.
func (a *Log) trim() error {
	if a.size < a.CompactionSize || a.size < 4*a.lives() {
		return nil
	}
	return a.compact()
}

// lives counts the bytes that a rewrite would keep.
func (a *Log) lives() (n int64) {
	for _, r := range a.live {
		n += int64(headLen + len(r.Key) + len(r.Data))
	}
	return n
}

// Rewrite writes all that lives into a new file. After a sync that failed the kernel may take what it could not write for clean, so
// that a further sync of the old file proves nothing.
func (a *Log) Rewrite() error {
	before := a.generation
	if err := a.compact(); err != nil {
		return err
	}
	if a.generation == before {
		a.sick = true
		return fmt.Errorf("%w: it can't be written anew", ErrFailed)
	}
	return nil
}

func (a *Log) compact() error {
	_ = os.Remove(filepath.Join(a.dir, reserve))
	tmp := filepath.Join(a.dir, newName)
	f, err := os.Create(tmp)
	if err != nil {
		return a.keepReserve() // no descriptor, or no room for a name: the old file still holds everything
	}
	rs := a.Records()
	slices.SortFunc(rs, func(x, y message.Record) int { return strings.Compare(id(x), id(y)) })
	b := laySnapshot(rs, a.generation+1)
	_, err = f.Write(b)
	if err == nil {
		err = a.sync(f)
	}
	if err != nil {
		// The old file still holds everything: carry on with it.
		f.Close()
		_ = os.Remove(tmp)
		return a.keepReserve()
	}
	if err = os.Rename(tmp, filepath.Join(a.dir, name)); err == nil {
		err = syncDir(a.dir)
	}
	if err != nil {
		f.Close()
		a.sick = true
		return fmt.Errorf("%w: rename: %w", ErrFailed, err)
	}
	a.f.Close()
	a.f, a.size, a.seq, a.end = f, int64(len(b)), uint32(len(rs))+1, int64(len(b))
	a.generation++
	a.writeMark()
	if err := a.keepReserve(); err != nil {
		return err
	}
	if err := a.claim(a.size); err != nil && !errors.Is(err, ErrFull) {
		return err
	}
	return nil
}

// allocate claims room behind a file's end without making it longer.
func allocate(f *os.File, off, n int64) error {
	const keepSize = 1
	err := syscall.Fallocate(int(f.Fd()), keepSize, off, n)
	if errors.Is(err, syscall.EOPNOTSUPP) {
		return nil // this file system can't: a write that finds no room says so itself
	}
	return err
}

// claim has room of its own up to need, and twice the reserve behind it while the disk gives any. What was claimed
// before stays for the changes that come while the disk is full (design 3).
func (a *Log) claim(need int64) error {
	if a.spare == 0 || !a.low && a.end >= need+a.spare {
		return nil
	}
	for k := int64(8); k >= 0; k-- {
		to := need + a.spare*k/4 // from twice the reserve down to nothing behind need
		if to <= a.end {
			break
		}
		err := a.Allocate(a.f, a.end, to-a.end)
		if err == nil {
			a.end = to
			break
		}
		if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EDQUOT) && !errors.Is(err, syscall.EFBIG) {
			a.sick = true
			return fmt.Errorf("%w: %w", ErrFailed, err)
		}
	}
	if a.low = a.end < need+a.spare; a.end < need {
		return fmt.Errorf("%w: the reserve is used up", ErrFull)
	}
	return nil
}

// DiskFull says whether the disk gives no more room, so that only what must be written should be.
func (a *Log) DiskFull() bool { return a.low }

// keepReserve holds room on the disk for one rewrite.
func (a *Log) keepReserve() error {
	if a.spare == 0 {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(a.dir, reserve), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil
	}
	defer f.Close()
	_ = a.Allocate(f, 0, a.spare) // without it, the next rewrite tries again
	return nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("wal: sync folder: %w", err)
	}
	return nil
}

// makeDir has a folder whose name outlives a loss of power.
func makeDir(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	return syncDir(filepath.Dir(dir))
}

// SetAside keeps a damaged file under another name; the disk is blank from then on. The mark goes last: while it stands,
// a folder without the file is damaged as well.
func SetAside(dir string) error {
	err := os.Rename(filepath.Join(dir, name), filepath.Join(dir, damagedName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("wal: set aside: %w", err)
	}
	if err := syncDir(dir); err != nil {
		return err
	}
	if err := os.Remove(filepath.Join(dir, markName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("wal: set aside: %w", err)
	}
	return syncDir(dir)
}

// HasSetAside says whether a damaged file lies in the folder.
func HasSetAside(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, damagedName))
	return err == nil
}
