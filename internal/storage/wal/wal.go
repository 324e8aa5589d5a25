// Package wal implements the write-ahead log of a process with a disk: an append-only file of checksummed records
// (docs/design.md, section 3).
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

// Errors of the log. The text of ErrDamaged and of the errors that wrap it is shown in a controller's status.
var (
	ErrDamaged  = errors.New("wal: damaged: not all that was synced is there")
	ErrFull     = errors.New("wal: disk full")
	ErrFailed   = errors.New("wal: a write or sync failed; the file is no longer trusted")
	ErrTooLarge = errors.New("wal: the record is larger than the log can read back")
)

const (
	logName     = "wal"
	tempName    = logName + ".new" // a compacted file before it is renamed; never read
	damagedName = logName + ".damaged"
	headerLen   = 16
	maxDataLen  = 32 << 20
	reserveName = "reserve"
)

// Log is one open log file. It isn't safe for concurrent use.
type Log struct {
	dir            string
	f              *os.File
	size           int64
	records        map[string]message.Record
	seq            uint32 // sequence number of the next record
	generation     uint64 // how often the file was compacted
	markFile       *os.File
	failed         bool  // a write or sync failed: nothing is written to this file any more
	CompactionSize int64 // the file is compacted when it is longer than this and than four times its current records
	reserveSize    int64 // disk space kept for one compaction; 0 for none
	allocatedEnd   int64 // end of the disk space allocated to the file, written or not
	diskFull       bool  // the disk has no more space: the file uses what is allocated to it
	sync           func(*os.File) error
	// Allocate reserves disk space for n bytes of a file from off; tests replace it.
	Allocate func(f *os.File, off, n int64) error
}

func recordID(r message.Record) string { return string(rune(r.Kind)) + r.Key }

// Open reads the log in dir and creates it if needed. It keeps the newest record of each kind and key, and truncates a torn
// write at the end.
func Open(dir string, reserveSize int64) (*Log, error) {
	return openWithSync(dir, reserveSize, (*os.File).Sync)
}

func openWithSync(dir string, reserveSize int64, sync func(*os.File) error) (*Log, error) {
	if err := ensureDir(dir); err != nil {
		return nil, err
	}
	_ = os.Remove(filepath.Join(dir, tempName)) // an unfinished compaction; the log file holds all records
	f, err := os.OpenFile(filepath.Join(dir, logName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	a := &Log{dir: dir, f: f, CompactionSize: 4 << 20, reserveSize: reserveSize, Allocate: allocate, sync: sync}
	if err := a.load(); err != nil {
		f.Close()
		return nil, err
	}
	if err := a.ensureReserveFile(); err != nil && !errors.Is(err, ErrFull) {
		f.Close()
		return nil, err
	}
	if err := a.ensureSpace(a.size); err != nil && !errors.Is(err, ErrFull) {
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
	a.records, a.generation, a.seq, a.size = c.records, c.generation, c.count, int64(c.size)
	if c.size < len(b) {
		if err := a.f.Truncate(a.size); err != nil {
			return fmt.Errorf("wal: truncate the torn tail: %w", err)
		}
	}
	// What was read may only be in the page cache, if the process that wrote it was killed before its sync.
	if err := a.sync(a.f); err != nil {
		return fmt.Errorf("wal: sync after reading: %w", err)
	}
	if err := syncDir(a.dir); err != nil {
		return err
	}
	if a.size > 0 {
		a.writeMark() // after the directory's sync, since the rename of a compaction may only be in the page cache too
	}
	return nil
}

// Records returns the newest record of each kind and key.
func (a *Log) Records() []message.Record {
	l := make([]message.Record, 0, len(a.records))
	for _, r := range a.records {
		l = append(l, r)
	}
	return l
}

// Append writes records and syncs them. After a failed sync, or a failed write for another reason than a full disk, the file is
// never written again. Without records it only checks whether a full disk has space again.
func (a *Log) Append(rs []message.Record) error {
	if a.failed {
		return ErrFailed
	}
	for _, r := range rs {
		if len(r.Key) > math.MaxUint16 || len(r.Data) > maxDataLen {
			return fmt.Errorf("%w: key of %d bytes, data of %d", ErrTooLarge, len(r.Key), len(r.Data))
		}
	}
	if len(rs) == 0 {
		if a.diskFull {
			_ = a.ensureSpace(a.size)
		}
		return nil
	}
	b := a.encodeBatch(rs)
	err := a.ensureSpace(a.size + int64(len(b)))
	if errors.Is(err, ErrFull) && a.size > 2*a.liveBytes() && a.compact() == nil {
		b = a.encodeBatch(rs)
		err = a.ensureSpace(a.size + int64(len(b)))
	}
	if err != nil {
		return err
	}
	if _, err := a.f.WriteAt(b, a.size); err != nil {
		if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EFBIG) || errors.Is(err, syscall.EDQUOT) {
			if truncateErr := a.f.Truncate(a.size); truncateErr != nil {
				a.failed = true
			}
			return fmt.Errorf("%w: %w", ErrFull, err)
		}
		a.failed = true
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if err := a.sync(a.f); err != nil {
		a.failed = true
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	a.size += int64(len(b))
	a.seq += uint32(len(rs))
	for _, r := range rs {
		applyRecord(a.records, r)
	}
	a.writeMark()
	return a.compactIfLarge()
}

// encodeBatch returns the bytes of one append.
func (a *Log) encodeBatch(rs []message.Record) (b []byte) {
	flags := uint8(0)
	for i, r := range rs {
		b = append(b, encodeRecordWithFlags(r, a.seq+uint32(i), flags)...)
		flags = flagSameBatch
	}
	return b
}

// Close syncs the sync mark and closes the files.
func (a *Log) Close() error {
	a.closeMark()
	return a.f.Close()
}

// Size returns the file's length in bytes.
func (a *Log) Size() int64 { return a.size }
