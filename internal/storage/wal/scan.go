package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"seamshunt/internal/cluster/message"
)

// kindSnapshot marks the head of a rewritten file. It is the log's own and is not given out.
const kindSnapshot uint8 = 255

// What parse finds wrong with bytes that should be a record.
var (
	errTooShort  = errors.New("too short for a record")
	errBadHeader = errors.New("bad length or number")
	errChecksum  = errors.New("bad checksum")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// flagSameBatch is set on every record of an append but the first. An append is written by one call and synced before the
// next begins, so a record without it proves that all records before it were synced.
const flagSameBatch uint8 = 1

type recordHeader struct {
	DataLen  uint32
	Checksum uint32
	Kind     uint8
	Flags    uint8
	KeyLen   uint16
	Seq      uint32
}

// Where fields of a head stand.
const (
	flagsOffset = 9
	seqOffset   = 12
)

// snapshotHeader says what a rewrite put into the file. All of it was synced before the file got its name, so nothing of it
// may be missing.
type snapshotHeader struct {
	Generation uint64
	Count      uint32
	Checksum   uint32 // over the bytes of all records of the snapshot
}

// scanResult is what the bytes of a file hold.
type scanResult struct {
	records    map[string]message.Record
	generation uint64
	count      uint32
	size       int // up to the end of the last whole record
}

// applyRecord has the newest record of a key live; an empty one ends its key.
func applyRecord(live map[string]message.Record, r message.Record) {
	switch {
	case r.Kind == kindSnapshot:
	case len(r.Data) == 0:
		delete(live, recordID(r))
	default:
		live[recordID(r)] = r
	}
}

// scan reads all whole records. What follows the last is a torn tail, unless a later append's first record stands behind it
// or the snapshot isn't whole: then the file is damaged.
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

// checkSnapshot compares a rewritten file with what its head says.
func (c *scanResult) checkSnapshot(b []byte) error {
	first, at, err := parseRecord(b, 0)
	if err != nil || first.Kind != kindSnapshot {
		return nil // never rewritten
	}
	var h snapshotHeader
	if _, err := binary.Decode(first.Data, binary.LittleEndian, &h); err != nil {
		return fmt.Errorf("%w: the snapshot's head: %w", ErrDamaged, err)
	}
	c.generation = h.Generation
	end := at
	for seq := uint32(1); seq <= h.Count; seq++ {
		_, n, err := parseRecord(b[end:], seq)
		if err != nil {
			return fmt.Errorf("%w: record %d of %d of the snapshot: %w", ErrDamaged, seq, h.Count, err)
		}
		end += n
	}
	if crc32.Checksum(b[at:end], crcTable) != h.Checksum {
		return fmt.Errorf("%w: the snapshot's checksum", ErrDamaged)
	}
	return nil
}

// hasLaterBatch says whether the first record of a later append stands whole anywhere behind a break: then the break is damage
// to what was synced. Other records of the append that broke may stand there: a loss of power leaves any part of a write.
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

// parseRecord reads one record of the number seq, and how many bytes it takes.
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

// encodeRecord gives the bytes of a record that begins an append.
func encodeRecord(r message.Record, seq uint32) []byte { return encodeRecordWithFlags(r, seq, 0) }

func encodeRecordWithFlags(r message.Record, seq uint32, flags uint8) []byte {
	h := recordHeader{DataLen: uint32(len(r.Data)), Kind: r.Kind, Flags: flags, KeyLen: uint16(len(r.Key)), Seq: seq}
	b, _ := binary.Append(nil, binary.LittleEndian, h)
	b = append(append(b, r.Key...), r.Data...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], crcTable))
	return b
}

// encodeSnapshot gives the bytes of a whole file that holds just the records rs.
func encodeSnapshot(rs []message.Record, generation uint64) []byte {
	var body []byte
	for i, r := range rs {
		body = append(body, encodeRecord(r, uint32(i)+1)...)
	}
	h := snapshotHeader{Generation: generation, Count: uint32(len(rs)), Checksum: crc32.Checksum(body, crcTable)}
	data, _ := binary.Append(nil, binary.LittleEndian, h)
	return append(encodeRecord(message.Record{Kind: kindSnapshot, Data: data}, 0), body...)
}
