// Package wal is the append-only checksummed file of a process with a disk (design 3).
package wal

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"syscall"

	"seamshunt/internal/cluster/message"
)

// What went wrong with a disk.
var (
	ErrDamaged  = errors.New("wal: damaged: not all that was synced is there")
	ErrFull     = errors.New("wal: disk full")
	ErrFailed   = errors.New("wal: a sync failed; this file is not trusted any more")
	ErrTooLarge = errors.New("wal: a record is too large to be read back")
)

const (
	name        = "wal"
	newName     = name + ".new" // a rewrite that has not got its name yet; never read
	damagedName = name + ".damaged"
	headLen     = 16
	most        = 32 << 20
	reserve     = "reserve"
)

// Log is one open log file. It isn't safe for concurrent use.
type Log struct {
	dir            string
	f              *os.File
	size           int64
	live           map[string]message.Record
	seq            uint32 // the number of the next record
	generation     uint64 // how often the file was rewritten
	mark           *os.File
	sick           bool
	CompactionSize int64 // the file is rewritten when longer than this and than four times what lives
	spare          int64
	end            int64 // till where the disk's room is ours, written or not
	low            bool  // the disk gives no more room: this file lives from what it has
	sync           func(*os.File) error
	// Allocate claims room for a file's bytes from off on; tests stand in for it.
	Allocate func(f *os.File, off, n int64) error
}

func id(r message.Record) string { return string(rune(r.Kind)) + r.Key }

// Open reads the file back. The newest record of each kind and key lives. A torn tail is cut.
func Open(dir string, spare int64) (*Log, error) { return openWith(dir, spare, (*os.File).Sync) }

func openWith(dir string, spare int64, sync func(*os.File) error) (*Log, error) {
	if err := makeDir(dir); err != nil {
		return nil, err
	}
	_ = os.Remove(filepath.Join(dir, newName)) // the file that bears the name holds all that is in it
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	a := &Log{dir: dir, f: f, CompactionSize: 4 << 20, spare: spare, Allocate: allocate, sync: sync}
	if err := a.load(); err != nil {
		f.Close()
		return nil, err
	}
	if err := a.keepReserve(); err != nil && !errors.Is(err, ErrFull) {
		f.Close()
		return nil, err
	}
	if err := a.claim(a.size); err != nil && !errors.Is(err, ErrFull) {
		f.Close()
		return nil, err
	}
	return a, syncDir(dir)
}

func (a *Log) load() error {
	b, err := os.ReadFile(a.f.Name())
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	c, err := scan(b)
	if err == nil {
		err = checkMark(a.dir, c)
	}
	if err != nil {
		return err
	}
	a.live, a.generation, a.seq, a.size = c.live, c.generation, c.records, int64(c.size)
	if c.size < len(b) {
		if err := a.f.Truncate(a.size); err != nil {
			return fmt.Errorf("wal: cut the tail: %w", err)
		}
	}
	// What is read may be in the kernel's memory only: whoever wrote it was killed before the sync.
	if err := a.sync(a.f); err != nil {
		return fmt.Errorf("wal: sync what was read: %w", err)
	}
	if err := syncDir(a.dir); err != nil {
		return err
	}
	if a.size > 0 {
		a.writeMark() // behind the folder's sync: a rewrite's name may be in the kernel's memory only as well
	}
	return nil
}

// Records gives the newest record of each kind and key.
func (a *Log) Records() []message.Record {
	l := make([]message.Record, 0, len(a.live))
	for _, r := range a.live {
		l = append(l, r)
	}
	return l
}

// Append writes records and syncs. After a failed sync the file is never written again.
func (a *Log) Append(rs []message.Record) error {
	if a.sick {
		return ErrFailed
	}
	for _, r := range rs {
		if len(r.Key) > math.MaxUint16 || len(r.Data) > most {
			return fmt.Errorf("%w: key of %d bytes, data of %d", ErrTooLarge, len(r.Key), len(r.Data))
		}
	}
	if len(rs) == 0 {
		if a.low {
			_ = a.claim(a.size) // is there room again?
		}
		return nil
	}
	b := a.lay(rs)
	err := a.claim(a.size + int64(len(b)))
	if errors.Is(err, ErrFull) && a.size > 2*a.lives() && a.compact() == nil {
		b = a.lay(rs)
		err = a.claim(a.size + int64(len(b)))
	}
	if err != nil {
		return err
	}
	if _, err := a.f.WriteAt(b, a.size); err != nil {
		if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EFBIG) || errors.Is(err, syscall.EDQUOT) {
			if cut := a.f.Truncate(a.size); cut != nil {
				a.sick = true
			}
			return fmt.Errorf("%w: %w", ErrFull, err)
		}
		a.sick = true
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if err := a.sync(a.f); err != nil {
		a.sick = true
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	a.size += int64(len(b))
	a.seq += uint32(len(rs))
	for _, r := range rs {
		keep(a.live, r)
	}
	a.writeMark()
	return a.trim()
}

// lay gives the bytes of one append.
func (a *Log) lay(rs []message.Record) (b []byte) {
	flags := uint8(0)
	for i, r := range rs {
		b = append(b, layFlagged(r, a.seq+uint32(i), flags)...)
		flags = flagSameBatch
	}
	return b
}

// Close closes the file.
func (a *Log) Close() error {
	a.closeMark()
	return a.f.Close()
}

// Size gives the file's length.
func (a *Log) Size() int64 { return a.size }
