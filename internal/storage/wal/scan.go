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
	errShort    = errors.New("too short for a record")
	errHead     = errors.New("bad length or number")
	errChecksum = errors.New("bad checksum")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// flagSameBatch is set on every record of an append but the first. An append is written by one call and synced before the
// next begins, so a record without it proves that all records before it were synced.
const flagSameBatch uint8 = 1

type recHead struct {
	Len   uint32
	Sum   uint32
	Kind  uint8
	Flags uint8
	Key   uint16
	Seq   uint32
}

// Where fields of a head stand.
const (
	flagsAt = 9
	seqAt   = 12
)

// snapshotHead says what a rewrite put into the file. All of it was synced before the file got its name, so nothing of it
// may be missing.
type snapshotHead struct {
	Generation uint64
	Count      uint32
	Sum        uint32 // over the bytes of all records of the snapshot
}

// contents is what the bytes of a file hold.
type contents struct {
	live       map[string]message.Record
	generation uint64
	records    uint32
	size       int // up to the end of the last whole record
}

// keep has the newest record of a key live; an empty one ends its key.
func keep(live map[string]message.Record, r message.Record) {
	switch {
	case r.Kind == kindSnapshot:
	case len(r.Data) == 0:
		delete(live, id(r))
	default:
		live[id(r)] = r
	}
}

// scan reads all whole records. What follows the last is a torn tail, unless a later append's first record stands behind it
// or the snapshot isn't whole: then the file is damaged.
func scan(b []byte) (contents, error) {
	c := contents{live: map[string]message.Record{}}
	for c.size < len(b) {
		r, n, err := parse(b[c.size:], c.records)
		if err != nil {
			if laterBatch(b[c.size+1:], c.records) {
				return c, fmt.Errorf("%w at byte %d: %w", ErrDamaged, c.size, err)
			}
			break
		}
		c.records++
		keep(c.live, r)
		c.size += n
	}
	return c, c.checkSnapshot(b)
}

// checkSnapshot compares a rewritten file with what its head says.
func (c *contents) checkSnapshot(b []byte) error {
	first, at, err := parse(b, 0)
	if err != nil || first.Kind != kindSnapshot {
		return nil // never rewritten
	}
	var h snapshotHead
	if _, err := binary.Decode(first.Data, binary.LittleEndian, &h); err != nil {
		return fmt.Errorf("%w: the snapshot's head: %w", ErrDamaged, err)
	}
	c.generation = h.Generation
	end := at
	for seq := uint32(1); seq <= h.Count; seq++ {
		_, n, err := parse(b[end:], seq)
		if err != nil {
			return fmt.Errorf("%w: record %d of %d of the snapshot: %w", ErrDamaged, seq, h.Count, err)
		}
		end += n
	}
	if crc32.Checksum(b[at:end], table) != h.Sum {
		return fmt.Errorf("%w: the snapshot's checksum", ErrDamaged)
	}
	return nil
}

// laterBatch says whether the first record of a later append stands whole anywhere behind a break: then the break is damage
// to what was synced. Other records of the append that broke may stand there: a loss of power leaves any part of a write.
func laterBatch(b []byte, seq uint32) bool {
	for i := 0; i+headLen <= len(b); i++ {
		n := binary.LittleEndian.Uint32(b[i+seqAt:])
		if b[i+flagsAt]&flagSameBatch != 0 || n <= seq || n > seq+1<<20 {
			continue
		}
		if _, _, err := parse(b[i:], n); err == nil {
			return true
		}
	}
	return false
}

// parse reads one record of the number seq, and how many bytes it takes.
func parse(b []byte, seq uint32) (message.Record, int, error) {
	var h recHead
	if len(b) < headLen {
		return message.Record{}, 0, errShort
	}
	_, _ = binary.Decode(b, binary.LittleEndian, &h)
	n := headLen + int(h.Key) + int(h.Len)
	if h.Len > most || n > len(b) || h.Seq != seq {
		return message.Record{}, 0, errHead
	}
	if crc32.Checksum(b[8:n], table) != h.Sum {
		return message.Record{}, 0, errChecksum
	}
	k := headLen + int(h.Key)
	return message.Record{Kind: h.Kind, Key: string(b[headLen:k]), Data: append([]byte(nil), b[k:n]...)}, n, nil
}

// lay gives the bytes of a record that begins an append.
func lay(r message.Record, seq uint32) []byte { return layFlagged(r, seq, 0) }

func layFlagged(r message.Record, seq uint32, flags uint8) []byte {
	h := recHead{Len: uint32(len(r.Data)), Kind: r.Kind, Flags: flags, Key: uint16(len(r.Key)), Seq: seq}
	b, _ := binary.Append(nil, binary.LittleEndian, h)
	b = append(append(b, r.Key...), r.Data...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], table))
	return b
}

// laySnapshot gives the bytes of a whole file that holds just the records rs.
func laySnapshot(rs []message.Record, generation uint64) []byte {
	var body []byte
	for i, r := range rs {
		body = append(body, lay(r, uint32(i)+1)...)
	}
	h := snapshotHead{Generation: generation, Count: uint32(len(rs)), Sum: crc32.Checksum(body, table)}
	data, _ := binary.Append(nil, binary.LittleEndian, h)
	return append(lay(message.Record{Kind: kindSnapshot, Data: data}, 0), body...)
}
