package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// markName is the file that records how much of the log was synced. It is written after each sync of the log and not synced
// itself, so after a power loss it may be behind the log but never ahead of it. A log that holds less than the mark has lost
// data that was acknowledged, even if its end looks like a torn write or the file is missing.
const markName = "wal.mark"

// syncMark is a lower bound of what the log must contain.
type syncMark struct {
	Generation uint64
	Records    uint32
}

const markLen = 16

func (m syncMark) bytes() []byte {
	b, _ := binary.Append(nil, binary.LittleEndian, m)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
}

// parseMark parses a mark; ok is false if it is incomplete or its checksum is wrong, and the mark is ignored then.
func parseMark(b []byte) (m syncMark, ok bool) {
	if len(b) != markLen || binary.LittleEndian.Uint32(b[markLen-4:]) != crc32.Checksum(b[:markLen-4], crcTable) {
		return m, false
	}
	_, err := binary.Decode(b, binary.LittleEndian, &m)
	return m, err == nil
}

// checkMark compares the content of a log with the mark in its directory.
func checkMark(dir string, c scanResult) error {
	b, err := os.ReadFile(filepath.Join(dir, markName))
	if err != nil {
		return nil // a directory of an earlier version, or the mark never reached the disk
	}
	m, ok := parseMark(b)
	if ok && (m.Generation > c.generation || m.Generation == c.generation && m.Records > c.count) {
		return fmt.Errorf("%w: %d records of generation %d are left of %d of generation %d",
			ErrDamaged, c.count, c.generation, m.Records, m.Generation)
	}
	return nil
}

// writeMark records that all of the log is synced. If it fails, the older mark stays, which is still a lower bound.
func (a *Log) writeMark() {
	if a.markFile == nil {
		f, err := os.OpenFile(filepath.Join(a.dir, markName), os.O_RDWR|os.O_CREATE, 0o644)
		if err != nil {
			return
		}
		a.markFile = f
	}
	_, _ = a.markFile.WriteAt(syncMark{Generation: a.generation, Records: a.seq}.bytes(), 0)
}

// closeMark syncs and closes the mark's file.
func (a *Log) closeMark() {
	if a.markFile != nil {
		_ = a.markFile.Sync()
		_ = a.markFile.Close()
		a.markFile = nil
	}
}
