package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"seamshunt/internal/cluster/message"
)

// kindSnapshot is the kind of the first record of a compacted file. It is internal to the log: Records doesn't return it.
const kindSnapshot uint8 = 255

// Reasons why parseRecord rejects bytes.
var (
	errTooShort  = errors.New("too short for a record")
	errBadHeader = errors.New("bad length or number")
	errChecksum  = errors.New("bad checksum")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// flagSameBatch is set on every record of an append except the first. An append is written by one call and synced before the
// next one begins, so a record without the flag proves that all records before it were synced.
const flagSameBatch uint8 = 1

type recordHeader struct {
	DataLen  uint32
	Checksum uint32
	Kind     uint8
	Flags    uint8
	KeyLen   uint16
	Seq      uint32
}

// Offsets of fields in a record header.
const (
	flagsOffset = 9
	seqOffset   = 12
)

// snapshotHeader describes what a compaction wrote. All of it was synced before the file was renamed, so none of it may be
// missing.
type snapshotHeader struct {
	Generation uint64
	Count      uint32
	Checksum   uint32 // of the bytes of all records of the snapshot
}

// scanResult is what a file contains.
type scanResult struct {
	records    map[string]message.Record
	generation uint64
	count      uint32
	size       int // end of the last complete record
}

// applyRecord replaces the record of a kind and key by a newer one; a record without data deletes it.
func applyRecord(live map[string]message.Record, r message.Record) {
	switch {
	case r.Kind == kindSnapshot:
	case len(r.Data) == 0:
		delete(live, recordID(r))
	default:
		live[recordID(r)] = r
	}
}

// scan reads all complete records. What follows the last one is a torn write, unless the first record of a later append comes
// after it or the snapshot is incomplete: then the file is damaged.
func scan(b []byte) (scanResult, error) {
	c := scanResult{records: map[string]message.Record{}}
	for c.size < len(b) {
		r, n, err := parseRecord(b[c.size:], c.count)
		if err != nil {
			if hasLaterBatch(b[c.size+1:], c.count) {
				return c, fmt.Errorf("%w at byte %d: %w", ErrDamaged, c.size, err)
			}
			break
		}
		c.count++
		applyRecord(c.records, r)
		c.size += n
	}
	return c, c.checkSnapshot(b)
}

// checkSnapshot compares a compacted file with its snapshot header.
func (c *scanResult) checkSnapshot(b []byte) error {
	first, start, err := parseRecord(b, 0)
	if err != nil || first.Kind != kindSnapshot {
		return nil // never compacted
	}
	var h snapshotHeader
	if _, err := binary.Decode(first.Data, binary.LittleEndian, &h); err != nil {
		return fmt.Errorf("%w: the snapshot's head: %w", ErrDamaged, err)
	}
	c.generation = h.Generation
	end := start
	for seq := uint32(1); seq <= h.Count; seq++ {
		_, n, err := parseRecord(b[end:], seq)
		if err != nil {
			return fmt.Errorf("%w: record %d of %d of the snapshot: %w", ErrDamaged, seq, h.Count, err)
		}
		end += n
	}
	if crc32.Checksum(b[start:end], crcTable) != h.Checksum {
		return fmt.Errorf("%w: the snapshot's checksum", ErrDamaged)
	}
	return nil
}

// hasLaterBatch reports whether b, the bytes after an invalid record, contain the complete first record of a later append: then
// synced data is damaged. Later records of the same append don't count, because a power loss may leave any part of a write.
func hasLaterBatch(b []byte, seq uint32) bool {
	for i := 0; i+headerLen <= len(b); i++ {
		n := binary.LittleEndian.Uint32(b[i+seqOffset:])
		if b[i+flagsOffset]&flagSameBatch != 0 || n <= seq || n > seq+1<<20 {
			continue
		}
		if _, _, err := parseRecord(b[i:], n); err == nil {
			return true
		}
	}
	return false
}

// parseRecord parses the record with the sequence number seq, and returns it with its length in bytes.
func parseRecord(b []byte, seq uint32) (message.Record, int, error) {
	var h recordHeader
	if len(b) < headerLen {
		return message.Record{}, 0, errTooShort
	}
	_, _ = binary.Decode(b, binary.LittleEndian, &h)
	n := headerLen + int(h.KeyLen) + int(h.DataLen)
	if h.DataLen > maxDataLen || n > len(b) || h.Seq != seq {
		return message.Record{}, 0, errBadHeader
	}
	if crc32.Checksum(b[8:n], crcTable) != h.Checksum {
		return message.Record{}, 0, errChecksum
	}
	k := headerLen + int(h.KeyLen)
	return message.Record{Kind: h.Kind, Key: string(b[headerLen:k]), Data: append([]byte(nil), b[k:n]...)}, n, nil
}

// encodeRecord returns the bytes of a record that begins an append.
func encodeRecord(r message.Record, seq uint32) []byte { return encodeRecordWithFlags(r, seq, 0) }

func encodeRecordWithFlags(r message.Record, seq uint32, flags uint8) []byte {
	h := recordHeader{DataLen: uint32(len(r.Data)), Kind: r.Kind, Flags: flags, KeyLen: uint16(len(r.Key)), Seq: seq}
	b, _ := binary.Append(nil, binary.LittleEndian, h)
	b = append(append(b, r.Key...), r.Data...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], crcTable))
	return b
}

// encodeSnapshot returns the bytes of a compacted file that holds only the records rs.
func encodeSnapshot(rs []message.Record, generation uint64) []byte {
	var body []byte
	for i, r := range rs {
		body = append(body, encodeRecord(r, uint32(i)+1)...)
	}
	h := snapshotHeader{Generation: generation, Count: uint32(len(rs)), Checksum: crc32.Checksum(body, crcTable)}
	data, _ := binary.Append(nil, binary.LittleEndian, h)
	return append(encodeRecord(message.Record{Kind: kindSnapshot, Data: data}, 0), body...)
}
