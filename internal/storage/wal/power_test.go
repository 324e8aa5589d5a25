package wal

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"seamshunt/internal/cluster/message"
)

const sectorLen = 512

// unsynced gives a log and its mark as they were before an append, and the bytes that the append was writing.
func unsynced(t *testing.T, batches int, batch []message.Record) (log, mark, writing []byte) {
	t.Helper()
	dir := t.TempDir()
	a := open(t, dir)
	for i := range batches {
		if err := a.Append([]message.Record{rec("a", i), rec("b", i)}); err != nil {
			t.Fatal(err)
		}
	}
	a.writeMark()
	log, mark = readFile(t, dir, name), readFile(t, dir, markName)
	if err := a.Append(batch); err != nil {
		t.Fatal(err)
	}
	a.Close()
	return log, mark, readFile(t, dir, name)[len(log):]
}

// outlives opens what a loss of power left and checks that all that was synced lives, and that the log goes on.
func outlives(t *testing.T, what string, image, mark []byte, batches int) {
	t.Helper()
	dir := folder(t, image, mark)
	a, err := Open(dir, 0)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	for _, key := range []string{"a", "b"} {
		if got, synced := value(a, key), fmt.Sprintf("value %d of %s", batches-1, key); got != synced && got != "later" {
			t.Fatalf("%s: %s is %q, %q was synced", what, key, got, synced)
		}
	}
	if err := a.Append([]message.Record{rec("c", 9)}); err != nil {
		t.Fatal(err)
	}
	a.Close()
	if a = open(t, dir); value(a, "c") != "value 9 of c" {
		t.Fatalf("%s: what was written next is %q", what, value(a, "c"))
	}
	a.Close()
}

// A loss of power leaves any part of a write that was not synced: whichever records of it are there, the file is whole up
// to them and is never taken for damaged, since that would cost the disk's vote while others are lost too.
func TestPowerLostInABatchByRecords(t *testing.T) {
	const batches = 3
	var batch []message.Record
	for i, key := range []string{"a", "b", "d", "e", "f"} {
		batch = append(batch, message.Record{Kind: 3, Key: key, Data: []byte("later")})
		batch[i].Kind = rec("a", 0).Kind
	}
	log, mark, writing := unsynced(t, batches, batch)
	for there := range 1 << len(batch) {
		for _, old := range []byte{0, 0xA5} {
			image := append([]byte(nil), log...)
			at := 0
			for i, r := range batch {
				n := headLen + len(r.Key) + len(r.Data)
				part := append([]byte(nil), writing[at:at+n]...)
				if there&(1<<i) == 0 {
					part = []byte(strings.Repeat(string([]byte{old}), n))
				}
				image = append(image, part...)
				at += n
			}
			outlives(t, fmt.Sprintf("records %05b, the rest %#x", there, old), image, mark, batches)
		}
	}
}

// The same by the sectors of a disk, with records shorter and longer than one.
func TestPowerLostInABatchBySectors(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		batches := 1 + rng.IntN(4)
		var batch []message.Record
		for range 1 + rng.IntN(8) {
			batch = append(batch, message.Record{Kind: rec("a", 0).Kind, Key: fmt.Sprint("k", rng.IntN(4)), Data: make([]byte, 1+rng.IntN(1500))})
		}
		log, mark, writing := unsynced(t, batches, batch)
		image := append(append([]byte(nil), log...), writing...)
		for at := len(log); at < len(image); {
			end := min(len(image), (at/sectorLen+1)*sectorLen)
			if rng.IntN(2) == 0 {
				clear(image[at:end])
			}
			at = end
		}
		if rng.IntN(3) == 0 {
			image = image[:len(log)+rng.IntN(len(writing)+1)]
		}
		if rng.IntN(3) == 0 {
			mark = nil
		}
		outlives(t, fmt.Sprint("seed ", seed), image, mark, batches)
	}
}
