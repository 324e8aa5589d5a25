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

// compactIfLarge compacts the file when it has grown too long; the reserve file makes that possible on a full disk.
func (a *Log) compactIfLarge() error {
	if a.size < a.CompactionSize || a.size < 4*a.liveBytes() {
		return nil
	}
	return a.compact()
}

// liveBytes returns the bytes that a compaction would keep.
func (a *Log) liveBytes() (n int64) {
	for _, r := range a.records {
		n += int64(headerLen + len(r.Key) + len(r.Data))
	}
	return n
}

// Rewrite writes all current records into a new file. After a failed sync the kernel may mark pages clean that it couldn't
// write, so another sync of the old file proves nothing.
func (a *Log) Rewrite() error {
	before := a.generation
	if err := a.compact(); err != nil {
		return err
	}
	if a.generation == before {
		a.failed = true
		return fmt.Errorf("%w: it can't be rewritten", ErrFailed)
	}
	return nil
}

// compact writes the current records into a new file that replaces the log, and keeps the old file if that fails.
func (a *Log) compact() error {
	_ = os.Remove(filepath.Join(a.dir, reserveName))
	tempPath := filepath.Join(a.dir, tempName)
	f, err := os.Create(tempPath)
	if err != nil {
		return a.ensureReserveFile() // no descriptor, or no space for a directory entry: the old file still holds everything
	}
	rs := a.Records()
	slices.SortFunc(rs, func(x, y message.Record) int { return strings.Compare(recordID(x), recordID(y)) })
	b := encodeSnapshot(rs, a.generation+1)
	_, err = f.Write(b)
	if err == nil {
		err = a.sync(f)
	}
	if err != nil {
		// The old file still holds everything: continue with it.
		f.Close()
		_ = os.Remove(tempPath)
		return a.ensureReserveFile()
	}
	if err = os.Rename(tempPath, filepath.Join(a.dir, logName)); err == nil {
		err = syncDir(a.dir)
	}
	if err != nil {
		f.Close()
		a.failed = true
		return fmt.Errorf("%w: rename: %w", ErrFailed, err)
	}
	a.f.Close()
	a.f, a.size, a.seq, a.allocatedEnd = f, int64(len(b)), uint32(len(rs))+1, int64(len(b))
	a.generation++
	a.writeMark()
	if err := a.ensureReserveFile(); err != nil {
		return err
	}
	if err := a.ensureSpace(a.size); err != nil && !errors.Is(err, ErrFull) {
		return err
	}
	return nil
}

// allocate reserves disk space beyond a file's end without changing its length.
func allocate(f *os.File, off, n int64) error {
	const keepSize = 1
	err := syscall.Fallocate(int(f.Fd()), keepSize, off, n)
	if errors.Is(err, syscall.EOPNOTSUPP) {
		return nil // not supported by this file system: a write without space fails itself
	}
	return err
}

// ensureSpace allocates disk space for the file up to the offset need, and up to twice the reserve after it while the disk has
// any. Space allocated earlier is left for the changes that arrive while the disk is full (docs/design.md, section 3).
func (a *Log) ensureSpace(need int64) error {
	if a.reserveSize == 0 || !a.diskFull && a.allocatedEnd >= need+a.reserveSize {
		return nil
	}
	for quarters := int64(8); quarters >= 0; quarters-- {
		target := need + a.reserveSize*quarters/4 // from twice the reserve down to nothing after need
		if target <= a.allocatedEnd {
			break
		}
		err := a.Allocate(a.f, a.allocatedEnd, target-a.allocatedEnd)
		if err == nil {
			a.allocatedEnd = target
			break
		}
		if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EDQUOT) && !errors.Is(err, syscall.EFBIG) {
			a.failed = true
			return fmt.Errorf("%w: %w", ErrFailed, err)
		}
	}
	if a.diskFull = a.allocatedEnd < need+a.reserveSize; a.allocatedEnd < need {
		return fmt.Errorf("%w: the reserve is used up", ErrFull)
	}
	return nil
}

// DiskFull reports whether the disk has no more space, so that only essential records should be written.
func (a *Log) DiskFull() bool { return a.diskFull }

// ensureReserveFile keeps disk space for one compaction in a file of its own.
func (a *Log) ensureReserveFile() error {
	if a.reserveSize == 0 {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(a.dir, reserveName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil
	}
	defer f.Close()
	_ = a.Allocate(f, 0, a.reserveSize) // if it fails, the next compaction tries again
	return nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("wal: sync the directory: %w", err)
	}
	return nil
}

// ensureDir creates the directory if it is missing, and syncs its parent so that its entry survives a power loss.
func ensureDir(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	return syncDir(filepath.Dir(dir))
}

// SetAside renames a damaged log, which leaves the disk uninitialized. The mark is removed last: as long as it exists, a
// directory without the log counts as damaged too.
func SetAside(dir string) error {
	err := os.Rename(filepath.Join(dir, logName), filepath.Join(dir, damagedName))
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

// HasSetAside reports whether the directory contains a damaged log that was set aside.
func HasSetAside(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, damagedName))
	return err == nil
}
