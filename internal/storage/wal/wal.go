// Package wal is the append-only checksummed file of a process with a disk (design 3).
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"syscall"

	"seamshunt/internal/cluster/message"
)

// What went wrong with a disk.
var (
	ErrDamaged = errors.New("wal: damaged before the tail")
	ErrFull    = errors.New("wal: disk full")
	ErrSick    = errors.New("wal: a sync failed; this file is not trusted any more")
)

const (
	name    = "wal"
	headLen = 16
	most    = 32 << 20
	reserve = "reserve"
)

var table = crc32.MakeTable(crc32.Castagnoli)

type recHead struct {
	Len  uint32
	Sum  uint32
	Kind uint8
	_    uint8
	Key  uint16
	Seq  uint32
}

// Almanac is one open file; one writer uses it.
type Log struct {
	dir   string
	f     *os.File
	size  int64
	live  map[string]message.Record
	seq   uint32
	sick  bool
	Long  int64 // the file is rewritten when longer than this and than four times what lives
	spare int64
	end   int64 // till where the disk's room is ours, written or not
	low   bool  // the disk gives no more room: this file lives from what it has
	// Room claims room for a file's bytes from off on; tests stand in for it.
	Room func(f *os.File, off, n int64) error
}

func id(r message.Record) string { return string(rune(r.Kind)) + r.Key }

// Open reads the file back. The newest record of each kind and key lives. A torn tail is cut.
func Open(dir string, spare int64) (*Log, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	a := &Log{dir: dir, f: f, live: map[string]message.Record{}, Long: 4 << 20, spare: spare, Room: allocate}
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
	at := 0
	for at < len(b) {
		r, n, err := parse(b[at:], a.seq)
		if err != nil {
			if later(b[at+1:], a.seq) {
				return fmt.Errorf("%w at byte %d", ErrDamaged, at)
			}
			break
		}
		a.seq++
		a.keep(r)
		at += n
	}
	a.size = int64(at)
	if at < len(b) {
		if err := a.f.Truncate(a.size); err != nil {
			return fmt.Errorf("wal: cut the tail: %w", err)
		}
		if err := a.f.Sync(); err != nil {
			return fmt.Errorf("wal: cut the tail: %w", err)
		}
	}
	return nil
}

// later says whether a whole record of a later number stands anywhere behind a break:
// then the break is damage to what was synced, not a torn tail.
func later(b []byte, seq uint32) bool {
	for i := 0; i+headLen <= len(b); i++ {
		n := binary.LittleEndian.Uint32(b[i+12:])
		if n <= seq || n > seq+1<<20 {
			continue
		}
		if _, _, err := parse(b[i:], n); err == nil {
			return true
		}
	}
	return false
}

func parse(b []byte, seq uint32) (message.Record, int, error) {
	var h recHead
	if len(b) < headLen {
		return message.Record{}, 0, fmt.Errorf("short")
	}
	_, _ = binary.Decode(b, binary.LittleEndian, &h)
	n := headLen + int(h.Key) + int(h.Len)
	if h.Len > most || n > len(b) || h.Seq != seq {
		return message.Record{}, 0, fmt.Errorf("bad length or number")
	}
	if crc32.Checksum(b[8:n], table) != h.Sum {
		return message.Record{}, 0, fmt.Errorf("bad checksum")
	}
	k := headLen + int(h.Key)
	return message.Record{Kind: h.Kind, Key: string(b[headLen:k]), Data: append([]byte(nil), b[k:n]...)}, n, nil
}

func lay(r message.Record, seq uint32) []byte {
	h := recHead{Len: uint32(len(r.Data)), Kind: r.Kind, Key: uint16(len(r.Key)), Seq: seq}
	b, _ := binary.Append(nil, binary.LittleEndian, h)
	b = append(append(b, r.Key...), r.Data...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], table))
	return b
}

// Live gives the newest record of each kind and key.
func (a *Log) Live() []message.Record {
	l := make([]message.Record, 0, len(a.live))
	for _, r := range a.live {
		l = append(l, r)
	}
	return l
}

// Append writes records and syncs. After a failed sync the file is never written again.
func (a *Log) Append(rs []message.Record) error {
	if a.sick {
		return ErrSick
	}
	if len(rs) == 0 {
		if a.low {
			_ = a.claim(a.size) // is there room again?
		}
		return nil
	}
	b := a.lay(rs)
	err := a.claim(a.size + int64(len(b)))
	if errors.Is(err, ErrFull) && a.size > 2*a.lives() && a.rewrite() == nil {
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
		return fmt.Errorf("%w: %w", ErrSick, err)
	}
	if err := a.f.Sync(); err != nil {
		a.sick = true
		return fmt.Errorf("%w: %w", ErrSick, err)
	}
	a.size += int64(len(b))
	a.seq += uint32(len(rs))
	for _, r := range rs {
		a.keep(r)
	}
	return a.trim()
}

// keep has the newest record of a key live; an empty one ends its key.
func (a *Log) keep(r message.Record) {
	if len(r.Data) == 0 {
		delete(a.live, id(r))
		return
	}
	a.live[id(r)] = r
}

func (a *Log) lay(rs []message.Record) (b []byte) {
	for i, r := range rs {
		b = append(b, lay(r, a.seq+uint32(i))...)
	}
	return b
}

// Close closes the file.
func (a *Log) Close() error { return a.f.Close() }

// Size gives the file's length.
func (a *Log) Size() int64 { return a.size }
