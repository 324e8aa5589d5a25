package almanac

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"seamshunt/internal/station"
)

// trim rewrites the file when it got long; the room kept in reserve makes that possible on a full disk.
func (a *Almanac) trim() error {
	var live int64
	for _, r := range a.live {
		live += int64(headLen + len(r.Key) + len(r.Data))
	}
	if a.size < a.Long || a.size < 4*live {
		return nil
	}
	return a.rewrite()
}

func (a *Almanac) rewrite() error {
	_ = os.Remove(filepath.Join(a.dir, reserve))
	tmp := filepath.Join(a.dir, name+".new")
	f, err := os.Create(tmp)
	if err != nil {
		return fmt.Errorf("almanac: rewrite: %w", err)
	}
	rs := a.Live()
	slices.SortFunc(rs, func(x, y station.Record) int { return strings.Compare(id(x), id(y)) })
	var b []byte
	for i, r := range rs {
		b = append(b, lay(r, uint32(i))...)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
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
		return fmt.Errorf("%w: rename: %w", ErrSick, err)
	}
	a.f.Close()
	a.f, a.size, a.seq = f, int64(len(b)), uint32(len(rs))
	return a.keepReserve()
}

// keepReserve holds room on the disk for one rewrite.
func (a *Almanac) keepReserve() error {
	if a.spare == 0 {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(a.dir, reserve), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil
	}
	defer f.Close()
	if err := syscall.Fallocate(int(f.Fd()), 0, 0, a.spare); errors.Is(err, syscall.ENOSPC) {
		return nil // full now: writes say so themselves; the next rewrite tries again
	}
	return nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("almanac: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("almanac: sync folder: %w", err)
	}
	return nil
}

// SetAside keeps a damaged file under another name; the disk is blank from then on.
func SetAside(dir string) error {
	if err := os.Rename(filepath.Join(dir, name), filepath.Join(dir, name+".damaged")); err != nil {
		return fmt.Errorf("almanac: set aside: %w", err)
	}
	return syncDir(dir)
}
