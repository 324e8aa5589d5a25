package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"testing"

	"seamshunt/internal/cluster/message"
)

// Arbitrary bytes never make scan panic, and every record that it returns has a matching checksum, which is computed here
// without the code of scan.
func FuzzScan(f *testing.F) {
	whole := encodeSnapshot([]message.Record{{Kind: 1, Data: []byte("identity")}, {Kind: 3, Key: "config", Data: []byte("value")}}, 7)
	whole = append(whole, encodeRecord(message.Record{Kind: 3, Key: "zone/a", Data: []byte("on")}, 3)...)
	plain := append(encodeRecord(testRecord("a", 1), 0), encodeRecord(testRecord("b", 2), 1)...)
	flipped := append([]byte(nil), plain...)
	flipped[20] ^= 1
	for _, b := range [][]byte{nil, whole, whole[:len(whole)-3], whole[:40], plain, flipped, append(plain, 0, 0, 0, 0)} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := scan(b)
		if err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatalf("unexpected error: %v", err)
		}
		live, at := map[string]message.Record{}, 0
		for n := uint32(0); n < c.count; n++ {
			data, key := int(binary.LittleEndian.Uint32(b[at:])), int(binary.LittleEndian.Uint16(b[at+10:]))
			end := at + 16 + key + data
			sum := crc32.Checksum(b[at+8:end], crc32.MakeTable(crc32.Castagnoli))
			if binary.LittleEndian.Uint32(b[at+4:]) != sum || binary.LittleEndian.Uint32(b[at+12:]) != n {
				t.Fatalf("record %d at byte %d has a wrong checksum or sequence number", n, at)
			}
			applyRecord(live, message.Record{Kind: b[at+8], Key: string(b[at+16 : at+16+key]), Data: b[at+16+key : end]})
			at = end
		}
		if at != c.size || !sameRecords(live, c.records) {
			t.Fatalf("%d bytes read of %d, %d current records of %d", c.size, at, len(c.records), len(live))
		}
		if again, err2 := scan(b[:c.size]); err == nil && (err2 != nil || !sameRecords(again.records, c.records)) {
			t.Fatalf("the part that was read reads differently: %v", err2)
		}
	})
}

// Arbitrary bytes are either a valid mark or ignored.
func FuzzMark(f *testing.F) {
	f.Add(syncMark{Generation: 3, Records: 9}.bytes())
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, ok := parseMark(b)
		if ok && string(m.bytes()) != string(b) {
			t.Fatalf("%x is parsed as %+v", b, m)
		}
	})
}
